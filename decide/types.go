// Package decide holds canvasroute's decisions. This file has its types and the two interfaces:
// the methods of Dispatcher that are called with what has happened, and Link, which it answers through.
package decide

import "time"

// Time is a moment or a span, in whole tenths of a millisecond.
type Time int64

// Work is core time, in the same unit as Time.
type Work int64

// Second is one second of Time, and of Work on a core of standard speed.
const Second = 10_000

// The kinds of id. Each counts from 0 within one dispatcher.
type (
	// Inv is an invocation; the caller numbers them and may use a number again once all is over.
	Inv int32
	// Worker is a worker; the caller numbers them as the lists name them.
	Worker int32
	// Operation is an operation, by its place in Terms.Operations.
	Operation int32
	// Customer is a customer, by its place in Terms.Customers.
	Customer int32
	// Zone is a failure zone of workers.
	Zone int32
	// Kind is a kind of worker, below Terms.Kinds.
	Kind int32
	// Cell is a group of workers within a zone.
	Cell int32
	// Peer is another dispatcher.
	Peer int32
)

// Repeat tells whether an operation may run again.
type Repeat uint8

// The values of Repeat.
const (
	Idempotent Repeat = iota
	Deduplicated
	NonIdempotent
)

// Scope is the group of workers that drops an operation's repeats.
type Scope uint8

// The values of Scope, from all workers to those of one cell.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// State is what the list says of a worker.
type State uint8

// The values of State.
const (
	Healthy State = iota
	Draining
	Gone
)

// Outcome is how one forward, or one probe, ended.
type Outcome uint8

// The values of Outcome.
const (
	Succeeded Outcome = iota + 1
	WorkerError
	Full
	TimedOut
	NoConnection
	Reset
	Cancelled
	Moot
	Stale   // a kept connection ended under it with nothing heard: it may have run, the worker may be well
	Refused // nobody listens at the worker: its process has ended, and it never ran
)

// neverRan tells of a forward that surely has not run.
func (o Outcome) neverRan() bool { return o == Full || o == NoConnection || o == Moot || o == Refused }

// OperationTerms are the terms of one operation.
type OperationTerms struct {
	Name              string // by which it is known in other terms
	Objective, Window Time
	Value, TardyShare float64
	Stretch           float64 // the objective grows by this many times the work
	Repeat            Repeat
	Scope             Scope
	Kind              Kind // the one kind of worker that runs it, or -1
}

// CustomerTerms are the terms of one customer: its invocations a second that count in full, perhaps infinite.
type CustomerTerms struct {
	Quota float64
	Name  string // by which it is known in other terms
}

// Terms are what a dispatcher is told at its start. New derives its figures from them and keeps none.
type Terms struct {
	Dispatchers, Kinds                        int
	Position                                  int     // its own number among the dispatchers
	TellCost                                  float64 // the price of a Tell for each invocation
	Zone                                      Zone
	Operations                                []OperationTerms
	Customers                                 []CustomerTerms
	Granularity, AskWithin, ComeBackMost      Time
	ToldWithin                                Time // a change of the list counts as told then, whatever became of calls; 0: no such term
	Ramp, FallSpan                            Time
	ColdFrom, FallMultiple                    float64
	SurplusShare, CrossCost                   float64
	AskForList, MayCancel, Copies, ComeBack   bool
	Probes, Peers, StartNotes, ReportsOnProbe bool
	Takes                                     bool    // the caller tells when a worker has a forward
	WorstOperation                            float64 // its weight in the goal, against all else
	ValueByInvocation                         float64 // 1 if billed value is for each, 0 if for a unit of work
	ForwardsMost                              int
	ReportInFlight, ReportQueue, ReportFree   int // places in a load report, -1 where not reported
}

// Entry is a worker as a list names it.
type Entry struct {
	Tgt   Worker
	ID    string
	Zone  Zone
	Kind  Kind
	Cell  Cell
	State State
	Born  Time // when it last started; 0 means long ago
}

// Landing is an invocation as it lands.
type Landing struct {
	Operation Operation
	Customer  Customer
	Grace     Time // until the client gives up this try
	Hint      Work // 0 where there is none
	Slots     float64
}

// Load is what one dispatcher has in flight at a worker.
type Load struct {
	Tgt      Worker
	InFlight int
}

// Link carries a dispatcher's answers out. Forwards of an invocation are numbered 0, 1, 2... as made.
type Link interface {
	Forward(inv Inv, tgt Worker, within Time)
	Cancel(inv Inv, forward int)
	Throttle(inv Inv, comeBack Time)
	Error(inv Inv)
	Wake(key uint64, after Time)
	Subscribe()
	Probe(tgt Worker)
	Tell(to Peer, l Load)
	Log(line string)
}

// Duration is the span for the standard library.
func (t Time) Duration() time.Duration { return time.Duration(t) * (time.Second / Second) }
