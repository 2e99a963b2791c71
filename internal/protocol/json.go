package protocol

import (
	"fmt"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// scanner reads JSON from left to right without keeping any of it. After the first error it reads on as if
// at the end, so that callers check err once.
type scanner struct {
	b    []byte
	at   int
	deep int
	err  error
}

// mostDeep bounds values within values, which are passed over by recursion.
const mostDeep = 32

func (s *scanner) fail(what string) {
	if s.err == nil {
		s.err = fmt.Errorf("%w: %s at byte %d", ErrMalformed, what, s.at)
	}
	s.at = len(s.b)
}

// peek passes over white space and returns the next byte, 0 at the end.
func (s *scanner) peek() byte {
	for ; s.at < len(s.b); s.at++ {
		if c := s.b[s.at]; c != ' ' && c != '\t' && c != '\n' && c != '\r' {
			return c
		}
	}
	return 0
}

func (s *scanner) take(c byte) bool {
	if s.peek() != c {
		return false
	}
	s.at++
	return true
}

// end tells that nothing but white space may be left.
func (s *scanner) end() error {
	if s.err == nil && s.peek() != 0 {
		s.fail("more after the value")
	}
	return s.err
}

// object calls member for each key, with the scanner before its value, which member has to read.
func (s *scanner) object(member func(key string)) {
	s.items('{', '}', func() {
		key := s.text()
		if !s.take(':') {
			s.fail("no colon")
			return
		}
		member(key)
	})
}

func (s *scanner) array(item func()) { s.items('[', ']', item) }

func (s *scanner) items(from, to byte, item func()) {
	if s.deep++; s.deep > mostDeep || !s.take(from) {
		s.fail("expected " + string(from))
		return
	}
	defer func() { s.deep-- }()
	if s.take(to) {
		return
	}
	for s.err == nil {
		item()
		if s.err == nil && s.take(to) {
			return
		}
		if !s.take(',') {
			s.fail("expected a comma")
		}
	}
}

func (s *scanner) text() string {
	if !s.take('"') {
		s.fail("expected a text")
		return ""
	}
	from := s.at
	for n, c := range s.b[from:] {
		if c == '"' {
			s.at = from + n + 1
			return string(s.b[from : from+n])
		}
		if c == '\\' || c < ' ' {
			break
		}
	}
	var out []byte
	for s.at < len(s.b) {
		c := s.b[s.at]
		s.at++
		switch {
		case c == '"':
			return string(out)
		case c == '\\':
			out = s.escaped(out)
		case c < ' ':
			s.fail("control character in a text")
		default:
			out = append(out, c)
		}
	}
	s.fail("text without end")
	return ""
}

func (s *scanner) escaped(out []byte) []byte {
	if s.at >= len(s.b) {
		return out
	}
	c := s.b[s.at]
	s.at++
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
		r := s.unit()
		if utf16.IsSurrogate(r) && s.at+1 < len(s.b) && s.b[s.at] == '\\' && s.b[s.at+1] == 'u' {
			back := s.at
			s.at += 2
			if both := utf16.DecodeRune(r, s.unit()); both != utf8.RuneError {
				return utf8.AppendRune(out, both)
			}
			s.at = min(back, len(s.b))
		}
		return utf8.AppendRune(out, r)
	}
	s.fail("unknown escape")
	return out
}

func (s *scanner) unit() rune {
	if s.at+4 > len(s.b) {
		s.fail("short escape")
		return utf8.RuneError
	}
	n, err := strconv.ParseUint(string(s.b[s.at:s.at+4]), 16, 16)
	if err != nil {
		s.fail("escape without digits")
		return utf8.RuneError
	}
	s.at += 4
	return rune(n)
}

func (s *scanner) number() float64 {
	s.peek()
	from := s.at
	for s.at < len(s.b) && (s.b[s.at] >= '0' && s.b[s.at] <= '9' || s.b[s.at] == '-' || s.b[s.at] == '+' ||
		s.b[s.at] == '.' || s.b[s.at] == 'e' || s.b[s.at] == 'E') {
		s.at++
	}
	v, err := strconv.ParseFloat(string(s.b[from:s.at]), 64)
	if err != nil {
		s.fail("expected a number")
	}
	return v
}

func (s *scanner) word(w string) bool {
	s.peek()
	if len(s.b)-s.at < len(w) || string(s.b[s.at:s.at+len(w)]) != w {
		return false
	}
	s.at += len(w)
	return true
}

func (s *scanner) truth() bool {
	if s.word("true") {
		return true
	}
	if !s.word("false") {
		s.fail("expected true or false")
	}
	return false
}

// skip passes over one value of any sort.
func (s *scanner) skip() {
	switch s.peek() {
	case '{':
		s.object(func(string) { s.skip() })
	case '[':
		s.array(s.skip)
	case '"':
		s.text()
	case 't', 'f':
		s.truth()
	case 'n':
		if !s.word("null") {
			s.fail("unknown word")
		}
	default:
		s.number()
	}
}
