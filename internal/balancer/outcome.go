package balancer

import "canvasroute/internal/balancer/outlier"

// Outcome is how an attempt, or a probe, ended.
type Outcome uint8

// The outcomes.
const (
	Succeeded         Outcome = iota + 1
	WorkerError               // the worker reported an error: it has run, perhaps in part
	Overloaded                // the worker rejected it: it never ran
	TimedOut                  // no response came in time
	NoConnection              // none came up: it never ran
	ConnectionReset           // the connection ended within the exchange: it may have run
	Canceled                  // it was cancelled after it had been sent
	NotSent                   // it was cancelled before
	ConnectionStale           // a reused connection ended without a response: it may have run, and the worker may be well
	ConnectionRefused         // nobody listens at the worker: its process has ended, and the attempt never ran
)

// neverRan reports whether an attempt with this outcome has certainly not been executed.
func (o Outcome) neverRan() bool {
	switch o {
	case Overloaded, NoConnection, NotSent, ConnectionRefused:
		return true
	}
	return false
}

// failure returns what an attempt that failed by its worker says of its execution.
func (o Outcome) failure() outlier.Failure {
	if o.neverRan() {
		return outlier.NeverRan
	}
	return outlier.MayHaveRun
}

// Answer says whether the result of an attempt is the answer that the client gets.
type Answer uint8

// The values of Answer.
const (
	NoAnswer    Answer = iota // the request stays open, or has been answered otherwise
	FinalAnswer               // the request is closed with it
)

// answerOf is FinalAnswer for a request that was closed with its attempt.
func answerOf(closed bool) Answer {
	if closed {
		return FinalAnswer
	}
	return NoAnswer
}
