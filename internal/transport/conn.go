package transport

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"canvasroute/internal/protocol"
)

// Sizes of a connection's buffers, in bytes.
const (
	readBufferBytes  = protocol.MaxHeadBytes // a head is parsed in the buffer
	writeBufferBytes = 2 << 10               // it is flushed whenever it is full
)

// PeerRole says who is at the other end of a connection. Its values are those of the log field "side".
type PeerRole string

// The values of PeerRole.
const (
	Client    PeerRole = "client"
	Worker    PeerRole = "worker"
	Discovery PeerRole = "list"
)

// Conn is one connection with its buffers and deadlines. One goroutine at a time owns it, see the package's comment.
// While WatchForClose watches, nothing else may read or write.
type Conn struct {
	nc             net.Conn
	stream         byteStream
	readBuf        *Ring
	writeBuf       *Ring
	role           PeerRole
	addr           string // of the peer
	log            zerolog.Logger
	openedAt       time.Time
	messagesSent   int   // since it was opened
	readAtLastSend int64 // bytes that had been read when the last message was sent

	closeOnce        sync.Once
	onClose          func()      // nil where nobody wants to know of the close
	peerProcessEnded atomic.Bool // the process at the other end is known to have ended: the connection is stale

	deadlineMu  sync.Mutex
	interrupted bool // under deadlineMu

	// Of a client's connection.
	acceptsInterim bool   // the client understands interim (1xx) responses
	stopCloseWatch func() // ends WatchForClose

	idleSince time.Time // of an idle connection in a Pool

	testHooks connTestHooks
}

// connTestHooks are functions that tests set to force an order of events.
type connTestHooks struct {
	beforeLastByte func() // runs before SendOnReused checks the connection and sends a message's last byte
}

// newConn returns a connection that the caller owns. onClose may be nil.
func newConn(nc net.Conn, role PeerRole, addr string, log zerolog.Logger, onClose func()) *Conn {
	return &Conn{
		nc:       nc,
		stream:   byteStream{conn: nc},
		readBuf:  NewRing(readBufferBytes),
		writeBuf: NewRing(writeBufferBytes),
		role:     role,
		addr:     addr,
		log:      log,
		openedAt: time.Now(),
		onClose:  onClose,
	}
}

// Dial opens a connection that belongs to no pool.
func Dial(ctx context.Context, addr string, role PeerRole, log zerolog.Logger) (*Conn, error) {
	nc, err := dialTCP(ctx, addr)
	if err != nil {
		return nil, err
	}
	return newConn(nc, role, addr, log, nil), nil
}

// dialTCP opens a TCP connection until ctx ends.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	return nc, nil
}

// CloseFor closes the connection and writes its log line. Only the first call has an effect. Where the peer's process
// is known to have ended, Stale is logged instead of reason.
func (c *Conn) CloseFor(reason CloseReason, cause error) {
	c.closeOnce.Do(func() {
		c.nc.Close()
		if c.peerProcessEnded.Load() {
			reason = Stale
		}
		event := c.log.Info().Str("side", string(c.role)).Str("addr", c.addr).Str("reason", string(reason)).
			Dur("age_ms", time.Since(c.openedAt)).Int("messages", c.messagesSent).
			Int64("read", c.stream.bytesRead.Load()).Int64("written", c.stream.bytesWritten.Load())
		if cause != nil {
			event = event.AnErr("cause", cause)
		}
		event.Msg("connection closed")
		if c.onClose != nil {
			c.onClose()
		}
	})
}

// Addr returns the peer's address.
func (c *Conn) Addr() string { return c.addr }

// Reused reports whether a message has been sent on the connection before.
func (c *Conn) Reused() bool { return c.messagesSent > 0 }

// NothingReceived reports whether nothing has been read since the last message was sent.
func (c *Conn) NothingReceived() bool { return c.stream.bytesRead.Load() == c.readAtLastSend }
