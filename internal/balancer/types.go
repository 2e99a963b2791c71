package balancer

import "time"

// Time is a moment, in ticks since an origin that the caller chooses.
type Time int64

// Duration is a span of time, in ticks.
type Duration int64

// Work is the time that a core of standard speed needs for something, in ticks.
type Work int64

// Second is one second as a Duration or a Work: a tick is a tenth of a millisecond.
const Second = 10_000

// Tick is the unit of Time, Duration and Work.
const Tick = time.Second / Second

// DurationOf rounds a duration of the standard library down to whole ticks.
func DurationOf(d time.Duration) Duration { return Duration(d / Tick) }

// Standard returns the duration as the standard library has it.
func (d Duration) Standard() time.Duration { return time.Duration(d) * Tick }

// Add returns the moment that is a duration after t.
func (t Time) Add(d Duration) Time { return t + Time(d) }

// Sub returns the duration from another moment to t, negative if t is the earlier one.
func (t Time) Sub(earlier Time) Duration { return Duration(t - earlier) }

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

// ReportIndex is the place of a value in a worker's load report, from 0, or NotReported.
type ReportIndex int

// NotReported stands for a value that load reports do not have.
const NotReported ReportIndex = -1

// NoAttempt stands for the number of an attempt where there is none.
const NoAttempt = -1

// Answer tells whether the result of an attempt is the answer that the client gets.
type Answer uint8

// The values of Answer.
const (
	NoAnswer    Answer = iota // the request goes on, or has been answered otherwise
	FinalAnswer               // the request is closed with it
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
	Name             string   // by which other configurations know it
	LatencyObjective Duration // an answer is late after it
	DedupWindow      Duration // how long workers remember the key of a request
	Value            float64  // of an answer in time
	LateShare        float64  // share of the value that a late answer earns
	Stretch          float64  // the objective grows by this many times the size
	Idempotency      Idempotency
	DedupScope       DedupScope
	Kind             KindID // the one kind of worker that runs it, or AnyKind
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
	Granularity                                      Duration // of the platform's scheduling
	MaxPollInterval                                  Duration // longest time without a poll that the platform allows
	MaxRetryAfter                                    Duration // longest advice to a rejected client
	EndpointChangeDeadline                           Duration // a change of endpoints counts as known then, whatever became of polls; 0 for none
	WarmupDuration, WarmupWindow                     Duration
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
	ReportInFlight, ReportQueue, ReportFree          ReportIndex
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
	Timeout   Duration // until the client gives up this try
	SizeHint  Work     // for each of its slots; 0 for no hint
	Slots     float64  // that it takes; less than 1 counts as 1
}

// WorkerLoad is what one dispatcher has in flight at a worker.
type WorkerLoad struct {
	Worker   WorkerID
	InFlight int
}

// Effects carries out what a Balancer decides. Attempts of a request are numbered 0, 1, 2... as they are sent.
type Effects interface {
	// SendAttempt sends an attempt to a worker; it ends within a span, 0 for the request's deadline alone.
	SendAttempt(id RequestID, worker WorkerID, within Duration)
	// CancelAttempt cancels an attempt that is in flight. Its outcome still has to be reported.
	CancelAttempt(id RequestID, number int)
	// Reject tells the client to come again, after a span, 0 for no advice.
	Reject(id RequestID, retryAfter Duration)
	// Fail tells the client that the request failed.
	Fail(id RequestID)
	// Wake requests a call of WakeFired with the key after a span. It replaces any earlier request.
	Wake(key uint64, after Duration)
	// PollEndpoints requests the endpoint list; UpdateEndpoints or EndpointsUnavailable answers.
	PollEndpoints()
	// Probe requests a load report from a worker.
	Probe(worker WorkerID)
	// SendLoad tells a peer what is in flight here at a worker.
	SendLoad(to PeerID, load WorkerLoad)
	// Log takes an event that operators should know of.
	Log(event Event)
}
