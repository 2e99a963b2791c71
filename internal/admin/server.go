// Package admin serves operators' commands on a separate address. Each connection carries one command line and one
// response. Handler runs the commands. The server shares no connection slots or file descriptors with clients, so that
// it responds even if clients use all of theirs. Three limits prevent a caller from blocking others:
//
//   - At most MaxConnections are open at once. When all are in use, the server evicts a connection that is waiting for
//     its caller in order to accept a new one, see connectionSlots.
//   - The command line must arrive within commandTimeout of the accept.
//   - The caller must receive the response within responseTimeout and then close the connection within lingerTimeout.
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

// acceptRetryDelay is the wait after a failed accept, for example if no file descriptors are free.
const acceptRetryDelay = 10 * time.Millisecond

// Handler runs operators' commands. The text of an error is sent to the caller.
type Handler interface {
	Health() error              // HEALTH: nil if this process accepts new clients, otherwise the reason
	Drain() error               // LEAVE: starts draining the dispatcher
	Rejoin() error              // JOIN: ends a drain
	Metrics() []protocol.Metric // DUMP: the metrics, in the order of the response
}

// Server accepts operators' connections.
type Server struct {
	listener net.Listener
	handler  Handler
	log      zerolog.Logger
	slots    *connectionSlots
}

// Listen opens a listener at an address and returns its server. Run must be called to serve connections.
func Listen(addr string, handler Handler, log zerolog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin server: %w", err)
	}
	return &Server{listener: listener, handler: handler, log: log, slots: newConnectionSlots()}, nil
}

// Run serves connections until ctx is done. It then interrupts the open connections, except those whose command is
// being run or answered, and returns when all are closed. The error is always nil.
func (s *Server) Run(ctx context.Context) error {
	var connections errgroup.Group
	stop := context.AfterFunc(ctx, func() {
		s.listener.Close()
		s.slots.evictAll()
	})
	defer stop()
	for s.slots.awaitFreeSlot(ctx) {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("operator accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := s.slots.addConnection(conn)
		connections.Go(func() error {
			defer s.slots.release(c)
			s.serve(c)
			return nil
		})
	}
	s.slots.evictAll() // a connection may have been added after ctx was done
	return connections.Wait()
}
