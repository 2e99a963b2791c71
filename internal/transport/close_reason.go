package transport

import (
	"errors"
	"io"
	"net"

	"canvasroute/internal/protocol"
)

// CloseReason says why a connection was closed. Its values are those of the log field "reason", which docs/oncall.md
// explains to operators. The zero value stands for a connection that stays open.
type CloseReason string

// The values of CloseReason.
const (
	PeerClosed         CloseReason = "peer_closed"   // the peer closed it between messages
	PeerAborted        CloseReason = "peer_broke"    // the peer closed or reset it within a message
	ClientLeft         CloseReason = "client_left"   // the client closed it before its response was ready
	IdleTimeout        CloseReason = "idle_retired"  // the idle timeout passed
	Stale              CloseReason = "stale_retired" // its worker drains, is gone, has restarted or has moved
	AttemptCanceled    CloseReason = "called_off"    // the attempt on it was canceled, or its client's deadline passed
	Malformed          CloseReason = "malformed"     // a malformed or oversized message, or unexpected bytes
	CloseRequested     CloseReason = "asked"         // one of the sides announced that this message is the last
	TooSlow            CloseReason = "too_slow"      // a message wasn't read or written before its deadline
	Evicted            CloseReason = "over_budget"   // it was evicted to make room for another one
	WatchTimeout       CloseReason = "silent"        // no line came on an endpoint watch for too long
	UnexpectedResponse CloseReason = "unwanted"      // the discovery service responded with an unexpected status
	Stopping           CloseReason = "ending"        // this process stops
	Migrated           CloseReason = "handed_over"   // another process of this dispatcher continues with it
)

// CloseReasonOf classifies an error of reading or writing a message.
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

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
