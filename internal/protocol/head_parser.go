package protocol

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// ParsedHead is a head at the start of some bytes.
type ParsedHead struct {
	Head

	// Length of the head in bytes, with the empty line that ends it. It is 0 while the head is incomplete, and is set
	// for a malformed head too.
	Length int
}

// ParseRequestHead parses a request's head at the start of b. The error is ErrMalformed, or ErrHeadTooLarge for a head
// of more than MaxHeadBytes.
//
// Bare LFs and control bytes are malformed. Parsers differ in how they read them, which allows request smuggling
// (RFC 9112, 11.2).
func ParseRequestHead(b []byte) (h ParsedHead, err error) {
	text, err := cutHead(b)
	h.Length = text.length
	if h.Length == 0 || err != nil {
		return h, err
	}
	head := b[:h.Length]
	if bytes.Count(head, []byte("\n")) != bytes.Count(head, []byte("\r\n")) {
		return h, fmt.Errorf("%w: line that ends in a bare LF", ErrMalformed)
	}
	words := strings.Split(text.startLine, " ")
	if len(words) != requestLineWords || !isToken(words[0]) || !isTarget(words[1]) {
		return h, fmt.Errorf("%w: request line %.80q", ErrMalformed, text.startLine)
	}
	h.Method = words[0]
	h.Target = words[1]
	err = h.parseVersionAndFields(words[2], text.fieldLines)
	return h, err
}

// isTarget reports whether s is a request target in origin form (RFC 9112, 3.2.1). Other forms are not supported.
func isTarget(s string) bool { return strings.HasPrefix(s, "/") && isPrintable(s) }

// ParseResponseHead parses a response's head at the start of b. Its errors are those of ParseRequestHead, but lines may
// end in a bare LF (RFC 9112, 2.2).
func ParseResponseHead(b []byte) (h ParsedHead, err error) {
	text, err := cutHead(b)
	h.Length = text.length
	if h.Length == 0 || err != nil {
		return h, err
	}
	version, statusAndReason, _ := strings.Cut(text.startLine, " ")
	status, _, _ := strings.Cut(statusAndReason, " ")
	h.Status, err = strconv.Atoi(status)
	if err != nil || len(status) != statusDigits || h.Status < StatusContinue {
		return h, fmt.Errorf("%w: status line %.80q", ErrMalformed, text.startLine)
	}
	err = h.parseVersionAndFields(version, text.fieldLines)
	return h, err
}

// parseVersionAndFields parses what follows in a request as in a response.
func (h *Head) parseVersionAndFields(version, fieldLines string) (err error) {
	h.minorVersion, err = parseVersion(version)
	if err != nil {
		return err
	}
	h.fields, err = parseFields(fieldLines)
	return err
}

// Parts of start lines (RFC 9112, 3 and 4).
const (
	requestLineWords = 3 // method, target and version
	statusDigits     = 3
)

// headText is the text of a head.
type headText struct {
	startLine  string
	fieldLines string // without the empty line that ends the head
	length     int    // in bytes, with that empty line; 0 while the head is incomplete
}

// cutHead finds the head at the start of b. Empty lines before it are skipped, as some senders end a body with one
// (RFC 9112, 2.2). The error is ErrHeadTooLarge.
func cutHead(b []byte) (headText, error) {
	skipped := len(b) - len(bytes.TrimLeft(b, "\r\n"))
	end, terminator := bytes.Index(b[skipped:], []byte("\n\r\n")), len("\n\r\n")
	if bare := bytes.Index(b[skipped:], []byte("\n\n")); bare >= 0 && (end < 0 || bare < end) {
		end, terminator = bare, len("\n\n")
	}
	if end < 0 {
		if len(b) >= MaxHeadBytes {
			return headText{}, ErrHeadTooLarge
		}
		return headText{}, nil
	}
	if end+terminator > MaxHeadBytes {
		return headText{}, ErrHeadTooLarge
	}
	text := string(b[skipped : skipped+end])
	startLine, fieldLines, _ := strings.Cut(text, "\n")
	return headText{
		startLine:  strings.TrimSuffix(startLine, "\r"),
		fieldLines: fieldLines,
		length:     skipped + end + terminator,
	}, nil
}

// parseVersion returns the minor version of HTTP/1.x.
func parseVersion(version string) (byte, error) {
	switch version {
	case "HTTP/1.0":
		return 0, nil
	case "HTTP/1.1":
		return 1, nil
	}
	return 0, fmt.Errorf("%w: version %.20q", ErrMalformed, version)
}

// parseFields parses the lines of header fields. The error is ErrMalformed with the first line that is none.
func parseFields(text string) (fields []field, err error) {
	fields = make([]field, 0, strings.Count(text, "\n")+1)
	for line := range strings.SplitSeq(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		name, value, hasColon := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !hasColon || !isToken(name) || strings.ContainsFunc(value, isForbiddenInValue) {
			return nil, fmt.Errorf("%w: field %.80q", ErrMalformed, line)
		}
		fields = append(fields, field{lowerCase(name), value})
	}
	return fields, nil
}

// asciiDelete is the last character of ASCII, a control character.
const asciiDelete = 0x7f

// isForbiddenInValue reports whether r is a control character that a field value may not hold (RFC 9110, 5.5).
func isForbiddenInValue(r rune) bool { return r < ' ' && r != '\t' || r == asciiDelete }

// isPrintable reports whether s is not empty and has printable ASCII characters only, without spaces.
func isPrintable(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r >= asciiDelete })
}

// isToken reports whether s is a token, as methods and field names are (RFC 9110, 5.6.2).
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= asciiDelete || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}
