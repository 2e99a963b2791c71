package protocol

import "bytes"

// LineReader splits a stream into lines that hold one JSON value each. A value may be indented: a newline inside open
// brackets does not end the line. The zero value is ready for use.
type LineReader struct {
	buffered []byte // received bytes that Next has not returned yet
	scanned  int    // number of bytes of buffered that are scanned

	// Scanner state after the scanned bytes.
	depth    int // number of open brackets
	inString bool
	escaped  bool // the last scanned byte is a backslash that starts an escape
}

// Write appends received data to the buffer.
func (l *LineReader) Write(data []byte) { l.buffered = append(l.buffered, data...) }

// Next removes the next complete line from the buffer and returns it without surrounding white space. The line is valid
// until the next call of Write.
//
// A newline inside a string also ends the line. JSON does not allow newlines in strings, so the value is malformed in
// any case.
func (l *LineReader) Next() (line []byte, complete bool) {
	for ; l.scanned < len(l.buffered); l.scanned++ {
		c := l.buffered[l.scanned]
		if c == '\n' && (l.inString || l.depth <= 0) {
			line = bytes.TrimSpace(l.buffered[:l.scanned])
			*l = LineReader{buffered: l.buffered[l.scanned+1:]}
			return line, true
		}
		l.scanByte(c)
	}
	return nil, false
}

// scanByte updates the scanner state with the next byte.
func (l *LineReader) scanByte(c byte) {
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

// Remainder returns the received part of an incomplete line, without surrounding white space.
func (l *LineReader) Remainder() []byte { return bytes.TrimSpace(l.buffered) }
