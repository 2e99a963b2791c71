// Package admin serves operators' commands on an address of their own: one line to a connection, one answer, and the
// connection ends. It runs no command itself, see Handler, and waits on no client, worker or list service. Its
// descriptors are set aside, so that it answers while all connections of clients are in use.
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

// acceptRetryDelay is waited after a failed accept, such as one for want of descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Handler runs operators' commands. Each error is answered with its text.
type Handler interface {
	Health() error // nil once this process takes clients, else why it does not
	Drain() error  // stops taking clients
	Rejoin() error // takes clients again
	Metrics() []protocol.Metric
}

// Server accepts operators' connections.
type Server struct {
	listener net.Listener
	handler  Handler
	log      zerolog.Logger
	slots    *connectionSlots
}

// Listen opens a server at an address; it accepts once it runs.
func Listen(addr string, handler Handler, log zerolog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin server: %w", err)
	}
	return &Server{listener: listener, handler: handler, log: log, slots: newConnectionSlots()}, nil
}

// Run answers commands until ctx ends. It returns when the connections that it holds then are done.
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
	s.slots.evictAll() // one may have been added after ctx has ended
	return connections.Wait()
}
