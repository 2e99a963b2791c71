package protocol

// The platform's header fields, in lower case as Head has them.
const (
	fieldID        = "req-id"
	fieldOperation = "req-kind"
	fieldTenant    = "req-owner"
	fieldTimeout   = "req-deadline"
	fieldSizeHint  = "req-cost"
	fieldExtra     = "req-extra"
	fieldRetry     = "req-retry"
	fieldDeclined  = "srv-declined"
)

// Standard header fields, in lower case.
const (
	fieldConnection       = "connection"
	fieldContentLength    = "content-length"
	fieldContentType      = "content-type"
	fieldExpect           = "expect"
	fieldIdempotencyKey   = "idempotency-key"
	fieldTransferEncoding = "transfer-encoding"
)

// The platform's paths.
const (
	PathRequest   = "/api"
	PathHealth    = "/_health"
	PathLoad      = "/_load"
	PathEndpoints = "/catalog/members"
)

// hostName is the Host field of all requests that are sent.
const hostName = "origin.svc"
