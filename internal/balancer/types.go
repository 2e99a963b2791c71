package balancer

// The kinds of number. Each counts from 0 within one dispatcher.
type (
	// RequestID is a request. The caller assigns it, and may use it again once the request is closed and all its
	// attempts have ended.
	RequestID int32
	// WorkerID is a worker. The caller assigns it as endpoint lists name workers.
	WorkerID int32
	// OperationID is an operation, by its place in Config.Operations or as Reconfigure assigns it.
	OperationID int32
	// TenantID is a tenant, by its place in Config.Tenants or as Reconfigure assigns it.
	TenantID int32
	// ZoneID is a failure zone of workers.
	ZoneID int32
	// KindID is a kind of worker, below Config.Kinds, or AnyKind.
	KindID int32
	// CellID is a group of workers within a zone.
	CellID int32
	// PeerID is another dispatcher.
	PeerID int32
)

// AnyKind stands for all kinds of worker.
const AnyKind KindID = -1

// NoAttempt stands for the number of an attempt where there is none.
const NoAttempt = -1

// ReportIndex is the place of a value in a worker's load report, from 0, or NotReported.
type ReportIndex int

// NotReported stands for a value that load reports do not have.
const NotReported ReportIndex = -1

// Idempotency says whether a request may be executed again.
type Idempotency uint8

// The degrees of idempotency.
const (
	Idempotent      Idempotency = iota // any number of times
	IdempotentByKey                    // where a worker drops repeats, within the dedup window and scope
	NonIdempotent                      // never, if it may have been executed
)

// DedupScope is the group of workers that drops repeats of a request.
type DedupScope uint8

// The scopes, from all workers to those of one cell.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// WorkerState is what the endpoint list says of a worker.
type WorkerState uint8

// The states of a worker.
const (
	Healthy  WorkerState = iota
	Draining             // it finishes what it has, and gets nothing more
	Gone
)

// Endpoint is a worker as an endpoint list names it.
type Endpoint struct {
	Worker    WorkerID
	ID        string // the same at every dispatcher: it gives the worker its place on the ring
	Zone      ZoneID
	Kind      KindID
	Cell      CellID
	State     WorkerState
	StartedAt Time // when its process last started, or LongAgo
}

// Arrival is a request as it arrives.
type Arrival struct {
	Operation OperationID
	Tenant    TenantID
	Timeout   Duration // until the client gives up this try
	SizeHint  Work     // for each of its slots; 0 for no hint
	Slots     float64  // that it takes; less than 1 counts as 1
}

// size is the work of the whole request by its hint, 0 without one.
func (a *Arrival) size() Work { return Work(float64(a.SizeHint) * max(a.Slots, 1)) }

// WorkerLoad is what one dispatcher has in flight at a worker.
type WorkerLoad struct {
	Worker   WorkerID
	InFlight int // attempts
}
