package transport

import "time"

// Timeouts of client connections.
const (
	firstRequestTimeout  = 2 * time.Second  // from accept to a complete first request; idle where none was useful yet
	requestReadTimeout   = 10 * time.Second // from a later request's first byte to its last
	responseWriteTimeout = 5 * time.Second
	idleTimeout          = 75 * time.Second       // between requests
	lingerTimeout        = 500 * time.Millisecond // of a lingering close
	finalRequestTimeout  = 500 * time.Millisecond // from the end of accepting to a request's last byte
)

// How long a connection that is about to be closed still has for a request that may be in transit.
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
