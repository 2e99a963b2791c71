package balancer

import "canvasroute/internal/balancer/outlier"

// Outcome is the result of an attempt or a probe.
type Outcome uint8

// The outcomes.
const (
	Succeeded         Outcome = iota + 1
	WorkerError               // the worker reported an error: the attempt has run, perhaps in part
	Overloaded                // the worker rejected the attempt: it never ran
	TimedOut                  // no response arrived in time
	NoConnection              // no connection could be established: the attempt never ran
	ConnectionReset           // the connection failed during the exchange: the attempt may have run
	Canceled                  // the attempt was canceled after it had been sent
	NotSent                   // the attempt was canceled before it was sent
	ConnectionStale           // a reused connection closed without response: may have run, the worker may be healthy
	ConnectionRefused         // nothing listens at the worker's address, as its process has exited: never ran
)

// neverRan reports whether an attempt with this outcome has certainly not been executed.
func (o Outcome) neverRan() bool {
	switch o {
	case Overloaded, NoConnection, NotSent, ConnectionRefused:
		return true
	}
	return false
}

// failureClass returns whether an attempt that failed because of its worker may have been executed.
func (o Outcome) failureClass() outlier.Failure {
	if o.neverRan() {
		return outlier.NeverRan
	}
	return outlier.MayHaveRun
}

// Answer is whether the result of an attempt is sent to the client as the answer.
type Answer uint8

// The values of Answer.
const (
	NoAnswer    Answer = iota // the request stays open, or has another answer
	FinalAnswer               // the request is closed with the result of this attempt
)

// answerOf returns FinalAnswer for an attempt that ends when its request handle is closed, and NoAnswer otherwise. If
// something other than the attempt closed the handle, the Balancer has closed the request too and ignores the value.
func answerOf(closed bool) Answer {
	if closed {
		return FinalAnswer
	}
	return NoAnswer
}
