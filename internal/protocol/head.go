package protocol

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Head is the first part of an HTTP/1.1 message: its first line, and its fields with names in lower case.
type Head struct {
	Method, Target string // of what is asked
	Status         int    // of an answer
	minor          byte   // of the version, 0 or 1
	fields         []field
}

type field struct{ name, value string }

// Field is the value of the first field of that name.
func (h *Head) Field(name string) string {
	for _, f := range h.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// has tells whether there is a field of that name, be it empty.
func (h *Head) has(name string) bool { return h.count(name) > 0 }

// count is how many fields there are of that name.
func (h *Head) count(name string) (n int) {
	for _, f := range h.fields {
		if f.name == name {
			n++
		}
	}
	return n
}

func (h *Head) all(name string) (values []string) {
	for _, f := range h.fields {
		if f.name == name {
			values = append(values, f.value)
		}
	}
	return values
}

// Path is the target without its query.
func (h *Head) Path() string {
	path, _, _ := strings.Cut(h.Target, "?")
	return path
}

// CloseRequested tells whether the sender ends the connection after this message.
func (h *Head) CloseRequested() bool {
	keep := h.minor > 0
	for _, v := range h.all("connection") {
		for token := range strings.SplitSeq(v, ",") {
			switch strings.ToLower(strings.TrimSpace(token)) {
			case "close":
				return true
			case "keep-alive":
				keep = true
			}
		}
	}
	return !keep
}

// AcceptsInterim tells whether the sender takes interim answers: all of HTTP/1.1 do.
func (h *Head) AcceptsInterim() bool { return h.minor > 0 }

// ExpectsContinue tells whether the sender waits for a word before it sends the body.
func (h *Head) ExpectsContinue() bool { return strings.EqualFold(h.Field("expect"), "100-continue") }

// ParseRequestHead reads the head of what is asked from the start of b. used is 0 while it is not whole. It takes
// nothing that another reader may take for something else: no bare LF, no control bytes.
func ParseRequestHead(b []byte) (h Head, used int, err error) {
	line, rest, used, err := cutHead(b)
	if used == 0 || err != nil {
		return h, used, err
	}
	head := b[:used]
	if bytes.Count(head, []byte("\n")) != bytes.Count(head, []byte("\r\n")) {
		return h, used, fmt.Errorf("%w: a line that ends in a bare LF", ErrMalformed)
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !token(parts[0]) || !strings.HasPrefix(parts[1], "/") || !visible(parts[1]) {
		return h, used, fmt.Errorf("%w: first line %.80q", ErrMalformed, line)
	}
	h.Method, h.Target = parts[0], parts[1]
	if h.minor, err = version(parts[2]); err == nil {
		h.fields, err = parseFields(rest)
	}
	return h, used, err
}

// ParseResponseHead reads the head of an answer from the start of b. used is 0 while it is not whole.
func ParseResponseHead(b []byte) (h Head, used int, err error) {
	line, rest, used, err := cutHead(b)
	if used == 0 || err != nil {
		return h, used, err
	}
	v, status, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(status, " ")
	h.Status, err = strconv.Atoi(code)
	if err != nil || len(code) != 3 || h.Status < 100 {
		return h, used, fmt.Errorf("%w: status line %.80q", ErrMalformed, line)
	}
	if h.minor, err = version(v); err == nil {
		h.fields, err = parseFields(rest)
	}
	return h, used, err
}

// cutHead finds the first line and the other lines of a head, and how many bytes it takes with its empty one.
// Empty lines before it are passed over, as some senders end a body with one.
func cutHead(b []byte) (first, rest string, used int, err error) {
	skipped := len(b) - len(bytes.TrimLeft(b, "\r\n"))
	end, gap := bytes.Index(b[skipped:], []byte("\n\r\n")), 3
	if bare := bytes.Index(b[skipped:], []byte("\n\n")); bare >= 0 && (end < 0 || bare < end) {
		end, gap = bare, 2
	}
	if end < 0 {
		if len(b) >= MaxHeadBytes {
			return "", "", 0, ErrHeadTooLarge
		}
		return "", "", 0, nil
	}
	if end+gap > MaxHeadBytes {
		return "", "", 0, ErrHeadTooLarge
	}
	text := string(b[skipped : skipped+end])
	first, rest, _ = strings.Cut(text, "\n")
	return strings.TrimSuffix(first, "\r"), rest, skipped + end + gap, nil
}

func version(s string) (byte, error) {
	if s == "HTTP/1.1" || s == "HTTP/1.0" {
		return s[len(s)-1] - '0', nil
	}
	return 0, fmt.Errorf("%w: version %.20q", ErrMalformed, s)
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
		if !ok || !token(name) || strings.ContainsFunc(value, control) {
			return nil, fmt.Errorf("%w: field %.80q", ErrMalformed, line)
		}
		fields = append(fields, field{lower(name), value})
	}
	return fields, nil
}

// usual are names as they mostly come, in lower case: they are found without making a new text of each.
var usual = func() map[string]string {
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

func lower(name string) string {
	if l, known := usual[name]; known {
		return l
	}
	return strings.ToLower(name)
}

// control tells whether r may stand in no field.
func control(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// visible tells whether s is of printing ASCII alone.
func visible(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

// token tells whether s is a method or a field's name.
func token(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}
