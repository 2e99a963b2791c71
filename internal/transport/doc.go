// Package transport moves bytes between the dispatcher and its clients, its workers, the discovery service and other
// dispatchers. It knows messages by their framing alone, which package protocol parses. It doesn't interpret requests,
// choose workers or retry: a Handler and package proxy do that.
//
// # Who owns a connection
//
// One goroutine at a time owns a Conn, that is reads, writes and closes it. Others may only interrupt it or set its read
// deadline, by Interrupt, Interrupted, SetReadTimeout and StopReading. The owner's read then fails, and the owner closes
// the connection with the reason that it finds.
//
//   - A client's connection is owned by the goroutine that Server starts for it, from accept to close. While a request
//     is being served, the goroutine of WatchForClose reads it instead; stopping the watch gives it back.
//   - A worker's connection is owned by the caller of Pool.Get or Pool.Import until it calls Put or CloseFor. An idle one
//     is owned by the Pool.
//   - A connection from Dial is owned by its caller.
//
// # Which limits hold
//
//   - Server limits the client connections (SetLimit). A new one beyond the limit evicts the connection of the lowest
//     rank, see clientLimiter. Where none may be evicted, it gets one response that says so.
//   - A sixteenth of the limit is spare, for connections that are rejected or evicted. Beyond it the server does not
//     accept, and clients wait in the listener's queue.
//   - Where the process is out of descriptors even so, accept is retried after acceptRetryDelay.
//   - Pool limits the connections to workers (SetLimit). Get closes the connection that is idle longest, and then waits
//     in turn until its context ends, with ErrPoolExhausted.
//   - byteBudget limits the bytes of request bodies in memory, over all client connections.
//
// timeouts.go has the timeouts, and close_reason.go the reasons for which connections are closed.
package transport
