package proxy

import (
	"context"
	"errors"
	"time"

	"canvasroute/internal/balancer"
)

// Recovery restores a dispatcher's state after it has ended, from disk and with the help of its peers. A Proxy without
// one serves at once and knows nothing of earlier requests.
type Recovery interface {
	// Ready returns nil once clients may come.
	Ready() error
	// EndpointsReceived is called after each list of workers or change to it.
	EndpointsReceived()
	// EndpointsUnavailable is called after each poll of the discovery service, or watch on it, that failed.
	EndpointsUnavailable()
	// Admit decides whether a request may be admitted yet.
	Admit(arrival balancer.Arrival) RecoveryAdmission
	// PriorExecution returns where a request with the same key may have been executed before, nil for nowhere. The
	// error is ErrOutcomeUnknown where that cannot be known.
	PriorExecution(request KeyedRequest) (*PriorExecution, error)
	// PersistKey returns once it is on disk that a request may be executed at a worker.
	PersistKey(ctx context.Context, k KeyRecord) error
}

// RecoveryAdmission is the answer of Recovery.Admit.
type RecoveryAdmission struct {
	Admitted   bool
	RetryAfter time.Duration        // advice to the client of a request that is not admitted, 0 for none
	Done       func(succeeded bool) // to be called once an admitted request has ended
}

// KeyedRequest identifies a request by its idempotency key.
type KeyedRequest struct {
	Operation    string
	Key          string
	MarkedRepeat bool // the client says that it has sent the request before
}

// ErrOutcomeUnknown is the error of a key that may have been used at an unknown worker.
var ErrOutcomeUnknown = errors.New("request may have been executed at an unknown worker")

// PriorExecution is where and when a request may have been executed.
type PriorExecution struct {
	Worker       string // its ID
	Zone         string // empty where zones do not drop repeats
	Cell         int    // of no meaning where cells do not drop repeats
	SentAtMillis int64  // Unix time in milliseconds
}

// KeyRecord is what is persisted of an attempt before it is sent.
type KeyRecord struct {
	Operation   string
	Key         string        // the request's idempotency key
	Worker      string        // its ID
	Zone        string        // set where the zone drops repeats
	Cell        int           // set where the cell drops repeats
	DedupWindow time.Duration // how long they are dropped
}
