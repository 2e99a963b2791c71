package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"canvasroute/internal/protocol"
)

// CloseReason is why a connection ended, as its log line names it.
type CloseReason string

// The values of CloseReason.
const (
	PeerClosed         CloseReason = "peer_closed"   // the other side ended it between messages
	PeerAborted        CloseReason = "peer_broke"    // the other side ended or reset it within a message
	ClientLeft         CloseReason = "client_left"   // the client ended it while its invocation was out
	IdleRetired        CloseReason = "idle_retired"  // it stood idle for as long as we let it
	StaleRetired       CloseReason = "stale_retired" // its worker drains, is gone, has restarted or has moved
	AttemptCanceled    CloseReason = "called_off"    // a decision ended its forward, or the client's time was up
	Malformed          CloseReason = "malformed"     // what came on it cannot be read
	CloseRequested     CloseReason = "asked"         // a side had said that it ends here
	TooSlow            CloseReason = "too_slow"      // a message did not come, or could not be sent, within its bound
	OverBudget         CloseReason = "over_budget"   // it stood idle and its place was needed
	WatchSilent        CloseReason = "silent"        // no line came on a watch for too long
	UnexpectedResponse CloseReason = "unwanted"      // the list service answered, but not with a list
	Stopping           CloseReason = "ending"        // this process ends
	Migrated           CloseReason = "handed_over"   // another process of this dispatcher goes on with it
)

// What a connection holds. The ring for reading holds any head that is taken; that for writing is emptied
// whenever it is full.
const (
	ringSize    = protocol.MaxHeadBytes
	outRingSize = ringSize / 4
)

// PeerRole is who is at the other end.
type PeerRole string

// The values of Side: who is at the other end.
const (
	Client    PeerRole = "client"
	Worker    PeerRole = "worker"
	Discovery PeerRole = "list"
)

// Conn is one connection. One goroutine at a time uses it.
type Conn struct {
	nc                net.Conn
	readBuf, writeBuf *Ring
	role              PeerRole
	addr              string
	openedAt          time.Time
	idleSince         time.Time
	messagesSent      int
	readAtLastSend    int64 // what had been read when the last message was sent
	stream            meteredConn
	log               zerolog.Logger
	closeOnce         sync.Once
	peerProcessEnded  atomic.Bool // the process at the other end is known to have ended
	onClose           func()

	deadlineMu  sync.Mutex // of reading and writing
	interrupted bool       // under bounds: it was interrupted

	acceptsInterim bool   // its client takes interim answers
	stopCloseWatch func() // ends the watch for the client's end
	beforeLastByte func() // set by tests: between the look and a message's last byte
}

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	conn                    net.Conn
	bytesRead, bytesWritten atomic.Int64
	replay                  []byte    // has come before what comes now
	recorder                *recorder // nil where nothing is kept
}

func (m *meteredConn) Read(p []byte) (n int, err error) {
	if len(m.replay) > 0 {
		n = copy(p, m.replay)
		m.replay = m.replay[n:]
	} else {
		n, err = m.conn.Read(p)
	}
	m.bytesRead.Add(int64(n))
	if m.recorder != nil {
		m.recorder.record(p[:n])
	}
	return n, err
}

func (m *meteredConn) Write(p []byte) (int, error) {
	n, err := m.conn.Write(p)
	m.bytesWritten.Add(int64(n))
	return n, err
}

func newConn(nc net.Conn, side PeerRole, addr string, log zerolog.Logger, onEnd func()) *Conn {
	return &Conn{
		nc: nc, readBuf: NewRing(ringSize), writeBuf: NewRing(outRingSize), role: side, addr: addr,
		openedAt: time.Now(), log: log, onClose: onEnd, stream: meteredConn{conn: nc},
	}
}

// Dial opens a connection that no pool keeps.
func Dial(ctx context.Context, addr string, side PeerRole, log zerolog.Logger) (*Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	return newConn(nc, side, addr, log, nil), nil
}

// CloseFor closes the connection and leaves its log line; only the first call counts.
func (c *Conn) CloseFor(why CloseReason, cause error) {
	c.closeOnce.Do(func() {
		c.nc.Close()
		if c.peerProcessEnded.Load() {
			why = StaleRetired
		}
		e := c.log.Info().Str("side", string(c.role)).Str("addr", c.addr).Str("reason", string(why)).
			Dur("age_ms", time.Since(c.openedAt)).Int("messages", c.messagesSent).
			Int64("read", c.stream.bytesRead.Load()).Int64("written", c.stream.bytesWritten.Load())
		if cause != nil {
			e = e.AnErr("cause", cause)
		}
		e.Msg("connection ended")
		if c.onClose != nil {
			c.onClose()
		}
	})
}

// SetTimeout bounds all reading from now on; no bound if d is 0, and one that has passed if it is less.
func (c *Conn) SetTimeout(d time.Duration) {
	var at time.Time
	if d != 0 {
		at = time.Now().Add(d)
	}
	c.setDeadline(c.nc.SetReadDeadline, at)
}

// passed is a bound that makes what it bounds end at once.
var pastDeadline = time.Unix(1, 0)

// setDeadline sets a bound, unless the connection was interrupted: that holds whatever is bound later.
func (c *Conn) setDeadline(set func(time.Time) error, at time.Time) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if !c.interrupted {
		_ = set(at) // fails only on a closed connection, as what is done next on it does
	}
}

// Interrupt makes all reading and writing end at once, and for good. It guards against one that comes just
// before a message is sent, or a wait is bounded, and would be undone by that.
func (c *Conn) Interrupt() {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.interrupted = true
	c.nc.SetDeadline(pastDeadline)
}

// Interrupted tells whether it was: it is of no more use.
func (c *Conn) Interrupted() bool {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	return c.interrupted
}

// ErrTruncated is a connection that ended within a message.
var ErrTruncated = errors.New("ended within a message")

// fill reads once more. An end is ErrTruncated if something is held already or partly is set.
func (c *Conn) fill(partly bool) error {
	_, err := c.readBuf.Fill(&c.stream)
	if errors.Is(err, io.EOF) && (partly || c.readBuf.Len() > 0) {
		return ErrTruncated
	}
	return err
}

// readHead reads until parse has a whole head. first is called once, when the first byte is there.
func (c *Conn) readHead(parse func([]byte) (protocol.Head, int, error), first func()) (protocol.Head, error) {
	for {
		if c.readBuf.Len() > 0 {
			if first != nil {
				first()
				first = nil
			}
			h, used, err := parse(c.readBuf.Bytes())
			if err != nil || used > 0 {
				c.readBuf.Discard(used)
				return h, err
			}
		}
		if c.readBuf.Full() {
			return protocol.Head{}, protocol.ErrHeadTooLarge
		}
		if err := c.fill(false); err != nil {
			return protocol.Head{}, err
		}
	}
}

// ReadRequestHead reads the head of what a client asks.
func (c *Conn) ReadRequestHead(first func()) (protocol.Head, error) {
	return c.readHead(protocol.ParseRequestHead, first)
}

// ReadResponseHead reads the head of an answer; interim ones are passed over.
func (c *Conn) ReadResponseHead() (h protocol.Head, err error) {
	for h.Status < 200 && err == nil {
		h, err = c.readHead(protocol.ParseResponseHead, nil)
	}
	return h, err
}

// ReadChunks hands on a body piece by piece until it is whole or take returns false.
func (c *Conn) ReadChunks(b *protocol.Body, take func([]byte) bool) error {
	for !b.Done() {
		data, used, err := b.Next(c.readBuf.Bytes())
		if err != nil {
			return err
		}
		more := len(data) == 0 || take(data)
		c.readBuf.Discard(used)
		if !more {
			return nil
		}
		if used > 0 || b.Done() {
			continue
		}
		if err := c.fill(true); err != nil {
			if b.EndsWithConnection() && errors.Is(err, ErrTruncated) {
				return nil
			}
			return err
		}
	}
	return nil
}

// ReadBody reads a body of at most that many bytes.
func (c *Conn) ReadBody(b protocol.Body, most int) ([]byte, error) {
	if b.Length() > int64(most) {
		return nil, protocol.ErrTooLarge
	}
	body := make([]byte, 0, min(b.Length(), ringSize)) // announced is not brought
	fits := true
	err := c.ReadChunks(&b, func(data []byte) bool {
		fits = len(body)+len(data) <= most
		body = append(body, data...)
		return fits
	})
	if !fits {
		return nil, protocol.ErrTooLarge
	}
	return body, err
}

// DiscardBody reads a body of at most that many bytes over.
func (c *Conn) DiscardBody(b protocol.Body, most int) error {
	if b.Length() > int64(most) {
		return protocol.ErrTooLarge
	}
	n := 0
	err := c.ReadChunks(&b, func(data []byte) bool {
		n += len(data)
		return n <= most
	})
	if n > most {
		return protocol.ErrTooLarge
	}
	return err
}

// Send writes all of a message within a bound.
func (c *Conn) Send(within time.Duration, parts ...[]byte) error {
	c.setDeadline(c.nc.SetWriteDeadline, time.Now().Add(within))
	for _, p := range parts {
		if err := c.write(p); err != nil {
			return err
		}
	}
	if err := c.flush(); err != nil {
		return err
	}
	c.messagesSent++
	c.readAtLastSend = c.stream.bytesRead.Load()
	return nil
}

// ErrUnsolicitedData is a kept connection that has ended, or brought something, before the message on it was whole.
var ErrUnsolicitedData = errors.New("ended or brought something unasked")

// SendOnReused is Send on a connection that was kept, with a look at it before the message's last byte. It guards
// against a worker's late second answer, which bears no id and would be taken for this message's, and against
// an end that crosses it: with ErrUnsolicitedData the message was never whole.
func (c *Conn) SendOnReused(within time.Duration, message []byte) error {
	c.setDeadline(c.nc.SetWriteDeadline, time.Now().Add(within))
	last := len(message) - 1
	if err := c.write(message[:last]); err != nil {
		return err
	}
	if err := c.flush(); err != nil {
		return err
	}
	if c.beforeLastByte != nil {
		c.beforeLastByte()
	}
	if !c.alive() {
		return ErrUnsolicitedData
	}
	return c.Send(within, message[last:])
}

func (c *Conn) write(p []byte) error {
	for len(p) > 0 {
		n := c.writeBuf.Write(p)
		p = p[n:]
		if !c.writeBuf.Full() {
			continue
		}
		if err := c.flush(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Conn) flush() error {
	if err := c.writeBuf.Drain(&c.stream); err != nil {
		return fmt.Errorf("sending: %w", err)
	}
	return nil
}

// Reused tells whether a message has been sent on it.
func (c *Conn) Reused() bool { return c.messagesSent > 0 }

// NothingReceived tells whether nothing has come since the last message was sent.
func (c *Conn) NothingReceived() bool { return c.stream.bytesRead.Load() == c.readAtLastSend }

// Addr is the other end's address.
func (c *Conn) Addr() string { return c.addr }

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// CloseReasonOf tells the reason code for an error of reading or sending.
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
