package daemon

import (
	"context"
	"time"
)

// Time limits of the shutdown, counted from SIGTERM or SIGINT. The platform sends SIGKILL 700 ms after the longest
// client timeout, or after 3.7 s if that timeout exceeds 3 s. A state folder that does not respond may delay the exit
// beyond these limits (fleet.Node.Run).
const (
	acceptDuration           = 500 * time.Millisecond // to accept connections of clients that learn late of the shutdown
	maxShutdownClientTimeout = 3 * time.Second        // upper limit on the longest client timeout to wait for
	responseMargin           = 450 * time.Millisecond // added to the longest client timeout for responses
	closeMargin              = 100 * time.Millisecond // time for clients to read the last responses
)

// shutDown starts the graceful shutdown, and returns when the process must stop accepting connections. The steps:
//
//  1. The phase becomes lifecycle.Stopping immediately (StoppingHandedOff if a successor is serving, Closing if the
//     process was drained): health checks fail, and each response closes its connection.
//  2. Requests in flight get their responses within responseTime, the sum of responseMargin and the longest client
//     timeout (at most maxShutdownClientTimeout). The proxy immediately rejects requests that would exceed that limit.
//  3. If a successor is serving, requests in flight are handed over to it instead. The limit is then set only after
//     acceptDuration, for those that could not be handed over by then: a request that was moved does not depend on the
//     exit of this process.
//  4. After acceptDuration, or when a part of the process has failed, shutDown returns. Its caller stops accepting, and
//     transport.Server.Run closes idle connections and waits for the others.
//  5. After responseTime and closeMargin the server closes all remaining connections, regardless of their state.
//
// When the last connection is closed, the other parts stop, see process.run. Step 5 precedes the platform's SIGKILL.
func (p *process) shutDown(failureContext context.Context) {
	responseTime := min(p.config.MaxClientTimeout, maxShutdownClientTimeout) + responseMargin
	p.state.Stop(time.Now())
	p.server.CloseAllAfter(responseTime + closeMargin)
	hasSuccessor := p.restart.startExport()
	if !hasSuccessor {
		p.proxy.SetStopTimeout(responseTime)
	}
	select {
	case <-time.After(acceptDuration):
	case <-failureContext.Done():
	}
	if hasSuccessor {
		p.proxy.SetStopTimeout(responseTime - acceptDuration)
	}
}
