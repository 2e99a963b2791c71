package balancer

import "time"

// Time is a moment or a span, in whole tenths of a millisecond.
type Time int64

// Work is core time, in the same unit as Time.
type Work int64

// Second is one second as a Time, and as a Work on a core of standard speed.
const Second = 10_000

// Duration is the span for the standard library.
func (t Time) Duration() time.Duration { return time.Duration(t) * (time.Second / Second) }

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
	// KindID is a kind of worker, below Config.Kinds.
	KindID int32
	// CellID is a group of workers within a zone.
	CellID int32
	// PeerID is another dispatcher.
	PeerID int32
)

// Idempotency tells whether a request may be executed again.
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

// Outcome is how an attempt, or a probe, ended.
type Outcome uint8

// The outcomes.
const (
	Succeeded Outcome = iota + 1
	WorkerError
	Overloaded // the worker refused it
	TimedOut
	NoConnection // none came up
	ConnectionReset
	Canceled
	NotSent
	ConnectionStale   // a reused connection ended without a response: it may have run, and the worker may be well
	ConnectionRefused // nobody listens at the worker: its process has ended, and the attempt never ran
)

// neverRan tells of an attempt that has certainly not been executed.
func (o Outcome) neverRan() bool {
	return o == Overloaded || o == NoConnection || o == NotSent || o == ConnectionRefused
}

// OperationConfig is the configuration of one operation.
type OperationConfig struct {
	Name             string  // by which other configurations know it
	LatencyObjective Time    // an answer is late after it
	DedupWindow      Time    // how long workers remember the key of a request
	Value            float64 // of an answer in time
	LateShare        float64 // share of the value that a late answer earns
	Stretch          float64 // the objective grows by this many times the size
	Idempotency      Idempotency
	DedupScope       DedupScope
	Kind             KindID // the one kind of worker that runs it, or -1 for all
}

// TenantConfig is the configuration of one tenant.
type TenantConfig struct {
	Quota float64 // requests a second that count in full, perhaps infinite
	Name  string  // by which other configurations know it
}

// Config is the configuration of one dispatcher. New derives its figures from it and keeps no reference to it.
type Config struct {
	Dispatchers, Kinds                               int
	Position                                         int     // this dispatcher's number among all, from 0
	GossipCost                                       float64 // price of a message to a peer, against the value of a request
	Zone                                             ZoneID  // this dispatcher's zone
	Operations                                       []OperationConfig
	Tenants                                          []TenantConfig
	Granularity                                      Time // of the platform's scheduling
	MaxPollInterval                                  Time // longest time without a poll that the platform allows
	MaxRetryAfter                                    Time // longest advice to a rejected client
	EndpointChangeDeadline                           Time // a change of endpoints counts as known then, whatever became of polls; 0 for none
	WarmupDuration, WarmupWindow                     Time
	InitialWarmup                                    float64 // share of its capacity that a worker has as it starts
	OverloadFactor                                   float64 // a warming worker breaks at this many times its capacity
	OverQuotaShare                                   float64 // weight of a request beyond its tenant's quota
	CrossZoneCost                                    float64 // price of an attempt in another zone
	PollEndpoints, Cancellation, Hedging, RetryAfter bool
	Probes, Gossip, StartNotices, ReportsOnProbe     bool
	DeliveryNotices                                  bool    // the caller reports that a worker has received an attempt
	WorstOperationWeight                             float64 // weight in the goal of the operation that loses most
	ValuePerRequest                                  float64 // 1 if value is billed by request, 0 if by unit of work
	MaxAttempts                                      int
	ReportInFlight, ReportQueue, ReportFree          int // indexes in a load report, -1 where not reported
}

// Endpoint is a worker as an endpoint list names it.
type Endpoint struct {
	Worker    WorkerID
	ID        string
	Zone      ZoneID
	Kind      KindID
	Cell      CellID
	State     WorkerState
	StartedAt Time // when its process last started; 0 is long ago
}

// Arrival is a request as it arrives.
type Arrival struct {
	Operation OperationID
	Tenant    TenantID
	Timeout   Time    // until the client gives up this try
	SizeHint  Work    // for each of its slots; 0 for no hint
	Slots     float64 // that it takes; less than 1 counts as 1
}

// WorkerLoad is what one dispatcher has in flight at a worker.
type WorkerLoad struct {
	Worker   WorkerID
	InFlight int
}

// Effects carries out what a Balancer decides. Attempts of a request are numbered 0, 1, 2... as they are sent.
type Effects interface {
	// SendAttempt sends an attempt to a worker; it ends within a span, 0 for the request's deadline alone.
	SendAttempt(id RequestID, worker WorkerID, within Time)
	// CancelAttempt cancels an attempt that is in flight. Its outcome still has to be reported.
	CancelAttempt(id RequestID, number int)
	// Reject tells the client to come again, after a span, 0 for no advice.
	Reject(id RequestID, retryAfter Time)
	// Fail tells the client that the request failed.
	Fail(id RequestID)
	// Wake requests a call of WakeFired with the key after a span. It replaces any earlier request.
	Wake(key uint64, after Time)
	// PollEndpoints requests the endpoint list; UpdateEndpoints or EndpointsUnavailable answers.
	PollEndpoints()
	// Probe requests a load report from a worker.
	Probe(worker WorkerID)
	// SendLoad tells a peer what is in flight here at a worker.
	SendLoad(to PeerID, load WorkerLoad)
	// Log takes a remark.
	Log(line string)
}
