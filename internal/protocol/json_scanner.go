package protocol

import (
	"fmt"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// jsonScanner reads JSON from left to right without building a tree: callers read each value as it occurs. After the
// first error the scanner behaves as at the end of the input, so that callers need to check err only once.
type jsonScanner struct {
	input    []byte
	position int   // index of the next byte in input
	depth    int   // nesting depth of objects and arrays
	err      error // first error; wraps ErrMalformed
}

// maxDepth limits the nesting of values, because they are read recursively.
const maxDepth = 32

// unicodeEscapePrefix is the prefix of a Unicode escape.
const unicodeEscapePrefix = `\u`

// Format of a Unicode escape, such as "\u00e9" (RFC 8259, 7).
const (
	unicodeEscapeDigits = 4
	hexadecimal         = 16
	unicodeEscapeBits   = 16
)

// fail records the first error and moves to the end of the input.
func (s *jsonScanner) fail(problem string) {
	if s.err == nil {
		s.err = fmt.Errorf("%w: %s at byte %d", ErrMalformed, problem, s.position)
	}
	s.position = len(s.input)
}

// peek skips white space (RFC 8259, 2) and returns the next byte, or 0 at the end of the input.
func (s *jsonScanner) peek() byte {
	for ; s.position < len(s.input); s.position++ {
		switch c := s.input[s.position]; c {
		case ' ', '\t', '\n', '\r':
		default:
			return c
		}
	}
	return 0
}

// consume skips white space, and then c if it is the next byte. It reports whether it skipped c.
func (s *jsonScanner) consume(c byte) bool {
	if s.peek() != c {
		return false
	}
	s.position++
	return true
}

// consumeWord skips white space, and then word if it is next. It reports whether it skipped word.
func (s *jsonScanner) consumeWord(word string) bool {
	s.peek()
	if !s.hasNext(word) {
		return false
	}
	s.position += len(word)
	return true
}

// hasNext reports whether the remaining input starts with text.
func (s *jsonScanner) hasNext(text string) bool {
	end := s.position + len(text)
	return end <= len(s.input) && string(s.input[s.position:end]) == text
}

// finish checks that only white space is left, and returns the first error.
func (s *jsonScanner) finish() error {
	if s.err == nil && s.peek() != 0 {
		s.fail("data after the value")
	}
	return s.err
}

// object reads an object. It calls readMember for each key; readMember must read the value.
func (s *jsonScanner) object(readMember func(key string)) {
	s.items('{', '}', func() {
		key := s.string()
		if !s.consume(':') {
			s.fail("no colon")
			return
		}
		readMember(key)
	})
}

// array reads an array. It calls readItem for each element; readItem must read the element.
func (s *jsonScanner) array(readItem func()) { s.items('[', ']', readItem) }

// items reads a comma-separated list between brackets. It calls readItem for each entry; readItem must read the entry.
func (s *jsonScanner) items(opening, closing byte, readItem func()) {
	s.depth++
	if s.depth > maxDepth || !s.consume(opening) {
		s.fail("expected " + string(opening))
		return
	}
	defer func() { s.depth-- }()
	if s.consume(closing) {
		return
	}
	for s.err == nil {
		readItem()
		if s.err == nil && s.consume(closing) {
			return
		}
		if !s.consume(',') {
			s.fail("expected a comma")
		}
	}
}

// string reads a string. A string without escapes, the most common case, is copied in one step.
func (s *jsonScanner) string() string {
	if !s.consume('"') {
		s.fail("expected a string")
		return ""
	}
	start := s.position
	for n, c := range s.input[start:] {
		if c == '"' {
			s.position = start + n + 1
			return string(s.input[start : start+n])
		}
		if c == '\\' || c < ' ' {
			break
		}
	}
	return s.escapedString()
}

// escapedString reads the rest of a string byte by byte.
func (s *jsonScanner) escapedString() string {
	var out []byte
	for s.position < len(s.input) {
		c := s.input[s.position]
		s.position++
		switch {
		case c == '"':
			return string(out)
		case c == '\\':
			out = s.appendEscape(out)
		case c < ' ':
			s.fail("control character in a string")
		default:
			out = append(out, c)
		}
	}
	s.fail("string without end")
	return ""
}

// appendEscape reads an escape sequence after its backslash, and appends the character that it encodes.
func (s *jsonScanner) appendEscape(out []byte) []byte {
	if s.position >= len(s.input) {
		return out
	}
	c := s.input[s.position]
	s.position++
	switch c {
	case '"', '\\', '/':
		return append(out, c)
	case 'b':
		return append(out, '\b')
	case 'f':
		return append(out, '\f')
	case 'n':
		return append(out, '\n')
	case 'r':
		return append(out, '\r')
	case 't':
		return append(out, '\t')
	case 'u':
		return utf8.AppendRune(out, s.unicodeEscape())
	}
	s.fail("unknown escape")
	return out
}

// unicodeEscape reads a Unicode escape after its "\u", or a surrogate pair of two escapes. An unpaired surrogate is
// returned unchanged; utf8.AppendRune replaces it with utf8.RuneError.
func (s *jsonScanner) unicodeEscape() rune {
	r := s.hexDigits()
	if !utf16.IsSurrogate(r) || !s.hasNext(unicodeEscapePrefix) {
		return r
	}
	next := s.position
	s.position += len(unicodeEscapePrefix)
	if pair := utf16.DecodeRune(r, s.hexDigits()); pair != utf8.RuneError {
		return pair
	}
	s.position = min(next, len(s.input))
	return r
}

// hexDigits reads the four digits of a Unicode escape.
func (s *jsonScanner) hexDigits() rune {
	end := s.position + unicodeEscapeDigits
	if end > len(s.input) {
		s.fail("short escape")
		return utf8.RuneError
	}
	value, err := strconv.ParseUint(string(s.input[s.position:end]), hexadecimal, unicodeEscapeBits)
	if err != nil {
		s.fail("escape without digits")
		return utf8.RuneError
	}
	s.position = end
	return rune(value)
}

// number reads a number in any form that strconv.ParseFloat accepts, which is a superset of the JSON syntax.
func (s *jsonScanner) number() float64 {
	s.peek()
	start := s.position
	for s.position < len(s.input) && isNumberByte(s.input[s.position]) {
		s.position++
	}
	value, err := strconv.ParseFloat(string(s.input[start:s.position]), 64)
	if err != nil {
		s.fail("expected a number")
	}
	return value
}

// isNumberByte reports whether c can occur in a number.
func isNumberByte(c byte) bool {
	switch c {
	case '0', '1', '2', '3', '4', '5', '6', '7', '8', '9', '-', '+', '.', 'e', 'E':
		return true
	}
	return false
}

// bool reads true or false.
func (s *jsonScanner) bool() bool {
	if s.consumeWord("true") {
		return true
	}
	if !s.consumeWord("false") {
		s.fail("expected true or false")
	}
	return false
}

// skip reads and discards one value of any type.
func (s *jsonScanner) skip() {
	switch s.peek() {
	case '{':
		s.object(func(string) { s.skip() })
	case '[':
		s.array(s.skip)
	case '"':
		s.string()
	case 't', 'f':
		s.bool()
	case 'n':
		if !s.consumeWord("null") {
			s.fail("unknown word")
		}
	default:
		s.number()
	}
}
