package transport

import (
	"errors"
	"io"
	"net"

	"canvasroute/internal/protocol"
)

// CloseReason says why a connection was closed. Its values are those of the log field "reason", which docs/oncall.md
// explains to operators.
type CloseReason string

// staysOpen is the zero value, for a connection that is not closed.
const staysOpen CloseReason = ""

// The reasons that follow from an error of a read or write, see CloseReasonOf.
const (
	PeerClosed  CloseReason = "peer_closed" // the peer closed it between messages
	PeerAborted CloseReason = "peer_broke"  // the peer closed or reset it within a message
	TooSlow     CloseReason = "too_slow"    // a message wasn't read or written before its deadline
	Malformed   CloseReason = "malformed"   // a malformed or oversized message, or unexpected bytes
)

// The reasons that the owner of a connection gives.
const (
	ClientLeft         CloseReason = "client_left"   // the client closed it before its response was ready
	IdleTimeout        CloseReason = "idle_retired"  // the idle timeout passed
	Stale              CloseReason = "stale_retired" // its worker or the discovery service moved, drains, has gone or restarted, or it may be dead
	AttemptCanceled    CloseReason = "called_off"    // the attempt on it was canceled, its client's deadline passed, or a probe took too long
	CloseRequested     CloseReason = "asked"         // one of the sides announced that this message is the last
	Evicted            CloseReason = "over_budget"   // it was evicted to make room for another one
	WatchTimeout       CloseReason = "silent"        // no line came on an endpoint watch for too long
	UnexpectedResponse CloseReason = "unwanted"      // the discovery service responded with an unexpected status
	Stopping           CloseReason = "ending"        // this process stops
	Migrated           CloseReason = "handed_over"   // another process of this dispatcher continues with it
)

// CloseReasonOf returns the reason that follows from an error of reading or writing a message.
//
//   - PeerClosed for io.EOF: the peer closed the connection between messages.
//   - TooSlow for a deadline that passed, also one that Interrupt or StopReading has set.
//   - Malformed for the errors of package protocol.
//   - PeerAborted for any other error, such as ErrTruncated or a reset.
func CloseReasonOf(err error) CloseReason {
	switch {
	case errors.Is(err, io.EOF):
		return PeerClosed
	case isTimeout(err):
		return TooSlow
	case errors.Is(err, protocol.ErrMalformed), errors.Is(err, protocol.ErrTooLarge),
		errors.Is(err, protocol.ErrHeadTooLarge):
		return Malformed
	}
	return PeerAborted
}

// isTimeout reports whether a deadline has passed.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
