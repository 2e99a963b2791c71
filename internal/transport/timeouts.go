package transport

import "time"

// Timeouts of client connections. They bound how long a client can keep a connection slot without making use of it.
// clientLimiter sets the read deadlines as the state of a connection changes.
const (
	firstRequestTimeout  = 2 * time.Second        // from accept to a complete first request; idle where none was useful yet
	requestReadTimeout   = 10 * time.Second       // from a later request's first byte to its last
	responseWriteTimeout = 5 * time.Second        // for a response; a client that does not read it loses it
	idleTimeout          = 75 * time.Second       // between requests
	lingerTimeout        = 500 * time.Millisecond // of a lingering close: the client may still be sending its request
	finalRequestTimeout  = 500 * time.Millisecond // from the end of accepting to a request's last byte
)

// How long a connection that is about to be closed still waits for a request that may be in transit.
const (
	transitGrace       = 50 * time.Millisecond
	unusedTransitGrace = 5 * time.Millisecond // where no request was useful: clients usually send one as they connect
)

// Waits of the accept loops.
const (
	acceptRetryDelay  = 10 * time.Millisecond  // after a failed accept, until descriptors may be free
	queueDrainTimeout = 100 * time.Millisecond // for what is left in the listener's queue as the process stops
	queuePollTimeout  = 2 * time.Millisecond   // without a connection in the queue: it is empty
)

// How a client that may have closed its connection is watched while nothing more can be read from it. Together these
// times detect a close within 50 ms: 100 ms after it nothing may be sent to a worker for the client.
const (
	closePollInterval = 10 * time.Millisecond // between inspections of the socket
	pollsPerProbe     = 3                     // inspections from one interim response to the next
	probeWriteTimeout = closePollInterval     // for an interim response
	queuedAtLeast     = 50 * time.Millisecond // a client whose request has waited longer may have closed long ago
	resetTimeout      = 50 * time.Millisecond // from an interim response to the reset by a client that has closed
)

// SettleTime is how long after a response a worker may still send a second one, which has no request ID.
const SettleTime = 50 * time.Millisecond

// How long the pool keeps connections to workers, in parts and multiples of the idle timeout that workers have.
const (
	// idleDivisor divides that timeout into the time that the pool keeps an idle connection. A worker may close one
	// sooner than configured, and then nobody knows whether it has processed a message that was sent meanwhile.
	idleDivisor = 4

	// suspectFactor multiplies that timeout into the time for which reused connections are suspect. It begins when a
	// worker, or a proxy before it, closes a connection that the pool would have kept.
	suspectFactor = 6

	expiryChecksPerIdle = 16 // checks for expired connections in the time that one may be idle
	minExpiryInterval   = 10 * time.Millisecond
)
