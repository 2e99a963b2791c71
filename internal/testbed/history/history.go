// Package history writes down what happened in an experiment, and judges the four rules from that alone. It
// does no I/O: the stand-ins and the load generator tell it what they did and saw, with times from the
// experiment's start. What a dispatcher says of itself counts for nothing here.
package history

import (
	"sync"
	"time"
)

// Outcome is how one try of a client ended.
type Outcome uint8

// The values of Kind.
const (
	Pending Outcome = iota
	Succeeded
	Throttled
	Errored
	Unanswered  // the client's time was up, and it left
	Broken      // the connection ended with no whole answer
	Unreachable // no dispatcher took the connection: it was never taken
	Interrupted // the experiment ended first
	Unsent      // the generator could not send it: it has as many open as it may
)

// OutcomeNames are their names, as results tell them.
var OutcomeNames = [...]string{
	Pending: "open", Succeeded: "succeeded", Throttled: "throttled", Errored: "errored",
	Unanswered: "unanswered", Broken: "broken", Unreachable: "unreachable", Interrupted: "interrupted",
	Unsent: "unsent",
}

// AttemptEnd is how a forward ended at its worker.
type AttemptEnd uint8

// The values of End.
const (
	Running       AttemptEnd = iota // or waiting: it has not ended
	Done                            // the worker wrote its result
	Failed                          // the worker wrote that it failed
	Returned                        // the worker wrote that it never ran
	Abandoned                       // the dispatcher gave it up first
	Crashed                         // the worker's process ended under it
	NeverReported                   // the worker is silent on it
	Deduplicated                    // a repeat: the worker gave the first one's result, and nothing ran
)

// Attempt is one message that a worker took whole.
type Attempt struct {
	Dispatcher, Worker      int
	Incarnation             int           // of the worker's process, from 0
	FirstByteAt, ReceivedAt time.Duration // when its first and its last byte came
	StartedAt, EndedAt      time.Duration // 0 if not
	End                     AttemptEnd
	Result                  string
}

// provenUnstarted tells whether the dispatcher had proof by then that the forward did not run.
func (f *Attempt) provenUnstarted(by time.Duration) bool { return f.End == Returned && f.EndedAt <= by }

// Request is one message of a client.
type Request struct {
	Key                       uint64 // where Keyed
	HasKey, MarkedRetry       bool
	ID                        string
	Operation, Dispatcher     int
	SentAt, Deadline, EndedAt time.Duration // Sent: its last byte; 0 if it never left
	Outcome                   Outcome
	Status                    int
	Result                    string
	Attempts                  []*Attempt
	ResentAt                  time.Duration // when a kept connection ended under it and it was sent anew; 0 if never
}

// Notification is what the list service wrote to one dispatcher of one worker.
type Notification struct {
	Dispatcher, Worker int
	Ready              bool
	At                 time.Duration
}

// Overload is a cold worker that was pushed over by the forward of an invocation.
type Overload struct {
	Worker, Dispatcher int
	ID                 string
	At                 time.Duration
	SentWork, Budget   time.Duration // core time sent within the span, and what it could bear
	RecentJobs         string        // the heaviest of it
}

// Outage is a time in which a dispatcher's process was gone or stood still.
type Outage struct {
	Dispatcher int
	Planned    bool // it was asked to end, and drains first: what it had taken counts
	From, To   time.Duration
}

// Log takes records from many goroutines.
type Log struct {
	mu            sync.Mutex
	requests      []*Request
	byID          map[string]*Request
	unknown       []Violation
	notifications []Notification
	overloads     []Overload
	outages       []Outage
}

// New makes an empty ledger.
func New() *Log { return &Log{byID: map[string]*Request{}} }

// RequestOpened opens a client's try, before its first byte leaves. Deadline is when the client gives up.
func (l *Log) RequestOpened(id string, operation, dispatcher int, deadline time.Duration) *Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &Request{ID: id, Operation: operation, Dispatcher: dispatcher, Deadline: deadline}
	l.byID[id] = t
	l.requests = append(l.requests, t)
	return t
}

// SetKey tells the key that a try goes under, and whether its client marks it as a repeat.
func (l *Log) SetKey(t *Request, key uint64, markedRetry bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.Key, t.HasKey, t.MarkedRetry = key, true, markedRetry
}

// RequestSent tells that a try's last byte has been written.
func (l *Log) RequestSent(t *Request, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.SentAt = at
}

// RequestResent tells that a try goes out anew, since a kept connection ended with nothing heard: as far as its
// client can tell, that end has crossed it and nobody has read it.
func (l *Log) RequestResent(t *Request, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.SentAt, t.ResentAt = 0, at
}

// RequestEnded closes a try.
func (l *Log) RequestEnded(t *Request, outcome Outcome, status int, result string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.Outcome, t.Status, t.Result, t.EndedAt = outcome, status, result, at
}

// AttemptReceived opens a forward that a worker has taken whole. One under an id that no client sent breaks a rule.
func (l *Log) AttemptReceived(id string, f Attempt) *Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.byID[id]
	if t == nil {
		l.unknown = append(l.unknown, Violation{
			Rule: RuleNoRequestLost, ID: id, Dispatcher: f.Dispatcher,
			Worker: f.Worker, At: f.ReceivedAt, Description: "a forward under an id that no client sent",
		})
		return &f
	}
	t.Attempts = append(t.Attempts, &f)
	return &f
}

// AttemptStarted tells that a forward has begun to run.
func (l *Log) AttemptStarted(f *Attempt, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f.StartedAt = at
}

// AttemptEnded closes a forward; the first end counts.
func (l *Log) AttemptEnded(f *Attempt, end AttemptEnd, result string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.End == Running {
		f.End, f.Result, f.EndedAt = end, result, at
	}
}

// WorkerListed tells of a notice.
func (l *Log) WorkerListed(n Notification) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifications = append(l.notifications, n)
}

// WorkerOverloaded tells of a worker that was pushed over.
func (l *Log) WorkerOverloaded(f Overload) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overloads = append(l.overloads, f)
}

// AddOutage tells of an outage that is over, or that lasts to the end.
func (l *Log) AddOutage(o Outage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outages = append(l.outages, o)
}

// Requests hands out what is written down, for reports once all is over.
func (l *Log) Requests() []*Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests
}

// AttemptEnds tells how the forwards of an invocation stand, in the order in which they came.
func (l *Log) AttemptEnds(id string) (ends []AttemptEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.byID[id]; t != nil {
		for _, f := range t.Attempts {
			ends = append(ends, f.End)
		}
	}
	return ends
}
