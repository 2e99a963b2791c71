package protocol

import (
	"fmt"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// scanner reads JSON from left to right. It keeps no values: callers take those that they need as they come. After the
// first error it behaves as at the end of the input, so that callers check err once.
type scanner struct {
	input    []byte
	position int   // of the next byte in input
	depth    int   // of nested objects and arrays
	err      error // the first one, ErrMalformed
}

// maxDepth limits the nesting of values, as they are read by recursion.
const maxDepth = 32

// unicodeEscapeStart precedes the digits of an escaped character.
const unicodeEscapeStart = `\u`

// The digits of an escaped character, as in "\u00e9" (RFC 8259, 7).
const (
	escapeDigits    = 4
	hexadecimal     = 16
	escapeValueBits = 16
)

// fail records the first error.
func (s *scanner) fail(problem string) {
	if s.err == nil {
		s.err = fmt.Errorf("%w: %s at byte %d", ErrMalformed, problem, s.position)
	}
	s.position = len(s.input)
}

// peek skips white space (RFC 8259, 2) and returns the next byte, 0 at the end.
func (s *scanner) peek() byte {
	for ; s.position < len(s.input); s.position++ {
		switch c := s.input[s.position]; c {
		case ' ', '\t', '\n', '\r':
		default:
			return c
		}
	}
	return 0
}

// consume skips white space, and then c. It reports whether c came next.
func (s *scanner) consume(c byte) bool {
	if s.peek() != c {
		return false
	}
	s.position++
	return true
}

// consumeWord skips white space, and then word. It reports whether word came next.
func (s *scanner) consumeWord(word string) bool {
	s.peek()
	if !s.hasNext(word) {
		return false
	}
	s.position += len(word)
	return true
}

// hasNext reports whether text comes next.
func (s *scanner) hasNext(text string) bool {
	end := s.position + len(text)
	return end <= len(s.input) && string(s.input[s.position:end]) == text
}

// finish checks that nothing but white space is left, and returns the first error.
func (s *scanner) finish() error {
	if s.err == nil && s.peek() != 0 {
		s.fail("data after the value")
	}
	return s.err
}

// object reads an object. It calls member with each key; member reads the value.
func (s *scanner) object(member func(key string)) {
	s.items('{', '}', func() {
		key := s.string()
		if !s.consume(':') {
			s.fail("no colon")
			return
		}
		member(key)
	})
}

// array reads an array. It calls item for each element; item reads it.
func (s *scanner) array(item func()) { s.items('[', ']', item) }

// items reads a list between brackets, separated by commas. item reads one entry.
func (s *scanner) items(opening, closing byte, item func()) {
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
		item()
		if s.err == nil && s.consume(closing) {
			return
		}
		if !s.consume(',') {
			s.fail("expected a comma")
		}
	}
}

// string reads a string. Most have no escapes, and are copied at once.
func (s *scanner) string() string {
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
func (s *scanner) escapedString() string {
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

// appendEscape reads an escape sequence after its backslash, and appends what it stands for.
func (s *scanner) appendEscape(out []byte) []byte {
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

// unicodeEscape reads an escaped rune after its "\u", which may be a surrogate pair. Half of a pair is returned as it is;
// utf8.AppendRune replaces it by utf8.RuneError.
func (s *scanner) unicodeEscape() rune {
	r := s.hexDigits()
	if !utf16.IsSurrogate(r) || !s.hasNext(unicodeEscapeStart) {
		return r
	}
	next := s.position
	s.position += len(unicodeEscapeStart)
	if pair := utf16.DecodeRune(r, s.hexDigits()); pair != utf8.RuneError {
		return pair
	}
	s.position = min(next, len(s.input))
	return r
}

// hexDigits reads the four digits of an escape.
func (s *scanner) hexDigits() rune {
	end := s.position + escapeDigits
	if end > len(s.input) {
		s.fail("short escape")
		return utf8.RuneError
	}
	value, err := strconv.ParseUint(string(s.input[s.position:end]), hexadecimal, escapeValueBits)
	if err != nil {
		s.fail("escape without digits")
		return utf8.RuneError
	}
	s.position = end
	return rune(value)
}

// number reads a number in any form that strconv.ParseFloat accepts, which is a superset of JSON's.
func (s *scanner) number() float64 {
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

// isNumberByte reports whether c may be part of a number.
func isNumberByte(c byte) bool {
	switch c {
	case '0', '1', '2', '3', '4', '5', '6', '7', '8', '9', '-', '+', '.', 'e', 'E':
		return true
	}
	return false
}

// bool reads true or false.
func (s *scanner) bool() bool {
	if s.consumeWord("true") {
		return true
	}
	if !s.consumeWord("false") {
		s.fail("expected true or false")
	}
	return false
}

// skip reads one value of any type.
func (s *scanner) skip() {
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
