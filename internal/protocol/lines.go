package protocol

import "bytes"

// LineReader cuts what comes in pieces into lines that hold a JSON value each. A value may be indented: it goes
// over as many lines as its brackets are open for.
type LineReader struct {
	pending         []byte
	at, deep        int // looked at so far, and the brackets open there
	quoted, escaped bool
}

// Write takes in what has come.
func (l *LineReader) Write(data []byte) { l.pending = append(l.pending, data...) }

// Next takes out the next line that is whole, without white space round it; it is good until Add.
func (l *LineReader) Next() (line []byte, whole bool) {
	for ; l.at < len(l.pending); l.at++ {
		if c := l.pending[l.at]; c == '\n' && (l.quoted || l.deep <= 0) { // no text holds one: it is broken off
			line = bytes.TrimSpace(l.pending[:l.at])
			*l = LineReader{pending: l.pending[l.at+1:]}
			return line, true
		} else {
			l.look(c)
		}
	}
	return nil, false
}

func (l *LineReader) look(c byte) {
	switch {
	case l.escaped:
		l.escaped = false
	case l.quoted:
		l.escaped, l.quoted = c == '\\', c != '"'
	case c == '"':
		l.quoted = true
	case c == '{', c == '[':
		l.deep++
	case c == '}', c == ']':
		l.deep--
	}
}

// Remainder is what has come of a line that is not whole.
func (l *LineReader) Remainder() []byte { return bytes.TrimSpace(l.pending) }
