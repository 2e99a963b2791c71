package daemon

import (
	"context"
	"time"
)

// Bounds on the end of the process, counted from SIGTERM or SIGINT. The platform sends SIGKILL 700 ms after the longest
// client timeout or 3 s, whichever is shorter. A hung state folder may delay the end beyond these bounds
// (fleet.Node.Run).
const (
	acceptAfterStop  = 500 * time.Millisecond // connections are accepted for this long: clients learn late that the process ends
	maxClientTimeout = 3 * time.Second        // of the longest client timeout that is waited for
	responseMargin   = 450 * time.Millisecond // for responses, beyond the longest client timeout
	closeMargin      = 100 * time.Millisecond // for clients to read the last responses
)

// shutDown begins the graceful shutdown, and returns when accepting has to end. Its steps:
//
//  1. At once the phase is lifecycle.Stopping (StoppingHandedOff beside a successor, Closing if it was drained): health checks fail, and each response closes its connection.
//  2. Requests in flight get their responses within responseTime: the longest client timeout, at most maxClientTimeout,
//     and responseMargin. The proxy rejects at once what would miss that bound.
//  3. Where a successor serves, requests in flight are handed over to it instead. The bound is set after acceptAfterStop,
//     for those that could not be handed over by then: a request that has moved does not depend on this process's end.
//  4. After acceptAfterStop, or once a part of the process has failed, shutDown returns. Its caller ends the accepting,
//     and transport.Server.Run closes idle connections and waits for the others.
//  5. At responseTime and closeMargin the server closes the connections that are left, in whatever state.
//
// When the last connection is closed the other parts end, see process.run. Step 5 comes before the platform's SIGKILL.
func (p *process) shutDown(failed context.Context) {
	responseTime := min(p.config.MaxClientTimeout, maxClientTimeout) + responseMargin
	p.state.Stop(time.Now())
	p.server.CloseAllAfter(responseTime + closeMargin)
	migrates := p.restart.exportRequests()
	if !migrates {
		p.proxy.SetStopTimeout(responseTime)
	}
	select {
	case <-time.After(acceptAfterStop):
	case <-failed.Done():
	}
	if migrates {
		p.proxy.SetStopTimeout(responseTime - acceptAfterStop)
	}
}
