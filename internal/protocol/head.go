package protocol

import "strings"

// fieldSet is the value of a field that is a mark.
const fieldSet = "1"

// Head is the head of an HTTP/1.x message: its start line and its header fields.
type Head struct {
	Method       string // of a request
	Target       string // of a request
	Status       int    // of a response
	minorVersion byte   // of HTTP/1.x: 0 or 1
	fields       []field
}

// field is a header field.
type field struct {
	name  string // in lower case where it was parsed
	value string
}

// Field returns the value of the first field of a name, which is in lower case; "" where there is none.
func (h *Head) Field(name string) string {
	for _, f := range h.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// has reports whether there is a field of a name, even with an empty value.
func (h *Head) has(name string) bool { return h.count(name) > 0 }

// count returns how many fields there are of a name.
func (h *Head) count(name string) (n int) {
	for _, f := range h.fields {
		if f.name == name {
			n++
		}
	}
	return n
}

// values returns the values of all fields of a name.
func (h *Head) values(name string) (values []string) {
	for _, f := range h.fields {
		if f.name == name {
			values = append(values, f.value)
		}
	}
	return values
}

// Path returns the target without its query.
func (h *Head) Path() string {
	path, _, _ := strings.Cut(h.Target, "?")
	return path
}

// CloseRequested reports whether the sender closes the connection after this message: with the option "close", or in
// HTTP/1.0 without "keep-alive" (RFC 9112, 9.3).
func (h *Head) CloseRequested() bool {
	persistent := h.minorVersion > 0
	for _, value := range h.values(fieldConnection) {
		for option := range strings.SplitSeq(value, ",") {
			switch strings.ToLower(strings.TrimSpace(option)) {
			case "close":
				return true
			case "keep-alive":
				persistent = true
			}
		}
	}
	return !persistent
}

// AcceptsInterim reports whether the sender understands interim (1xx) responses. Each sender of HTTP/1.1 does (RFC 9110,
// 15.2).
func (h *Head) AcceptsInterim() bool { return h.minorVersion > 0 }

// ExpectsContinue reports whether the sender waits for a 100 (Continue) before it sends the body (RFC 9110, 10.1.1).
func (h *Head) ExpectsContinue() bool {
	return strings.EqualFold(h.Field(fieldExpect), "100-continue")
}

// Operation returns the name of the operation that a request is for, "" where it names none.
func (h *Head) Operation() string { return h.Field(fieldOperation) }

// IsRetry reports whether the client marks the request as one that it has sent before.
func (h *Head) IsRetry() bool { return h.Field(fieldRetry) == fieldSet }

// Declined reports whether a worker's response says that the attempt was not executed.
func Declined(h *Head) bool {
	mayDecline := h.Status == StatusServiceUnavailable || h.Status == StatusGatewayTimeout
	return mayDecline && h.Field(fieldDeclined) == fieldSet
}
