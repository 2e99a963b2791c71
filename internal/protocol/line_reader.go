package protocol

import "bytes"

// LineReader cuts a stream into lines that hold one JSON value each. A value may be indented: its line does not end while
// brackets are open. The zero value is ready for use.
type LineReader struct {
	pending []byte // received, without the lines that were taken out
	scanned int    // bytes of pending that were scanned

	// The state after the scanned bytes.
	depth    int // of open brackets
	inString bool
	escaped  bool // the next byte follows a backslash
}

// Write appends data that was received.
func (l *LineReader) Write(data []byte) { l.pending = append(l.pending, data...) }

// Next takes out the next complete line, without white space around it. The line is valid until the next Write.
//
// A newline within a string ends the line too. JSON allows none there, so that the value is malformed anyway.
func (l *LineReader) Next() (line []byte, complete bool) {
	for ; l.scanned < len(l.pending); l.scanned++ {
		c := l.pending[l.scanned]
		if c == '\n' && (l.inString || l.depth <= 0) {
			line = bytes.TrimSpace(l.pending[:l.scanned])
			*l = LineReader{pending: l.pending[l.scanned+1:]}
			return line, true
		}
		l.scan(c)
	}
	return nil, false
}

// scan updates the state by one more byte.
func (l *LineReader) scan(c byte) {
	switch {
	case l.escaped:
		l.escaped = false
	case l.inString:
		l.escaped = c == '\\'
		l.inString = c != '"'
	case c == '"':
		l.inString = true
	case c == '{', c == '[':
		l.depth++
	case c == '}', c == ']':
		l.depth--
	}
}

// Remainder returns what was received of an incomplete line, without white space around it.
func (l *LineReader) Remainder() []byte { return bytes.TrimSpace(l.pending) }
