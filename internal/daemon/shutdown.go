package daemon

import (
	"context"
	"time"
)

// Bounds on the shutdown after SIGTERM or SIGINT. The platform sends SIGKILL 700 ms after the longest client timeout,
// which counts as 3 s at most, or later.
const (
	acceptAfterStop = 500 * time.Millisecond // clients learn of the end with some delay, and are accepted until then
	maxDrain        = 3 * time.Second        // of the longest client timeout that is waited for
	drainMargin     = 450 * time.Millisecond // waited beyond the longest client timeout
	closeMargin     = 100 * time.Millisecond // for clients to read the last responses
)

// drain begins the end of the process: requests in flight end within bounds, or go on at a successor. It returns when
// no more connections are to be accepted.
func (p *process) drain(failed context.Context) {
	within := min(p.config.MaxClientTimeout, maxDrain) + drainMargin
	p.state.Stop(time.Now())
	p.server.CloseAllAfter(within + closeMargin)
	// Requests that a successor takes over are not bound by this process's end. The bound is set after they have had
	// time to go, for those that are left.
	exported := p.restart.exportRequests()
	if !exported {
		p.proxy.StopWithin(within)
	}
	select {
	case <-time.After(acceptAfterStop):
	case <-failed.Done():
	}
	if exported {
		p.proxy.StopWithin(within - acceptAfterStop)
	}
}
