// Package history writes down what happened in an experiment, and judges the four rules from that alone. It
// does no I/O: the stand-ins and the load generator tell it what they did and saw, with times from the
// experiment's start. What a dispatcher says of itself counts for nothing here.
package history

import (
	"sync"
	"time"
)

// Kind is how one try of a client ended.
type Kind uint8

// The values of Kind.
const (
	Open Kind = iota
	Succeeded
	Throttled
	Errored
	Unanswered  // the client's time was up, and it left
	Broken      // the connection ended with no whole answer
	Unreachable // no dispatcher took the connection: it was never taken
	Interrupted // the experiment ended first
	Unsent      // the generator could not send it: it has as many open as it may
)

// Kinds are their names, as results tell them.
var Kinds = [...]string{
	Open: "open", Succeeded: "succeeded", Throttled: "throttled", Errored: "errored",
	Unanswered: "unanswered", Broken: "broken", Unreachable: "unreachable", Interrupted: "interrupted",
	Unsent: "unsent",
}

// End is how a forward ended at its worker.
type End uint8

// The values of End.
const (
	Running    End = iota // or waiting: it has not ended
	Done                  // the worker wrote its result
	Failed                // the worker wrote that it failed
	Returned              // the worker wrote that it never ran
	Abandoned             // the dispatcher gave it up first
	Crashed               // the worker's process ended under it
	Swallowed             // the worker is silent on it
	Suppressed            // a repeat: the worker gave the first one's result, and nothing ran
)

// Forward is one message that a worker took whole.
type Forward struct {
	Dispatcher, Worker int
	Life               int           // of the worker's process, from 0
	First, Whole       time.Duration // when its first and its last byte came
	Started, Ended     time.Duration // 0 if not
	End                End
	Result             string
}

// neverRan tells whether the dispatcher had proof by then that the forward did not run.
func (f *Forward) neverRan(by time.Duration) bool { return f.End == Returned && f.Ended <= by }

// Try is one message of a client.
type Try struct {
	Key                   uint64 // where Keyed
	Keyed, Again          bool
	ID                    string
	Operation, Dispatcher int
	Sent, Deadline, Ended time.Duration // Sent: its last byte; 0 if it never left
	Kind                  Kind
	Status                int
	Result                string
	Forwards              []*Forward
	Crossed               time.Duration // when a kept connection ended under it and it was sent anew; 0 if never
}

// Notice is what the list service wrote to one dispatcher of one worker.
type Notice struct {
	Dispatcher, Worker int
	Ready              bool
	At                 time.Duration
}

// Fall is a cold worker that was pushed over by the forward of an invocation.
type Fall struct {
	Worker, Dispatcher int
	ID                 string
	At                 time.Duration
	Sent, Bound        time.Duration // core time sent within the span, and what it could bear
	What               string        // the heaviest of it
}

// Outage is a time in which a dispatcher's process was gone or stood still.
type Outage struct {
	Dispatcher int
	Planned    bool // it was asked to end, and drains first: what it had taken counts
	From, To   time.Duration
}

// Ledger takes records from many goroutines.
type Ledger struct {
	mu      sync.Mutex
	tries   []*Try
	byID    map[string]*Try
	strange []Breach
	notices []Notice
	falls   []Fall
	outages []Outage
}

// New makes an empty ledger.
func New() *Ledger { return &Ledger{byID: map[string]*Try{}} }

// Tried opens a client's try, before its first byte leaves. Deadline is when the client gives up.
func (l *Ledger) Tried(id string, operation, dispatcher int, deadline time.Duration) *Try {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &Try{ID: id, Operation: operation, Dispatcher: dispatcher, Deadline: deadline}
	l.byID[id] = t
	l.tries = append(l.tries, t)
	return t
}

// Keyed tells the key that a try goes under, and whether its client marks it as a repeat.
func (l *Ledger) Keyed(t *Try, key uint64, again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.Key, t.Keyed, t.Again = key, true, again
}

// Sent tells that a try's last byte has been written.
func (l *Ledger) Sent(t *Try, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.Sent = at
}

// Moved tells that a try goes out anew, since a kept connection ended with nothing heard: as far as its
// client can tell, that end has crossed it and nobody has read it.
func (l *Ledger) Moved(t *Try, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.Sent, t.Crossed = 0, at
}

// Ended closes a try.
func (l *Ledger) Ended(t *Try, kind Kind, status int, result string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.Kind, t.Status, t.Result, t.Ended = kind, status, result, at
}

// Received opens a forward that a worker has taken whole. One under an id that no client sent breaks a rule.
func (l *Ledger) Received(id string, f Forward) *Forward {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.byID[id]
	if t == nil {
		l.strange = append(l.strange, Breach{
			Rule: RuleNoneLost, ID: id, Dispatcher: f.Dispatcher,
			Worker: f.Worker, At: f.Whole, What: "a forward under an id that no client sent",
		})
		return &f
	}
	t.Forwards = append(t.Forwards, &f)
	return &f
}

// Started tells that a forward has begun to run.
func (l *Ledger) Started(f *Forward, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f.Started = at
}

// Over closes a forward; the first end counts.
func (l *Ledger) Over(f *Forward, end End, result string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.End == Running {
		f.End, f.Result, f.Ended = end, result, at
	}
}

// Told tells of a notice.
func (l *Ledger) Told(n Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notices = append(l.notices, n)
}

// Fell tells of a worker that was pushed over.
func (l *Ledger) Fell(f Fall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.falls = append(l.falls, f)
}

// Away tells of an outage that is over, or that lasts to the end.
func (l *Ledger) Away(o Outage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outages = append(l.outages, o)
}

// Tries hands out what is written down, for reports once all is over.
func (l *Ledger) Tries() []*Try {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tries
}

// Ends tells how the forwards of an invocation stand, in the order in which they came.
func (l *Ledger) Ends(id string) (ends []End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.byID[id]; t != nil {
		for _, f := range t.Forwards {
			ends = append(ends, f.End)
		}
	}
	return ends
}
