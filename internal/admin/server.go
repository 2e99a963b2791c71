// Package admin answers operators' commands on an address of their own: each connection has one line, one answer and its
// end. Handler runs the commands. The server shares no connections and no descriptors with clients, so that it answers
// while all of theirs are in use. Three bounds keep a caller from blocking others:
//
//   - MaxConnections are open at once. Another caller replaces one that is waited for, see connectionSlots.
//   - The command's line has to arrive within commandTimeout of the accept.
//   - The caller has to take the answer within responseTimeout, and to close the connection within lingerTimeout.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"canvasroute/internal/protocol"
)

// acceptRetryDelay is the wait after a failed accept, such as one for want of descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Handler runs operators' commands. An error is answered with its text.
type Handler interface {
	Health() error              // HEALTH: nil while this process should get new clients, else why not
	Drain() error               // LEAVE: begins to drain the dispatcher
	Rejoin() error              // JOIN: ends a drain
	Metrics() []protocol.Metric // DUMP: the metrics, in the order of the answer
}

// Server accepts operators' connections.
type Server struct {
	listener net.Listener
	handler  Handler
	log      zerolog.Logger
	slots    *connectionSlots
}

// Listen returns a server that listens at an address. Callers are answered once it runs.
func Listen(addr string, handler Handler, log zerolog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin server: %w", err)
	}
	return &Server{listener: listener, handler: handler, log: log, slots: newConnectionSlots()}, nil
}

// Run answers commands until ctx ends. It returns when the open connections have ended, which ctx interrupts unless their
// command is being run or answered. The error is always nil.
func (s *Server) Run(ctx context.Context) error {
	var connections errgroup.Group
	stop := context.AfterFunc(ctx, func() {
		s.listener.Close()
		s.slots.evictAll()
	})
	defer stop()
	for s.slots.await(ctx) {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("operator accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := s.slots.add(conn)
		connections.Go(func() error {
			defer s.slots.release(c)
			s.serve(c)
			return nil
		})
	}
	s.slots.evictAll() // a connection may have been added after the call at the end of ctx
	return connections.Wait()
}
