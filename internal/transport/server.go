package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"canvasroute/internal/protocol"
)

// Bounds on waiting for clients.
const (
	askWithin    = 10 * time.Second // from a message's first byte to its last
	answerWithin = 5 * time.Second  // for the client to take the answer
	idleWithin   = 75 * time.Second // between messages
	lingerWithin = 500 * time.Millisecond
	lastWithin   = time.Second           // from the end of accepting to a message's last byte
	crossWithin  = 50 * time.Millisecond // for a message on its way to an idle connection that is to end
)

// Handler answers what clients ask.
type Handler interface {
	// Serve answers what is asked whole. ctx ends when the client leaves; then there is no answer.
	Serve(ctx context.Context, h *protocol.Head, body []byte, came time.Time) *protocol.Answer
	// Check answers at once what needs no body, or cannot be taken; nil if the body should be read.
	Check(h *protocol.Head) *protocol.Answer
	// Overfull answers what comes on a connection beyond the budget.
	Overfull() *protocol.Answer
	// Broken answers what cannot be read.
	Broken(err error) *protocol.Answer
}

// Server takes clients' connections.
type Server struct {
	ln      net.Listener
	handler Handler
	log     zerolog.Logger
	most    int
	spare   int // connections beyond most that may be answered as overfull, and that may be on their way out

	mu       sync.Mutex
	conns    map[*Conn]*place
	stopping bool // each answer is the last one of its connection
	retired  bool // and idle connections end
}

// place is what a client's connection does, and since when.
type place struct {
	doing   doing
	since   time.Time
	evicted bool // it is to end for another one's sake
}

type doing uint8

const (
	standing doing = iota // idle between messages
	reading
	answering // a whole message has been taken: it is owed an answer
)

// errClientLeft is the cause of an invocation's context that its client has ended.
var errClientLeft = errors.New("client left")

// Listen opens the listener. Beyond most connections there may be an eighth more for a moment.
func Listen(addr string, most int, handler Handler, log zerolog.Logger) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listening for clients: %w", err)
	}
	return &Server{ln: ln, handler: handler, log: log, most: most, spare: max(most/16, 1),
		conns: map[*Conn]*place{}}, nil
}

// Run accepts until ctx ends, and then waits for the connections it has; those that stand idle end at once,
// the others after the answer that they are owed.
func (s *Server) Run(ctx context.Context) error {
	var conns errgroup.Group
	stop := context.AfterFunc(ctx, func() { s.ln.Close() })
	defer stop()
	spare := make(chan struct{}, s.spare)
	for {
		nc, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil { // descriptors ran out: wait for some to come free
			s.log.Warn().Err(err).Msg("accepting")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if s.count() >= s.most {
			s.makeRoom()
		}
		over := s.count() >= s.most
		if over {
			spare <- struct{}{}
		}
		c := newConn(nc, Client, nc.RemoteAddr().String(), s.log, nil)
		if s.stand(c, idleWithin); over {
			s.stand(c, answerWithin) // its place is one of few
		}
		conns.Go(func() error {
			s.serve(c, over)
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
			if over {
				<-spare
			}
			return nil
		})
	}
	s.Retire()
	return conns.Wait()
}

// Retire makes each connection end after the answer it is owed, and the idle ones now.
func (s *Server) Retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping, s.retired = true, true
	for c, p := range s.conns {
		switch p.doing {
		case standing:
			c.Within(crossWithin)
		case reading:
			c.Within(lastWithin)
		}
	}
}

// Closing makes each answer from now on the last one of its connection.
func (s *Server) Closing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// count is the number of connections that are to stay.
func (s *Server) count() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.conns {
		if !p.evicted {
			n++
		}
	}
	return n
}

// makeRoom ends the connection that has stood idle longest, or else the one longest about a message. It
// guards against clients that open many connections and bring nothing on them, or bring it byte by byte.
func (s *Server) makeRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest *Conn
	evicted := 0
	for c, p := range s.conns {
		if p.evicted {
			evicted++
		}
		if p.doing == answering || p.evicted {
			continue
		}
		if o := s.conns[oldest]; o == nil || p.doing < o.doing || p.doing == o.doing && p.since.Before(o.since) {
			oldest = c
		}
	}
	if oldest != nil && evicted < s.spare {
		s.conns[oldest].evicted = true
		oldest.Within(crossWithin)
	}
}

// stand marks a connection idle, within the time that it may be now. It is one step with the look at whether
// all are to end: else one that turns idle just then would be waited for as long as usual.
func (s *Server) stand(c *Conn, within time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = &place{since: time.Now()}
	if s.retired {
		within = crossWithin
	}
	c.Within(within)
}

// turn marks what a connection does next. One that is to end is not read on.
func (s *Server) turn(c *Conn, to doing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.conns[c]
	p.doing, p.since = to, time.Now()
	switch {
	case to != reading || p.evicted:
	case s.retired:
		c.Within(lastWithin)
	default:
		c.Within(askWithin)
	}
}

func (s *Server) isEvicted(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[c].evicted
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// serve answers one connection's messages in turn.
func (s *Server) serve(c *Conn, over bool) {
	for {
		why, err := s.exchange(c, over)
		if why != "" {
			c.End(why, err)
			return
		}
	}
}

// exchange reads one message and answers it. It returns the reason if the connection ends with it.
func (s *Server) exchange(c *Conn, over bool) (Reason, error) {
	h, err := c.Ask(func() { s.turn(c, reading) })
	if err != nil {
		return s.unread(c, err)
	}
	body, err := protocol.AskBody(&h)
	if err != nil {
		return s.unread(c, err)
	}
	if a := s.handler.Check(&h); a != nil {
		return s.turnAway(c, &h, body, a, over)
	}
	if h.Expects() && body.Length() <= protocol.MostBody {
		if err := c.Send(answerWithin, []byte(protocol.Continue)); err != nil {
			return Blame(err), err
		}
	}
	content, err := c.Body(body, protocol.MostBody)
	if err != nil {
		return s.unread(c, err)
	}
	came := time.Now()
	s.turn(c, answering)
	if over {
		return s.answer(c, s.handler.Overfull(), true)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	stop := c.Attend(func(err error) { cancel(fmt.Errorf("%w: %w", errClientLeft, err)) })
	a := s.handler.Serve(ctx, &h, content, came)
	stop()
	if a == nil {
		return ClientLeft, context.Cause(ctx)
	}
	return s.answer(c, a, h.Closes())
}

// turnAway answers what is not taken. Its body is read over, so that the connection can go on; where it is
// too large, or its client waits for a word before it sends it, the connection ends instead.
func (s *Server) turnAway(c *Conn, h *protocol.Head, body protocol.Body, a *protocol.Answer,
	over bool) (Reason, error) {
	ends := h.Expects()
	if !ends {
		_, err := c.Body(body, protocol.MostBody)
		if err != nil && Blame(err) != Malformed {
			return Blame(err), err
		}
		ends = err != nil
	}
	why, err := s.answer(c, a, ends || h.Closes() || over)
	if ends && err == nil {
		c.linger()
	}
	return why, err
}

// unread ends a connection with what is on it, with an answer if the client may still read one.
func (s *Server) unread(c *Conn, err error) (Reason, error) {
	why := Blame(err)
	switch {
	case why == TooSlow && s.isEvicted(c) && c.in.Len() > 0:
		if _, sent := s.answer(c, s.handler.Overfull(), true); sent == nil {
			c.linger()
		}
		return OverBudget, nil
	case why == TooSlow && s.isEvicted(c):
		return OverBudget, nil
	case why == TooSlow && c.in.Len() == 0 && s.isStopping():
		return Ending, nil
	case why == TooSlow && c.in.Len() == 0:
		return IdleRetired, nil
	case why == Malformed, why == TooSlow:
		if _, sent := s.answer(c, s.handler.Broken(err), true); sent == nil {
			c.linger()
		}
	case why == PeerClosed:
		return why, nil
	}
	return why, err
}

// linger lets the client read the answer before a reset for what it still sends throws that away.
func (c *Conn) linger() {
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.Within(lingerWithin)
		for n := 0; n < protocol.MostBody/ringSize*2; n++ {
			c.in.Discard(c.in.Len())
			if c.fill(false) != nil {
				return
			}
		}
	}
}

func (s *Server) answer(c *Conn, a *protocol.Answer, closes bool) (Reason, error) {
	closes = closes || s.isStopping()
	if err := c.Send(answerWithin, protocol.AppendAnswerHead(nil, a, closes), a.Body); err != nil {
		return Blame(err), err
	}
	if closes {
		return Asked, nil
	}
	s.stand(c, idleWithin)
	return "", nil
}
