// Package transport implements the network connections between the dispatcher and its clients, its workers, the
// discovery service and other dispatchers. It handles only the framing of messages, which package protocol parses.
// Package proxy implements Handler: it interprets requests, selects workers and retries.
//
// # Ownership of connections
//
// At any time, one goroutine owns a Conn: only the owner may read, write and close it. Other goroutines may only call
// Interrupt, Interrupted, SetReadTimeout and StopReading. If the owner's read fails as a result, the owner closes the
// connection with the appropriate CloseReason.
//
//   - A client connection is owned by the goroutine that Server starts for it, from accept to close. While a request is
//     being served, the goroutine of WatchForClose reads from the connection; stopping the watch returns it to the
//     owner.
//   - A worker connection is owned by the caller of Pool.Get or Pool.Import until the caller calls Put or CloseFor.
//     Idle worker connections are owned by the Pool.
//   - A connection from Dial is owned by the caller of Dial.
//
// # Limits
//
//   - Server limits the number of client connections (SetLimit). A new connection beyond the limit evicts the
//     connection with the lowest rank, see clientLimiter. If none can be evicted, the new connection is closed after
//     one response: that of Handler.RespondToHead if it returns one, otherwise that of Handler.RejectOverBudget.
//   - Spare slots, a sixteenth of the limit but at least one, are reserved for connections that are being rejected or
//     evicted. When these are used up too, the server stops accepting, and clients wait in the listener's queue.
//   - If the process runs out of file descriptors nevertheless, accept is retried after acceptRetryDelay.
//   - Pool limits the number of worker connections (SetLimit). At the limit, Get closes the connection that has been
//     idle longest and waits in FIFO order for a slot. It returns ErrPoolExhausted if its context ends first.
//   - byteBudget limits the total size of the request bodies in memory, over all client connections.
//
// timeouts.go defines the timeouts, and close_reason.go the reasons for closing a connection.
package transport
