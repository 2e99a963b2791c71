package protocol

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// ParsedHead is a head that was parsed from the start of a buffer.
type ParsedHead struct {
	Head

	// Length is the length of the head in bytes, including the empty line at its end. It is 0 while the head is
	// incomplete, and is also set for a malformed head.
	Length int
}

// ParseRequestHead parses the head of a request at the start of b. It returns ErrMalformed, or ErrHeadTooLarge if the
// head exceeds MaxHeadBytes.
//
// Bare LFs and control bytes are rejected as malformed, because parsers interpret them differently, which allows
// request smuggling (RFC 9112, 11.2).
func ParseRequestHead(b []byte) (h ParsedHead, err error) {
	text, err := splitHead(b)
	h.Length = text.length
	if h.Length == 0 || err != nil {
		return h, err
	}
	head := b[:h.Length]
	if bytes.Count(head, []byte("\n")) != bytes.Count(head, []byte("\r\n")) {
		return h, fmt.Errorf("%w: line that ends in a bare LF", ErrMalformed)
	}
	words := strings.Split(text.startLine, " ")
	if len(words) != requestLineParts || !isToken(words[0]) || !isTarget(words[1]) {
		return h, fmt.Errorf("%w: request line %.80q", ErrMalformed, text.startLine)
	}
	h.Method = words[0]
	h.Target = words[1]
	err = h.parseVersionAndFields(words[2], text.fieldLines)
	return h, err
}

// isTarget reports whether s is a request target in origin form (RFC 9112, 3.2.1). Other forms are not supported.
func isTarget(s string) bool { return strings.HasPrefix(s, "/") && isPrintable(s) }

// ParseResponseHead parses the head of a response at the start of b. It returns the same errors as ParseRequestHead,
// but accepts lines that end in a bare LF (RFC 9112, 2.2).
func ParseResponseHead(b []byte) (h ParsedHead, err error) {
	text, err := splitHead(b)
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

// parseVersionAndFields parses the HTTP version and the header fields, which requests and responses have in common.
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
	requestLineParts = 3 // method, target and version
	statusDigits     = 3
)

// headText is the text of a head, split into its parts.
type headText struct {
	startLine  string
	fieldLines string // without the empty line at the end
	length     int    // in bytes, including the empty line; 0 while the head is incomplete
}

// splitHead returns the text of the head at the start of b. Empty lines before the head are skipped, because some
// senders add one after a body (RFC 9112, 2.2). It returns ErrHeadTooLarge if the head exceeds MaxHeadBytes.
func splitHead(b []byte) (headText, error) {
	skipped := len(b) - len(bytes.TrimLeft(b, "\r\n"))
	end, terminatorBytes := bytes.Index(b[skipped:], []byte("\n\r\n")), len("\n\r\n")
	if bareEnd := bytes.Index(b[skipped:], []byte("\n\n")); bareEnd >= 0 && (end < 0 || bareEnd < end) {
		end, terminatorBytes = bareEnd, len("\n\n")
	}
	if end < 0 {
		if len(b) >= MaxHeadBytes {
			return headText{}, ErrHeadTooLarge
		}
		return headText{}, nil
	}
	if end+terminatorBytes > MaxHeadBytes {
		return headText{}, ErrHeadTooLarge
	}
	text := string(b[skipped : skipped+end])
	startLine, fieldLines, _ := strings.Cut(text, "\n")
	return headText{
		startLine:  strings.TrimSuffix(startLine, "\r"),
		fieldLines: fieldLines,
		length:     skipped + end + terminatorBytes,
	}, nil
}

// parseVersion returns the minor version of HTTP/1.x, or ErrMalformed for any other version.
func parseVersion(version string) (byte, error) {
	switch version {
	case "HTTP/1.0":
		return 0, nil
	case "HTTP/1.1":
		return 1, nil
	}
	return 0, fmt.Errorf("%w: version %.20q", ErrMalformed, version)
}

// maxUsedFields limits the fields of a head that are kept.
const maxUsedFields = 64

// typicalUsedFields is the capacity that is allocated at first for the fields of a head.
const typicalUsedFields = 8

// parseFields checks header field lines, and returns the fields that are used. The memory for the result does not depend
// on the number of lines. It returns ErrMalformed with the first invalid line, or ErrHeadTooLarge if more than
// maxUsedFields would have to be kept.
func parseFields(text string) (fields []field, err error) {
	fields = make([]field, 0, min(strings.Count(text, "\n")+1, typicalUsedFields))
	for line := range strings.SplitSeq(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		name, value, hasColon := strings.Cut(line, ":")
		if !hasColon || !isToken(name) || !isFieldValue(value) {
			return nil, fmt.Errorf("%w: field %.80q", ErrMalformed, line)
		}
		name = usedField(name)
		if name == "" {
			continue
		}
		if len(fields) == maxUsedFields {
			return nil, ErrHeadTooLarge
		}
		fields = append(fields, field{name, strings.Trim(value, " \t")})
	}
	return fields, nil
}

// asciiDelete is the code of the ASCII control character DEL, the last ASCII character.
const asciiDelete = 0x7f

// isFieldValue reports whether s has no control character that is not allowed in a field value (RFC 9110, 5.5).
func isFieldValue(s string) bool {
	for _, c := range []byte(s) {
		if c < ' ' && c != '\t' || c == asciiDelete {
			return false
		}
	}
	return true
}

// isPrintable reports whether s is not empty and consists of printable ASCII characters without spaces.
func isPrintable(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r >= asciiDelete })
}

// tokenBytes reports for each byte whether it may be part of a token.
var tokenBytes = func() (allowed [256]bool) {
	for c := byte('!'); c < asciiDelete; c++ {
		allowed[c] = !strings.ContainsRune(`"(),/:;<=>?@[\]{}`, rune(c))
	}
	return allowed
}()

// isToken reports whether s is a token, the syntax of methods and field names (RFC 9110, 5.6.2).
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if !tokenBytes[c] {
			return false
		}
	}
	return s != ""
}
