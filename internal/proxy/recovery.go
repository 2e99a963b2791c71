package proxy

import (
	"context"
	"errors"
	"time"

	"canvasroute/internal/balancer"
)

// Recovery restores a dispatcher's state from disk and from its peers after a restart. A Proxy without a Recovery
// serves immediately and has no information about earlier requests.
type Recovery interface {
	// Ready returns nil if clients may connect, and an error with the reason otherwise.
	Ready() error
	// EndpointsReceived is called after each complete endpoint list or list of changes has been applied.
	EndpointsReceived()
	// EndpointsUnavailable is called after each failed poll or watch of the discovery service.
	EndpointsUnavailable()
	// Admit decides whether a request may be admitted in the current recovery phase.
	Admit(arrival balancer.Arrival) RecoveryAdmission
	// PriorExecution returns where and when an earlier request with the same key may have been executed, or nil if there
	// was none. The error is ErrOutcomeUnknown if that cannot be determined.
	PriorExecution(request KeyedRequest) (*PriorExecution, error)
	// PersistKey persists that a request may be executed at a worker. It returns after the record is on disk.
	PersistKey(ctx context.Context, k KeyRecord) error
}

// RecoveryAdmission is the decision of Recovery.Admit.
type RecoveryAdmission struct {
	Admitted   bool
	RetryAfter time.Duration        // Retry-After of a request that is not admitted, 0 to omit it
	Done       func(succeeded bool) // must be called when an admitted request has ended
}

// KeyedRequest identifies a request by its idempotency key.
type KeyedRequest struct {
	Operation   string
	Key         string
	MarkedRetry bool // the client marked the request as a retry
}

// ErrOutcomeUnknown is returned for a key that may have been used at an unknown worker.
var ErrOutcomeUnknown = errors.New("request may have been executed at an unknown worker")

// PriorExecution describes where and when a request may have been executed.
type PriorExecution struct {
	Worker       string // worker ID
	Zone         string // empty unless zones deduplicate requests
	Cell         int    // meaningless unless cells deduplicate requests
	SentAtMillis int64  // Unix time in milliseconds
}

// KeyRecord is the record of an attempt that is persisted before the attempt is sent.
type KeyRecord struct {
	Operation   string
	Key         string        // the request's idempotency key
	Worker      string        // worker ID
	Zone        string        // set if zones deduplicate requests
	Cell        int           // set if cells deduplicate requests
	DedupWindow time.Duration // how long the workers store the key
}
