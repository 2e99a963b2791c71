// Package admin is the operators' door: a second address, one line to a connection, one answer. It waits on
// no client, no worker and no list, and its descriptors are set aside, so that it answers while the clients'
// side is full.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"canvasroute/internal/protocol"
)

// MaxConnections is how many may be held at once: descriptors set aside beside the listener's. Beyond it the one
// that has been silent longest makes room. It guards against callers that connect, say nothing and stay.
const MaxConnections = 16

// Bounds on waiting for callers.
const (
	lineWithin   = 2 * time.Second // from connecting to the end of the line
	answerWithin = time.Second     // for the caller to take the answer
	lingerWithin = 250 * time.Millisecond
	crossWithin  = time.Millisecond // for a line that has come as the wait for it ended
	mostUnread   = 64 << 10         // of what comes after the line is read over, so that no reset throws the answer away
)

// Handler does what operators ask.
type Handler interface {
	Health() error // nil once this process takes clients, else why not
	Drain() error
	Rejoin() error
	Metrics() []protocol.Metric
}

// Server listens for operators.
type Server struct {
	ln   net.Listener
	desk Handler
	log  zerolog.Logger

	mu      sync.Mutex
	waiting []*caller // may have to make room: those answered, then those without a line, the longest first
	held    int
	freed   chan struct{}
}

// caller is one connection.
type caller struct {
	conn    net.Conn
	evicted bool // its place is wanted
}

// Listen opens the door.
func Listen(addr string, desk Handler, log zerolog.Logger) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin server: %w", err)
	}
	return &Server{ln: ln, desk: desk, log: log, freed: make(chan struct{}, 1)}, nil
}

// Run answers callers until ctx ends, and then those that are here.
func (d *Server) Run(ctx context.Context) error {
	var callers errgroup.Group
	stop := context.AfterFunc(ctx, func() {
		d.ln.Close()
		d.hurry()
	})
	defer stop()
	for d.room(ctx) {
		conn, err := d.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			d.log.Warn().Err(err).Msg("operator accept failed")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c := d.enter(conn)
		callers.Go(func() error {
			defer d.leave(c)
			d.attend(c)
			return nil
		})
	}
	d.hurry()
	return callers.Wait()
}

// room waits until one more caller fits; the one that may go first makes room. It returns false when ctx
// ends.
func (d *Server) room(ctx context.Context) bool {
	for {
		d.mu.Lock()
		fits := d.held < MaxConnections
		if !fits && len(d.waiting) > 0 {
			c := d.waiting[0]
			c.evicted = true
			c.conn.SetReadDeadline(time.Unix(1, 0))
			d.waiting = d.waiting[1:]
		}
		d.mu.Unlock()
		if fits {
			return ctx.Err() == nil
		}
		select {
		case <-d.freed:
		case <-ctx.Done():
			return false
		}
	}
}

func (d *Server) enter(conn net.Conn) *caller {
	c := &caller{conn: conn}
	conn.SetReadDeadline(time.Now().Add(lineWithin))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held++
	d.waiting = append(d.waiting, c)
	return c
}

// heard takes a caller from those that may have to make room.
func (d *Server) heard(c *caller) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := slices.Index(d.waiting, c); n >= 0 {
		d.waiting = slices.Delete(d.waiting, n, n+1)
	}
}

// linger lets a caller that has its answer end the connection for a while; it is the first one to make room.
// One whose place is wanted does not linger.
func (d *Server) linger(c *caller) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.evicted {
		return false
	}
	c.conn.SetReadDeadline(time.Now().Add(lingerWithin))
	d.waiting = slices.Insert(d.waiting, 0, c)
	d.wake() // who waits for room can have this one's
	return true
}

func (d *Server) leave(c *caller) {
	c.conn.Close()
	d.heard(c)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held--
	d.wake()
}

func (d *Server) wake() {
	select {
	case d.freed <- struct{}{}:
	default:
	}
}

// hurry ends the wait for all that have not brought a line.
func (d *Server) hurry() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.waiting {
		c.evicted = true
		c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// attend reads one line and answers it.
func (d *Server) attend(c *caller) {
	call, err := d.line(c.conn)
	d.heard(c)
	answer := d.do(call, err)
	d.log.Info().Str("addr", c.conn.RemoteAddr().String()).Str("call", string(call)).AnErr("cause", err).
		Msg("operator command")
	c.conn.SetWriteDeadline(time.Now().Add(answerWithin))
	if _, err := c.conn.Write(answer); err != nil {
		return
	}
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || !d.linger(c) {
		return
	}
	for b, unread := make([]byte, protocol.MaxCommandBytes), 0; unread < mostUnread; {
		n, err := c.conn.Read(b)
		if unread += n; err != nil {
			return
		}
	}
}

var (
	errSilent = errors.New("no whole line came in time")
	errCut    = errors.New("the line has no end")
)

func (d *Server) line(c net.Conn) (protocol.Command, error) {
	b, held, late := make([]byte, protocol.MaxCommandBytes), 0, false
	for {
		n, err := c.Read(b[held:])
		held += n
		call, whole, wrong := protocol.ParseCommand(b[:held])
		switch {
		case whole:
			return call, wrong
		case errors.Is(err, os.ErrDeadlineExceeded) && !late: // what has come is read all the same
			late = true
			c.SetReadDeadline(time.Now().Add(crossWithin))
		case errors.Is(err, os.ErrDeadlineExceeded):
			return "", errSilent
		case err != nil:
			return "", errCut
		}
	}
}

func (d *Server) do(call protocol.Command, err error) []byte {
	if err == nil {
		switch call {
		case protocol.CommandDump:
			return protocol.AppendDump(nil, d.desk.Metrics())
		case protocol.CommandHealth:
			err = d.desk.Health()
		case protocol.CommandLeave:
			err = d.desk.Drain()
		case protocol.CommandJoin:
			err = d.desk.Rejoin()
		}
	}
	return protocol.AppendCommandResult(nil, err)
}
