// Package protocol reads and writes what goes over the wire: HTTP/1.1 messages, chunks, the workers' lines,
// lists and the datagrams between dispatchers. Bytes go in and values come out; nothing here does I/O.
package protocol

import "errors"

// The platform's names. Those of the headers are in lower case, as heads are read.
const (
	fieldID       = "req-id"
	fieldKind     = "req-kind"
	fieldOwner    = "req-owner"
	fieldTimeout  = "req-deadline"
	fieldCost     = "req-cost"
	fieldExtra    = "req-extra"
	fieldDedup    = "idempotency-key"
	fieldRetry    = "req-retry"
	fieldDeclined = "srv-declined"

	PathRequest   = "/api"
	PathHealth    = "/_health"
	PathLoad      = "/_load"
	PathEndpoints = "/catalog/members"
	host          = "origin.svc"
)

// Bounds on what is taken in.
const (
	MaxHeadBytes = 8 << 10
	MaxBodyBytes = 64 << 10
	MaxLineBytes = 2*MaxBodyBytes + 1<<10 // a result with every other byte escaped
)

// The ways a message can be wrong. ErrTooLarge is a body's; ErrHeadTooLarge a head's.
var (
	ErrMalformed    = errors.New("malformed")
	ErrTooLarge     = errors.New("body too large")
	ErrHeadTooLarge = errors.New("head too large")
)
