package transport

import (
	"errors"
	"io"
	"net"

	"canvasroute/internal/protocol"
)

// CloseReason is the reason for closing a connection. Its values appear in the log field "reason", which docs/oncall.md
// documents for operators.
type CloseReason string

// keepOpen is the zero value: the connection is not closed.
const keepOpen CloseReason = ""

// The reasons derived from read and write errors, see CloseReasonOf.
const (
	PeerClosed  CloseReason = "peer_closed" // the peer closed it between messages
	PeerAborted CloseReason = "peer_broke"  // the peer closed or reset it in the middle of a message
	TimedOut    CloseReason = "too_slow"    // the deadline passed before a message was read or written completely
	Malformed   CloseReason = "malformed"   // a malformed or oversized message, or unexpected bytes
)

// The reasons specified by the owner of a connection.
const (
	ClientClosed       CloseReason = "client_left"   // the client closed it before its response was ready
	IdleTimeout        CloseReason = "idle_retired"  // the idle timeout expired
	Stale              CloseReason = "stale_retired" // its peer moved, drains, exited, restarted or may be dead
	AttemptCanceled    CloseReason = "called_off"    // attempt canceled, client's deadline passed, or probe timed out
	CloseRequested     CloseReason = "asked"         // one side announced this message as the last one
	Evicted            CloseReason = "over_budget"   // it was evicted in favor of another connection
	WatchTimeout       CloseReason = "silent"        // no line was received on an endpoint watch for too long
	UnexpectedResponse CloseReason = "unwanted"      // the discovery service responded with an unexpected status
	Unattributed       CloseReason = "unattributed"  // its last response may belong to an earlier request
	Stopping           CloseReason = "ending"        // this process is stopping
	Migrated           CloseReason = "handed_over"   // it was migrated to another process of this dispatcher
)

// CloseReasonOf returns the reason that corresponds to an error of reading or writing a message.
//
//   - PeerClosed for io.EOF: the peer closed the connection between messages.
//   - TimedOut if a deadline has passed, including those set by Interrupt and StopReading.
//   - Malformed for the errors of package protocol.
//   - PeerAborted for any other error, such as ErrTruncated or a reset.
func CloseReasonOf(err error) CloseReason {
	switch {
	case errors.Is(err, io.EOF):
		return PeerClosed
	case isTimeout(err):
		return TimedOut
	case errors.Is(err, protocol.ErrMalformed), errors.Is(err, protocol.ErrTooLarge),
		errors.Is(err, protocol.ErrHeadTooLarge):
		return Malformed
	}
	return PeerAborted
}

// isTimeout reports whether err means that a deadline has passed.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
