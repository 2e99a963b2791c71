package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/transport"
)

// Limits of a poll and of the watch that it opens. Every dispatcher must have applied a change 6 s after the service
// listed it. The timeouts close a silent watch early enough to poll again within that time.
const (
	// maxFirstPollWait is how long a process that has a list from before its start waits for its first poll, unless lists
	// are pushed. After that, it serves requests with that list.
	maxFirstPollWait = 700 * time.Millisecond
	// dialTimeoutFactor times the dial timeout of workers, but at most headTimeout, is the timeout for dialing the
	// service.
	dialTimeoutFactor = 4
	// headTimeout limits each step of a poll: dialing, sending the request, and receiving the response head. An
	// overloaded service that works through its queue responds with 503 before this timeout.
	headTimeout = 2500 * time.Millisecond
	// minOverloadedWait is the minimum response time of a 503 that indicates overload: the poll has waited in the
	// queue of the service. A faster 503 indicates that the service is down.
	minOverloadedWait = time.Second
	// firstLineTimeout limits the time from the poll to the end of the first line, which contains the list.
	firstLineTimeout = 3500 * time.Millisecond
	// lineTimeout limits the time between two lines. The service sends a line every 2 s, an empty one if nothing has
	// changed.
	lineTimeout = 2700 * time.Millisecond
	// maxLineBytes limits the length of an incomplete line.
	maxLineBytes = 8 << 20
)

// Reasons for the end of a watch that are not connection failures.
var (
	errAddressChanged = errors.New("discovery: address changed")
	errWatchEnded     = errors.New("discovery: service ended the watch")
)

// statusError is the error of a poll whose response has a status other than 200.
type statusError struct {
	status     int
	overloaded bool // the poll waited in the queue of the service
}

func newStatusError(status int, wait time.Duration) *statusError {
	return &statusError{
		status:     status,
		overloaded: status == http.StatusServiceUnavailable && wait >= minOverloadedWait,
	}
}

func (e *statusError) Error() string {
	if e.overloaded {
		return fmt.Sprintf("discovery: service overloaded: status %d", e.status)
	}
	return fmt.Sprintf("discovery: status %d", e.status)
}

// classifyPollEnd classifies the end of a poll or of the watch that it opened. The balancer uses the result to schedule
// the next poll.
//
//   - WatchRejected: the service responded with 503 after at least minOverloadedWait. It has too many clients.
//   - WatchFailed: no watch was opened for any other reason: dialing, sending or receiving failed, the response was
//     malformed, or its status was neither 200 nor such a 503.
//   - WatchSilent: the watch was open, and firstLineTimeout or lineTimeout expired.
//   - WatchDisconnected: the watch was open and ended for any other reason.
func classifyPollEnd(opened bool, err error) balancer.WatchEnd {
	var statusErr *statusError
	switch {
	case errors.As(err, &statusErr) && statusErr.overloaded:
		return balancer.WatchRejected
	case !opened:
		return balancer.WatchFailed
	case transport.CloseReasonOf(err) == transport.TimedOut:
		return balancer.WatchSilent
	}
	return balancer.WatchDisconnected
}

// closeReasonForOpenError returns the reason for closing a connection on which opening a watch failed with err.
func closeReasonForOpenError(err error) transport.CloseReason {
	var statusErr *statusError
	if errors.As(err, &statusErr) {
		return transport.UnexpectedResponse
	}
	return transport.CloseReasonOf(err)
}

// watchOutcome describes the end of an open watch.
type watchOutcome struct {
	closeReason transport.CloseReason // reason for closing the connection
	err         error                 // nil if this process ended the watch
}

// newWatchOutcome classifies the end of an open watch, whose context is ctx. readErr is the error of reading from the
// connection, or nil after a complete response. applyErr is nil unless a line was malformed or too long.
func newWatchOutcome(ctx context.Context, readErr, applyErr error) watchOutcome {
	switch {
	case errors.Is(context.Cause(ctx), errAddressChanged):
		return watchOutcome{closeReason: transport.Stale}
	case ctx.Err() != nil:
		return watchOutcome{closeReason: transport.Stopping}
	case applyErr != nil:
		return watchOutcome{closeReason: transport.Malformed, err: applyErr}
	case readErr == nil:
		return watchOutcome{closeReason: transport.CloseRequested, err: errWatchEnded}
	case transport.CloseReasonOf(readErr) == transport.TimedOut:
		return watchOutcome{closeReason: transport.WatchTimeout, err: readErr}
	}
	return watchOutcome{closeReason: transport.CloseReasonOf(readErr), err: readErr}
}
