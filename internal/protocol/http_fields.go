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

// usedFields are the header fields that this package reads, by the length of their names. A Head has no others.
var usedFields = func() map[int][]string {
	byLength := map[int][]string{}
	for _, name := range []string{
		fieldConnection, fieldContentLength, fieldContentType, fieldExpect, fieldIdempotencyKey, fieldTransferEncoding,
		fieldID, fieldOperation, fieldTenant, fieldTimeout, fieldSizeHint, fieldExtra, fieldRetry, fieldDeclined,
	} {
		byLength[len(name)] = append(byLength[len(name)], name)
	}
	return byLength
}()

// usedField returns a field name in lower case, or "" if fields of that name are not used. HTTP field names are
// case-insensitive.
func usedField(name string) string {
	for _, used := range usedFields[len(name)] {
		if strings.EqualFold(name, used) {
			return used
		}
	}
	return ""
}
