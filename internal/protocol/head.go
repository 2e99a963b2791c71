package protocol

import "strings"

// flagValue is the value of a header field that serves as a flag.
const flagValue = "1"

// Head is the head of an HTTP/1.x message: its start line and its header fields.
type Head struct {
	Method       string  // for requests only
	Target       string  // for requests only
	Status       int     // for responses only
	minorVersion byte    // minor version of HTTP/1.x: 0 or 1
	fields       []field // those of usedFields
}

// field is a header field.
type field struct {
	name  string // in lower case if the head was parsed
	value string
}

// Field returns the value of the first field with a name, or "" if the head has no such field. The name must be one of
// usedFields.
func (h *Head) Field(name string) string {
	for _, f := range h.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// has reports whether the head has a field with a name, even if its value is empty.
func (h *Head) has(name string) bool { return h.count(name) > 0 }

// count returns the number of fields with a name.
func (h *Head) count(name string) (n int) {
	for _, f := range h.fields {
		if f.name == name {
			n++
		}
	}
	return n
}

// values returns the values of all fields with a name.
func (h *Head) values(name string) (values []string) {
	for _, f := range h.fields {
		if f.name == name {
			values = append(values, f.value)
		}
	}
	return values
}

// Path returns the target without its query string.
func (h *Head) Path() string {
	path, _, _ := strings.Cut(h.Target, "?")
	return path
}

// CloseRequested reports whether the sender closes the connection after this message: the Connection field has the
// option "close", or the message is HTTP/1.0 without the option "keep-alive" (RFC 9112, 9.3).
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

// AcceptsInterim reports whether the sender accepts interim (1xx) responses. Every HTTP/1.1 sender does (RFC 9110,
// 15.2).
func (h *Head) AcceptsInterim() bool { return h.minorVersion > 0 }

// ExpectsContinue reports whether the sender waits for a 100 (Continue) response before it sends the body (RFC 9110,
// 10.1.1).
func (h *Head) ExpectsContinue() bool {
	return strings.EqualFold(h.Field(fieldExpect), "100-continue")
}

// Operation returns the name of the requested operation, or "" if the request has none.
func (h *Head) Operation() string { return h.Field(fieldOperation) }

// IsRetry reports whether the client marks the request as a retry.
func (h *Head) IsRetry() bool { return h.Field(fieldRetry) == flagValue }

// IsDeclined reports whether a worker's response indicates that the attempt was not executed.
func IsDeclined(h *Head) bool {
	canBeDeclined := h.Status == StatusServiceUnavailable || h.Status == StatusGatewayTimeout
	return canBeDeclined && h.Field(fieldDeclined) == flagValue
}
