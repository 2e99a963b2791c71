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

// The limits of a poll and of the watch that it opens. Every dispatcher has to know a change 6 s after the
// service has listed it. A silent watch is given up while there is still time to poll again.
const (
	// maxFirstPollWait is how long a process that has a list from before its start waits for its first poll. It then
	// serves by that list.
	maxFirstPollWait = 700 * time.Millisecond
	// dialTimeoutFactor times the dial timeout of workers, up to headTimeout, is how long dialing the service may take.
	dialTimeoutFactor = 4
	// headTimeout bounds each step up to the head of the response: dialing, sending, and receiving the head. A service
	// that works through its queue answers 503 before that.
	headTimeout = 2500 * time.Millisecond
	// minOverloadedWait is how long the service takes at least for a 503 that shows overload: the poll has waited in
	// its queue. A faster 503 is one of a service that is down.
	minOverloadedWait = time.Second
	// firstLineTimeout is counted from the poll to the end of its first line, which is the list.
	firstLineTimeout = 3500 * time.Millisecond
	// lineTimeout is counted from one line to the next. The service sends a line every 2 s, an empty one if nothing has
	// changed.
	lineTimeout = 2700 * time.Millisecond
	// maxLineBytes bounds a line that is not complete yet.
	maxLineBytes = 8 << 20
)

// The ends of a watch that are no failure of its connection.
var (
	errAddressChanged = errors.New("discovery: address changed")
	errWatchEnded     = errors.New("discovery: watch has ended")
)

// statusError is the error of a poll that was answered with another status than 200.
type statusError struct {
	status     int
	overloaded bool // the poll has waited in the service's queue
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

// watchEnd classifies the end of a poll, or of the watch that it opened. The balancer derives from it when to poll
// again.
//
//   - WatchRejected: 503 after at least minOverloadedWait. The service has too many callers.
//   - WatchFailed: no watch was opened. Dialing, sending or the response failed, or the status was another one.
//   - WatchSilent: the watch was open, and firstLineTimeout or lineTimeout has passed.
//   - WatchDisconnected: the watch was open, and ended in any other way.
func watchEnd(opened bool, err error) balancer.WatchEnd {
	var refused *statusError
	switch {
	case errors.As(err, &refused) && refused.overloaded:
		return balancer.WatchRejected
	case !opened:
		return balancer.WatchFailed
	case transport.CloseReasonOf(err) == transport.TimedOut:
		return balancer.WatchSilent
	}
	return balancer.WatchDisconnected
}

// openCloseReason returns why to close a connection on which no watch could be opened.
func openCloseReason(err error) transport.CloseReason {
	var refused *statusError
	if errors.As(err, &refused) {
		return transport.UnexpectedResponse
	}
	return transport.CloseReasonOf(err)
}

// endedWatch is how an open watch ended.
type endedWatch struct {
	closeReason transport.CloseReason // of its connection
	err         error                 // nil where this process has ended it
}

// endOfWatch classifies the end of an open watch, whose context is ctx. readErr is the error of its connection, nil
// after a complete response; applyErr is that of the list, nil unless a line was malformed or too long.
func endOfWatch(ctx context.Context, readErr, applyErr error) endedWatch {
	switch {
	case errors.Is(context.Cause(ctx), errAddressChanged):
		return endedWatch{closeReason: transport.Stale}
	case ctx.Err() != nil:
		return endedWatch{closeReason: transport.Stopping}
	case applyErr != nil:
		return endedWatch{closeReason: transport.Malformed, err: applyErr}
	case readErr == nil:
		return endedWatch{closeReason: transport.CloseRequested, err: errWatchEnded}
	case transport.CloseReasonOf(readErr) == transport.TimedOut:
		return endedWatch{closeReason: transport.WatchTimeout, err: readErr}
	}
	return endedWatch{closeReason: transport.CloseReasonOf(readErr), err: readErr}
}
