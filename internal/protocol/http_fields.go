package protocol

import "strings"

// Standard header fields, in lower case as Head has them. Those of the platform are in wire_names.go.
const (
	fieldConnection       = "connection"
	fieldContentLength    = "content-length"
	fieldContentType      = "content-type"
	fieldExpect           = "expect"
	fieldIdempotencyKey   = "idempotency-key"
	fieldTransferEncoding = "transfer-encoding"
)

// The platform's header fields that are sent or named in errors, in the case in which they are written there.
const (
	sentID       = "Req-Id"
	sentTimeout  = "Req-Deadline"
	sentSizeHint = "Req-Cost"
	sentExtra    = "Req-Extra"
)

// lowerCaseNames maps field names in their usual case to lower case, which saves an allocation for each.
var lowerCaseNames = func() map[string]string {
	lowerCaseOf := map[string]string{}
	for _, name := range []string{
		"Host", sentID, "Req-Kind", "Req-Owner", "Req-Key", sentTimeout, sentSizeHint,
		"Req-Retry", sentExtra, "Idempotency-Key", "Content-Length", "Content-Type", "Transfer-Encoding",
		"Connection", "Srv-Declined", "Date", "Accept", "User-Agent",
	} {
		lowerCaseOf[name] = strings.ToLower(name)
	}
	return lowerCaseOf
}()

// lowerCase returns a field name in lower case, as HTTP compares names without regard to case.
func lowerCase(name string) string {
	if lower, known := lowerCaseNames[name]; known {
		return lower
	}
	return strings.ToLower(name)
}
