// Package history records the events of an experiment and checks the record against the rules that dispatchers must
// keep. It does no I/O: the simulated workers, the simulated discovery service and the load generator record their
// actions and observations, with times since the start of the experiment. No reports of the dispatchers are used,
// because the reports of a faulty dispatcher may be wrong too.
package history

import (
	"sync"
	"time"
)

// Outcome is the outcome of a client's request.
type Outcome uint8

// Values of Outcome.
const (
	Pending Outcome = iota
	Succeeded
	Throttled   // rejected with status 429 or 503
	Errored     // any other status except 200
	Unanswered  // the client's timeout expired
	Broken      // the connection ended without a complete response
	Unreachable // no dispatcher accepted the connection
	Interrupted // the experiment ended before the request
	Unsent      // the load generator had reached its limit of open calls
)

// OutcomeNames contains the names of the outcomes in result files.
var OutcomeNames = [...]string{
	Pending: "open", Succeeded: "succeeded", Throttled: "throttled", Errored: "errored",
	Unanswered: "unanswered", Broken: "broken", Unreachable: "unreachable", Interrupted: "interrupted",
	Unsent: "unsent",
}

// AttemptEnd is the way in which an attempt ended on its worker.
type AttemptEnd uint8

// Values of AttemptEnd.
const (
	Running       AttemptEnd = iota // queued or running
	Done                            // the worker wrote the result
	Failed                          // the worker wrote that the attempt failed
	Returned                        // the worker wrote that the attempt was never started
	Abandoned                       // the dispatcher cancelled the attempt
	Crashed                         // the worker's process ended before the attempt
	NeverReported                   // the attempt ran, but the worker was muted and wrote no result
	Deduplicated                    // not run: the worker wrote the result of another attempt with the same key
)

// Attempt is a message from a dispatcher that a worker has received completely. Times are since the start of the
// experiment.
type Attempt struct {
	Dispatcher  int           // index
	Worker      int           // index
	Incarnation int           // number of the worker's process, from 0
	FirstByteAt time.Duration // when the first byte was received
	ReceivedAt  time.Duration // when the last byte was received
	StartedAt   time.Duration // 0 if the attempt has not started
	EndedAt     time.Duration // 0 while Running
	End         AttemptEnd
	Result      string // "" if the worker has produced none
}

// wasReturnedBy reports whether the worker had returned the attempt unstarted by the given time, which is the
// dispatcher's proof that the attempt did not run.
func (a *Attempt) wasReturnedBy(at time.Duration) bool { return a.End == Returned && a.EndedAt <= at }

// Request is a message from a client. A retry is a separate request with a different ID. Times are since the start of
// the experiment.
type Request struct {
	ID          string
	Operation   int    // index
	Dispatcher  int    // index
	HasKey      bool   // the request has an idempotency key
	Key         uint64 // idempotency key, valid if HasKey
	MarkedRetry bool   // the client marked the request as a retry
	Deadline    time.Duration
	SentAt      time.Duration // when the last byte was sent; 0 if it was not sent
	ResentAt    time.Duration // when the request was sent again because an idle connection had ended; 0 if it was not
	EndedAt     time.Duration // 0 while Pending
	Outcome     Outcome
	Status      int    // HTTP status of the response; 0 if there was none
	Result      string // body of a successful response
	Attempts    []*Attempt
}

// Notification is the state of a worker that the discovery service sent to a dispatcher.
type Notification struct {
	Dispatcher int           // index
	Worker     int           // index
	Ready      bool          // false: the worker is draining or gone
	At         time.Duration // since the start of the experiment
}

// Overload is the crash of a warming-up worker that was sent more work than its budget.
type Overload struct {
	Worker     int           // index
	Dispatcher int           // index of the dispatcher that sent the last job
	ID         string        // ID of the last job's request
	At         time.Duration // since the start of the experiment
	SentWork   time.Duration // core time sent within the overload span
	Budget     time.Duration // core time allowed within the overload span
	RecentJobs string        // list of the largest recent jobs, for reports
}

// Outage is an interval in which a dispatcher's process was down or paused.
type Outage struct {
	Dispatcher int           // index
	Planned    bool          // the dispatcher drains before it exits: it must respond to all accepted requests
	Start      time.Duration // since the start of the experiment
	End        time.Duration // since the start of the experiment
}

// Log is the record of an experiment. It is safe for concurrent use.
type Log struct {
	mu            sync.Mutex
	requests      []*Request
	byID          map[string]*Request
	unknownIDs    []Violation // attempts with an ID that no client sent
	notifications []Notification
	overloads     []Overload
	outages       []Outage
}

// New returns an empty record.
func New() *Log { return &Log{byID: map[string]*Request{}} }

// RequestOpened records a client's request. It must be called before the first byte is sent. The client's timeout
// expires at the deadline.
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

// MarkRetry records that the client marked a request as a retry.
func (l *Log) MarkRetry(request *Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.MarkedRetry = true
}

// RequestSent records that the last byte of a request has been written.
func (l *Log) RequestSent(request *Request, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.SentAt = at
}

// RequestResent records that a request is sent again because its idle connection ended before the first byte of a
// response. The client assumes that the dispatcher closed the connection before it received the request.
func (l *Log) RequestResent(request *Request, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.SentAt = 0
	request.ResentAt = at
}

// RequestEnded records the outcome of a request, and the status and the body of the response.
func (l *Log) RequestEnded(request *Request, outcome Outcome, status int, result string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.Outcome = outcome
	request.Status = status
	request.Result = result
	request.EndedAt = at
}

// AttemptReceived records an attempt that a worker has received completely. An attempt with an ID that no client sent
// is a violation of RuleNoRequestLost.
func (l *Log) AttemptReceived(id string, attempt Attempt) *Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	request := l.byID[id]
	if request == nil {
		const reason = "attempt with an ID that no client sent"
		l.unknownIDs = append(l.unknownIDs, attempt.violation(RuleNoRequestLost, id, attempt.ReceivedAt, reason))
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

// AttemptEnded records the end of an attempt. Later calls for the same attempt have no effect.
func (l *Log) AttemptEnded(attempt *Attempt, end AttemptEnd, result string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if attempt.End == Running {
		attempt.End = end
		attempt.Result = result
		attempt.EndedAt = at
	}
}

// NotificationSent records a notification that was sent to a dispatcher.
func (l *Log) NotificationSent(notification Notification) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifications = append(l.notifications, notification)
}

// WorkerOverloaded records the crash of an overloaded warming-up worker.
func (l *Log) WorkerOverloaded(overload Overload) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overloads = append(l.overloads, overload)
}

// AddOutage records an outage that has ended, or that lasts until the end of the experiment.
func (l *Log) AddOutage(outage Outage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outages = append(l.outages, outage)
}

// Requests returns all requests, for reports. It must not be called before all recording has ended.
func (l *Log) Requests() []*Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests
}

// AttemptEnds returns the ends of a request's attempts, in the order in which the attempts were received.
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
