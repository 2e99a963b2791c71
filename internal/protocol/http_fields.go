package protocol

import "strings"

// Standard HTTP header fields, in lower case as in Head. The header fields of the platform are in wire_names.go.
const (
	fieldConnection       = "connection"
	fieldContentLength    = "content-length"
	fieldContentType      = "content-type"
	fieldExpect           = "expect"
	fieldIdempotencyKey   = "idempotency-key"
	fieldTransferEncoding = "transfer-encoding"
)

// Header fields of the platform in the case in which they are sent and reported in errors.
const (
	canonicalID       = "Req-Id"
	canonicalTimeout  = "Req-Deadline"
	canonicalSizeHint = "Req-Cost"
	canonicalExtra    = "Req-Extra"
)

// lowerCaseNames maps common spellings of field names to lower case, which avoids an allocation for each field.
var lowerCaseNames = func() map[string]string {
	names := map[string]string{}
	for _, name := range []string{
		"Host", canonicalID, "Req-Kind", "Req-Owner", "Req-Key", canonicalTimeout, canonicalSizeHint,
		"Req-Retry", canonicalExtra, "Idempotency-Key", "Content-Length", "Content-Type", "Transfer-Encoding",
		"Connection", "Srv-Declined", "Date", "Accept", "User-Agent",
	} {
		names[name] = strings.ToLower(name)
	}
	return names
}()

// lowerCase returns a field name in lower case. HTTP field names are case-insensitive.
func lowerCase(name string) string {
	if lower, known := lowerCaseNames[name]; known {
		return lower
	}
	return strings.ToLower(name)
}
