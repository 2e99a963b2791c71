package balancer

// ID types. Each counts from 0 within one dispatcher.
type (
	// RequestID identifies a request. The caller assigns it, and may reuse it once the request is closed and all its
	// attempts have ended.
	RequestID int32
	// WorkerID identifies a worker. The caller assigns one to each worker of the endpoint lists.
	WorkerID int32
	// OperationID identifies an operation, by its index in Config.Operations or as assigned by Reconfigure.
	OperationID int32
	// TenantID identifies a tenant, by its index in Config.Tenants or as assigned by Reconfigure.
	TenantID int32
	// ZoneID identifies a failure zone of workers.
	ZoneID int32
	// KindID identifies a kind of worker. It is less than Config.Kinds, or AnyKind.
	KindID int32
	// CellID identifies a group of workers within a zone.
	CellID int32
	// PeerID identifies another dispatcher.
	PeerID int32
)

// AnyKind matches workers of every kind.
const AnyKind KindID = -1

// NoAttempt is the attempt number that refers to no attempt.
const NoAttempt = -1

// ReportIndex is the index of a value in a worker's load report, from 0, or NotReported.
type ReportIndex int

// NotReported is the index of a value that load reports do not contain.
const NotReported ReportIndex = -1

// Idempotency is whether a request may be executed more than once.
type Idempotency uint8

// The values of Idempotency.
const (
	Idempotent      Idempotency = iota // may be executed any number of times
	IdempotentByKey                    // may be repeated within the dedup window and scope: workers deduplicate by key
	NonIdempotent                      // must not be repeated if it may have been executed
)

// DedupScope is the group of workers that deduplicate repeats of a request.
type DedupScope uint8

// The values of DedupScope, from all workers to those of one cell.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// WorkerState is the state of a worker according to the endpoint list.
type WorkerState uint8

// The states of a worker.
const (
	Healthy  WorkerState = iota
	Draining             // it finishes its current attempts and accepts no new ones
	Gone
)

// Endpoint is a worker as described by an endpoint list.
type Endpoint struct {
	Worker    WorkerID
	ID        string // the same at every dispatcher; determines the worker's position on the ring
	Zone      ZoneID
	Kind      KindID
	Cell      CellID
	State     WorkerState
	StartedAt Time // last start of its process, or DistantPast
}

// Arrival describes a new request.
type Arrival struct {
	Operation OperationID
	Tenant    TenantID
	Timeout   Duration // time until the client gives up this try
	SizeHint  Work     // work per slot; 0 for no hint
	Slots     float64  // slots that the request occupies; less than 1 counts as 1
}

// size returns the work of the whole request according to its hint, or 0 without a hint.
func (a *Arrival) size() Work { return Work(float64(a.SizeHint) * max(a.Slots, 1)) }

// WorkerLoad is the number of attempts that one dispatcher has in flight at a worker.
type WorkerLoad struct {
	Worker   WorkerID
	InFlight int // attempts
}
