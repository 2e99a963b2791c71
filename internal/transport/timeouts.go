package transport

import "time"

// Timeouts of client connections. They limit the time for which a client can occupy a connection slot without using it.
// clientLimiter sets the read deadlines when the state of a connection changes.
const (
	firstRequestTimeout  = 2 * time.Second        // from accept to a full request; idle timeout until one is accepted
	requestReadTimeout   = 10 * time.Second       // from a later request's first byte to its last
	responseWriteTimeout = 5 * time.Second        // for sending a response; the connection is closed if it expires
	idleTimeout          = 75 * time.Second       // between requests
	lingerTimeout        = 500 * time.Millisecond // for a lingering close; the client may still be sending
	finalRequestTimeout  = 500 * time.Millisecond // for the rest of a request once idle connections are closed
)

// pipelinePause is the pause before a request that was sent before the response to the previous one. It limits a client
// that does not wait for responses to a thousand requests a second on one connection.
const pipelinePause = time.Millisecond

// Read timeouts of a connection that is about to be closed, for a request that may be in transit.
const (
	transitGrace       = 50 * time.Millisecond
	unusedTransitGrace = 5 * time.Millisecond // if no request was accepted: clients usually send one on connecting
)

// Waits of the accept loops.
const (
	acceptRetryDelay  = 10 * time.Millisecond  // after a failed accept; file descriptors may be free by then
	queueDrainTimeout = 100 * time.Millisecond // to accept the rest of the listener's queue when stopping
	queuePollTimeout  = 2 * time.Millisecond   // for one accept; the queue is considered empty if it expires
)

// Times for detecting that a client has closed its connection when reads can't detect it. Together they detect a close
// within 50 ms. The requirement is that 100 ms after a close, nothing is sent to a worker for the client.
const (
	closePollInterval = 10 * time.Millisecond // between inspections of the socket
	pollsPerProbe     = 3                     // inspections between two interim responses
	probeWriteTimeout = closePollInterval     // for sending an interim response
	queuedThreshold   = 50 * time.Millisecond // a client whose request waited at least this long is probed
	resetTimeout      = 50 * time.Millisecond // from an interim response to the reset of a closed client
)

// SettleTime is the time after a response during which a worker may still send a second response. As responses have no
// request ID, the second response would be taken for the response to the next message.
const SettleTime = 50 * time.Millisecond

// Times of the pool, as fractions and multiples of the configured idle timeout of the workers.
const (
	// idleDivisor is the ratio of the configured timeout to the time for which the pool keeps an idle connection. The
	// margin is large because a worker may close idle connections earlier than configured, and if it does so while a
	// message is being sent, it is unknown whether the worker has processed the message.
	idleDivisor = 4

	// suspectFactor is the ratio of the time for which reused connections are suspect to the configured timeout. They
	// become suspect when a worker, or a proxy in front of it, closes a connection that the pool would have kept.
	suspectFactor = 6

	expiryChecksPerIdle = 16 // number of checks for expired connections per maximum idle time
	minExpiryInterval   = 10 * time.Millisecond
)
