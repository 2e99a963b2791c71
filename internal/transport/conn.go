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
	readBufferBytes  = protocol.MaxHeadBytes // a message head is parsed in the buffer
	writeBufferBytes = 2 << 10               // flushed whenever the buffer is full
)

// PeerRole is the role of a connection's peer. Its values appear in the log field "side".
type PeerRole string

// The values of PeerRole.
const (
	Client    PeerRole = "client"
	Worker    PeerRole = "worker"
	Discovery PeerRole = "list"
)

// Conn is a connection with its buffers and deadlines. It is owned by one goroutine at a time, see the package comment.
// While a watch started by WatchForClose is active, no other goroutine may read or write.
type Conn struct {
	nc             net.Conn
	stream         byteStream
	readBuf        *RingBuffer
	writeBuf       *RingBuffer
	role           PeerRole
	addr           string // address of the peer
	log            zerolog.Logger
	openedAt       time.Time
	messagesSent   int   // number of messages sent since the connection was opened
	readAtLastSend int64 // value of stream.bytesRead when the last message was sent

	lastReadFilledBuffer bool // the last read filled the read buffer, so that more data may be unread

	closeOnce        sync.Once
	onClose          func()      // called after the close, may be nil
	peerProcessEnded atomic.Bool // the peer's process is known to have ended, so the connection is stale

	deadlineMu  sync.Mutex
	interrupted bool // guarded by deadlineMu

	// Fields of client connections.
	acceptsInterim bool   // the client understands interim (1xx) responses
	stopCloseWatch func() // stops the watch started by WatchForClose
	pipelined      bool   // the client may have sent the current request before the previous response

	// Fields of worker connections.
	idleSince       time.Time   // time at which the connection became idle in a Pool
	recordingBudget *byteBudget // memory for the recordings of all connections of the Pool

	testHooks connTestHooks
}

// connTestHooks are functions that tests set to force an order of events.
type connTestHooks struct {
	beforeLastByte func() // runs before SendOnReused checks the connection and sends the last byte of a message
}

// unknownAddr stands for the address of a peer that can't be determined.
const unknownAddr = "unknown"

// peerAddr returns the address of a connection's peer. A connection made from the socket of another process has no
// remote address if its peer has reset it: the result is then unknownAddr.
func peerAddr(nc net.Conn) string {
	addr := nc.RemoteAddr()
	if addr == nil {
		return unknownAddr
	}
	return addr.String()
}

// newConn returns a connection that is owned by the caller. onClose may be nil.
func newConn(nc net.Conn, role PeerRole, addr string, log zerolog.Logger, onClose func()) *Conn {
	return &Conn{
		nc:       nc,
		stream:   byteStream{conn: nc},
		readBuf:  NewRingBuffer(readBufferBytes),
		writeBuf: NewRingBuffer(writeBufferBytes),
		role:     role,
		addr:     addr,
		log:      log,
		openedAt: time.Now(),
		onClose:  onClose,

		recordingBudget: &byteBudget{}, // a Pool sets its own
	}
}

// Dial opens a connection outside of any pool. The connection is owned by the caller.
func Dial(ctx context.Context, addr string, role PeerRole, log zerolog.Logger) (*Conn, error) {
	nc, err := dialTCP(ctx, addr)
	if err != nil {
		return nil, err
	}
	return newConn(nc, role, addr, log, nil), nil
}

// dialTCP opens a TCP connection. It fails if ctx ends before the connection is established.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	return nc, nil
}

// CloseFor closes the connection and logs the close with reason and cause, which may be nil. Only the first call has an
// effect. If the peer's process is known to have ended, Stale is logged instead of reason.
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

// Addr returns the address of the peer.
func (c *Conn) Addr() string { return c.addr }

// Reused reports whether at least one message has been sent on the connection.
func (c *Conn) Reused() bool { return c.messagesSent > 0 }

// NothingReceived reports whether no data has been read since the last message was sent.
func (c *Conn) NothingReceived() bool { return c.stream.bytesRead.Load() == c.readAtLastSend }
