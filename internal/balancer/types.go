// Package balancer holds canvasroute's decisions. This file has its types and the two interfaces:
// the methods of Balancer that are called with what has happened, and Link, which it answers through.
package balancer

import "time"

// Time is a moment or a span, in whole tenths of a millisecond.
type Time int64

// Work is core time, in the same unit as Time.
type Work int64

// Second is one second of Time, and of Work on a core of standard speed.
const Second = 10_000

// The kinds of id. Each counts from 0 within one dispatcher.
type (
	// RequestID is an invocation; the caller numbers them and may use a number again once all is over.
	RequestID int32
	// WorkerID is a worker; the caller numbers them as the lists name them.
	WorkerID int32
	// OperationID is an operation, by its place in Terms.Operations.
	OperationID int32
	// TenantID is a customer, by its place in Terms.Customers.
	TenantID int32
	// ZoneID is a failure zone of workers.
	ZoneID int32
	// KindID is a kind of worker, below Terms.Kinds.
	KindID int32
	// CellID is a group of workers within a zone.
	CellID int32
	// PeerID is another dispatcher.
	PeerID int32
)

// Idempotency tells whether an operation may run again.
type Idempotency uint8

// The values of Idempotency.
const (
	Idempotent Idempotency = iota
	IdempotentByKey
	NonIdempotent
)

// DedupScope is the group of workers that drops an operation's repeats.
type DedupScope uint8

// The values of Scope, from all workers to those of one cell.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// WorkerState is what the list says of a worker.
type WorkerState uint8

// The values of State.
const (
	Healthy WorkerState = iota
	Draining
	Gone
)

// Outcome is how one forward, or one probe, ended.
type Outcome uint8

// The values of Outcome.
const (
	Succeeded Outcome = iota + 1
	WorkerError
	Overloaded
	TimedOut
	NoConnection
	ConnectionReset
	Canceled
	NotSent
	ConnectionStale   // a kept connection ended under it with nothing heard: it may have run, the worker may be well
	ConnectionRefused // nobody listens at the worker: its process has ended, and it never ran
)

// neverRan tells of a forward that surely has not run.
func (o Outcome) neverRan() bool {
	return o == Overloaded || o == NoConnection || o == NotSent || o == ConnectionRefused
}

// OperationConfig are the terms of one operation.
type OperationConfig struct {
	Name                          string // by which it is known in other terms
	LatencyObjective, DedupWindow Time
	Value, LateShare              float64
	Stretch                       float64 // the objective grows by this many times the work
	Idempotency                   Idempotency
	DedupScope                    DedupScope
	Kind                          KindID // the one kind of worker that runs it, or -1
}

// TenantConfig are the terms of one customer: its invocations a second that count in full, perhaps infinite.
type TenantConfig struct {
	Quota float64
	Name  string // by which it is known in other terms
}

// Config are what a dispatcher is told at its start. New derives its figures from them and keeps none.
type Config struct {
	Dispatchers, Kinds                               int
	Position                                         int     // its own number among the dispatchers
	GossipCost                                       float64 // the price of a Tell for each invocation
	Zone                                             ZoneID
	Operations                                       []OperationConfig
	Tenants                                          []TenantConfig
	Granularity, MaxPollInterval, MaxRetryAfter      Time
	NotifyDeadline                                   Time // a change of the list counts as told then, whatever became of calls; 0: no such term
	WarmupDuration, WarmupWindow                     Time
	InitialWarmup, OverloadFactor                    float64
	OverQuotaShare, CrossZoneCost                    float64
	PollEndpoints, Cancellation, Hedging, RetryAfter bool
	Probes, Gossip, StartNotices, ReportsOnProbe     bool
	DeliveryNotices                                  bool    // the caller tells when a worker has a forward
	WorstOperationWeight                             float64 // its weight in the goal, against all else
	ValuePerRequest                                  float64 // 1 if billed value is for each, 0 if for a unit of work
	MaxAttempts                                      int
	ReportInFlight, ReportQueue, ReportFree          int // places in a load report, -1 where not reported
}

// Endpoint is a worker as a list names it.
type Endpoint struct {
	Worker    WorkerID
	ID        string
	Zone      ZoneID
	Kind      KindID
	Cell      CellID
	State     WorkerState
	StartedAt Time // when it last started; 0 means long ago
}

// Arrival is an invocation as it lands.
type Arrival struct {
	Operation OperationID
	Tenant    TenantID
	Timeout   Time // until the client gives up this try
	SizeHint  Work // 0 where there is none
	Slots     float64
}

// Load is what one dispatcher has in flight at a worker.
type Load struct {
	Worker   WorkerID
	InFlight int
}

// Effects carries a dispatcher's answers out. Forwards of an invocation are numbered 0, 1, 2... as made.
type Effects interface {
	SendAttempt(inv RequestID, tgt WorkerID, within Time)
	CancelAttempt(inv RequestID, forward int)
	Reject(inv RequestID, comeBack Time)
	Fail(inv RequestID)
	Wake(key uint64, after Time)
	PollEndpoints()
	Probe(tgt WorkerID)
	SendLoad(to PeerID, l Load)
	Log(line string)
}

// Duration is the span for the standard library.
func (t Time) Duration() time.Duration { return time.Duration(t) * (time.Second / Second) }
