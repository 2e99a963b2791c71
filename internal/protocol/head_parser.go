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

	// Length is that of the head in bytes, with the empty line that ends it; 0 while the head is incomplete. It is set
	// for a malformed head too.
	Length int
}

// ParseRequestHead parses a request's head at the start of b. It is strict: what another parser might understand in
// another way, such as a bare LF or a control byte, is ErrMalformed, as it could smuggle a request past one of the two
// (RFC 9112, 11.2). A head over MaxHeadBytes is ErrHeadTooLarge.
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
	parts := strings.Split(text.startLine, " ")
	if len(parts) != 3 || !isToken(parts[0]) || !strings.HasPrefix(parts[1], "/") || !isPrintable(parts[1]) {
		return h, fmt.Errorf("%w: request line %.80q", ErrMalformed, text.startLine)
	}
	h.Method = parts[0]
	h.Target = parts[1]
	err = h.parseVersionAndFields(parts[2], text.fieldLines)
	return h, err
}

// ParseResponseHead parses a response's head at the start of b, as ParseRequestHead does, but accepts lines that end in
// a bare LF (RFC 9112, 2.2).
func ParseResponseHead(b []byte) (h ParsedHead, err error) {
	text, err := cutHead(b)
	h.Length = text.length
	if h.Length == 0 || err != nil {
		return h, err
	}
	version, statusAndReason, _ := strings.Cut(text.startLine, " ")
	status, _, _ := strings.Cut(statusAndReason, " ")
	h.Status, err = strconv.Atoi(status)
	if err != nil || len(status) != 3 || h.Status < 100 {
		return h, fmt.Errorf("%w: status line %.80q", ErrMalformed, text.startLine)
	}
	err = h.parseVersionAndFields(version, text.fieldLines)
	return h, err
}

func (h *Head) parseVersionAndFields(version, fieldLines string) (err error) {
	h.minorVersion, err = parseVersion(version)
	if err != nil {
		return err
	}
	h.fields, err = parseFields(fieldLines)
	return err
}

// headText is the text of a head.
type headText struct {
	startLine  string
	fieldLines string
	length     int // in bytes, with the empty line that ends it; 0 while that has not come
}

// cutHead finds the parts of a head. Empty lines before the head are skipped, as some senders end a body with one
// (RFC 9112, 2.2).
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

func parseFields(text string) (fields []field, err error) {
	fields = make([]field, 0, strings.Count(text, "\n")+1)
	for line := range strings.SplitSeq(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !ok || !isToken(name) || strings.ContainsFunc(value, isForbiddenInValue) {
			return nil, fmt.Errorf("%w: field %.80q", ErrMalformed, line)
		}
		fields = append(fields, field{lowerCase(name), value})
	}
	return fields, nil
}

// lowerCaseNames maps field names as they are usually sent to lower case, which saves an allocation for each.
var lowerCaseNames = func() map[string]string {
	m := map[string]string{}
	for _, name := range []string{
		"Host", "Req-Id", "Req-Kind", "Req-Owner", "Req-Key", "Req-Deadline", "Req-Cost",
		"Req-Retry", "Req-Extra", "Idempotency-Key", "Content-Length", "Content-Type", "Transfer-Encoding",
		"Connection", "Srv-Declined", "Date", "Accept", "User-Agent",
	} {
		m[name] = strings.ToLower(name)
	}
	return m
}()

func lowerCase(name string) string {
	if lower, known := lowerCaseNames[name]; known {
		return lower
	}
	return strings.ToLower(name)
}

// isForbiddenInValue reports whether r is a control character that a field value may not hold (RFC 9110, 5.5).
func isForbiddenInValue(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// isPrintable reports whether s is not empty and of printing ASCII characters alone, without spaces.
func isPrintable(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

// isToken reports whether s is a token, as methods and field names are (RFC 9110, 5.6.2).
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}
