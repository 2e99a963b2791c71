// Package history records what happened in an experiment and checks the four rules against that record. It does no
// I/O: the stand-ins and the load generator report what they did and observed, with times since the start of the
// experiment. Nothing that a dispatcher reports about itself is used, as a faulty dispatcher may be wrong about that too.
package history

import (
	"sync"
	"time"
)

// Outcome is how a client's request ended.
type Outcome uint8

// The values of Outcome.
const (
	Pending Outcome = iota
	Succeeded
	Throttled
	Errored
	Unanswered  // the client's timeout expired
	Broken      // the connection ended without a complete answer
	Unreachable // no dispatcher accepted the connection
	Interrupted // the experiment ended before
	Unsent      // the load generator was at its limit of open calls
)

// OutcomeNames are the names of outcomes in results.
var OutcomeNames = [...]string{
	Pending: "open", Succeeded: "succeeded", Throttled: "throttled", Errored: "errored",
	Unanswered: "unanswered", Broken: "broken", Unreachable: "unreachable", Interrupted: "interrupted",
	Unsent: "unsent",
}

// AttemptEnd is how an attempt ended at its worker.
type AttemptEnd uint8

// The values of AttemptEnd.
const (
	Running       AttemptEnd = iota // queued or running
	Done                            // the worker wrote its result
	Failed                          // the worker wrote that it failed
	Returned                        // the worker wrote that it was never started
	Abandoned                       // the dispatcher cancelled it
	Crashed                         // the worker's process ended under it
	NeverReported                   // it ran, but the worker was muted and reported nothing
	Deduplicated                    // not run: the worker answered with the result of an earlier attempt under the same key
)

// Attempt is one message of a dispatcher that a worker received completely. Times are since the start of the experiment.
type Attempt struct {
	Dispatcher  int           // index
	Worker      int           // index
	Incarnation int           // of the worker's process, from 0
	FirstByteAt time.Duration // arrival of its first byte
	ReceivedAt  time.Duration // arrival of its last byte
	StartedAt   time.Duration // 0 if it has not started
	EndedAt     time.Duration // 0 while Running
	End         AttemptEnd
	Result      string // "" unless the worker produced one
}

// provenUnstarted reports whether the dispatcher had proof at a time that the attempt did not run.
func (a *Attempt) provenUnstarted(at time.Duration) bool { return a.End == Returned && a.EndedAt <= at }

// Request is one message of a client. A retry is another request, with an ID of its own. Times are since the start of the
// experiment.
type Request struct {
	ID          string
	Operation   int    // index
	Dispatcher  int    // index
	HasKey      bool   // it has an idempotency key
	Key         uint64 // idempotency key, valid if HasKey
	MarkedRetry bool   // the client marks it as a retry
	Deadline    time.Duration
	SentAt      time.Duration // when its last byte was sent; 0 if it never was
	ResentAt    time.Duration // when it was sent again because an idle connection had ended; 0 if never
	EndedAt     time.Duration // 0 while Pending
	Outcome     Outcome
	Status      int    // of the answer; 0 if there was none
	Result      string // body of a successful answer
	Attempts    []*Attempt
}

// Notification is a worker's state as the discovery service wrote it to one dispatcher.
type Notification struct {
	Dispatcher int           // index
	Worker     int           // index
	Ready      bool          // false: the worker drains or is gone
	At         time.Duration // since the start of the experiment
}

// Overload is the crash of a warming-up worker that was sent more work than its budget.
type Overload struct {
	Worker     int           // index
	Dispatcher int           // index of the one that sent the last job
	ID         string        // of the last job's request
	At         time.Duration // since the start of the experiment
	SentWork   time.Duration // core time sent within the span
	Budget     time.Duration // core time allowed within the span
	RecentJobs string        // the largest recent jobs, for reports
}

// Outage is a time in which a dispatcher's process was down or paused.
type Outage struct {
	Dispatcher int           // index
	Planned    bool          // it was asked to end and drains first, so the requests that it had accepted must be answered
	From       time.Duration // since the start of the experiment
	To         time.Duration // since the start of the experiment
}

// Log is the record of an experiment. It is safe for concurrent use.
type Log struct {
	mu            sync.Mutex
	requests      []*Request
	byID          map[string]*Request
	unknown       []Violation // by attempts whose ID no client has used
	notifications []Notification
	overloads     []Overload
	outages       []Outage
}

// New returns an empty record.
func New() *Log { return &Log{byID: map[string]*Request{}} }

// RequestOpened records a client's request before its first byte is sent. The client's timeout expires at the deadline.
func (l *Log) RequestOpened(id string, operation, dispatcher int, deadline time.Duration) *Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	request := &Request{ID: id, Operation: operation, Dispatcher: dispatcher, Deadline: deadline}
	l.byID[id] = request
	l.requests = append(l.requests, request)
	return request
}

// SetKey records a request's idempotency key.
func (l *Log) SetKey(request *Request, key uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.Key = key
	request.HasKey = true
}

// MarkRetry records that the client marks a request as a retry.
func (l *Log) MarkRetry(request *Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.MarkedRetry = true
}

// RequestSent records that a request's last byte has been written.
func (l *Log) RequestSent(request *Request, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.SentAt = at
}

// RequestResent records that a request is sent again because its idle connection ended before any answer. From the
// client's view the end of the connection crossed the request, and nobody has read it.
func (l *Log) RequestResent(request *Request, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.SentAt = 0
	request.ResentAt = at
}

// RequestEnded records a request's outcome, with the status and the body of its answer.
func (l *Log) RequestEnded(request *Request, outcome Outcome, status int, result string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.Outcome = outcome
	request.Status = status
	request.Result = result
	request.EndedAt = at
}

// AttemptReceived records an attempt that a worker has received completely. One whose ID no client has used violates
// a rule.
func (l *Log) AttemptReceived(id string, attempt Attempt) *Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	request := l.byID[id]
	if request == nil {
		const reason = "attempt with an ID that no client sent"
		l.unknown = append(l.unknown, attempt.violation(RuleNoRequestLost, id, attempt.ReceivedAt, reason))
		return &attempt
	}
	request.Attempts = append(request.Attempts, &attempt)
	return &attempt
}

// AttemptStarted records that an attempt has started to run.
func (l *Log) AttemptStarted(attempt *Attempt, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	attempt.StartedAt = at
}

// AttemptEnded records the end of an attempt. Only the first end counts.
func (l *Log) AttemptEnded(attempt *Attempt, end AttemptEnd, result string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if attempt.End == Running {
		attempt.End = end
		attempt.Result = result
		attempt.EndedAt = at
	}
}

// WorkerListed records a worker's state as written to a dispatcher.
func (l *Log) WorkerListed(notification Notification) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifications = append(l.notifications, notification)
}

// WorkerOverloaded records the crash of a warming-up worker.
func (l *Log) WorkerOverloaded(overload Overload) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overloads = append(l.overloads, overload)
}

// AddOutage records an outage that is over, or that lasts to the end of the experiment.
func (l *Log) AddOutage(outage Outage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outages = append(l.outages, outage)
}

// Requests returns all requests, for reports. It may be called only once nothing is recorded any more.
func (l *Log) Requests() []*Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests
}

// AttemptEnds returns how a request's attempts ended, in the order of their arrival.
func (l *Log) AttemptEnds(id string) (ends []AttemptEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if request := l.byID[id]; request != nil {
		for _, attempt := range request.Attempts {
			ends = append(ends, attempt.End)
		}
	}
	return ends
}
