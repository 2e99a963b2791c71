package admin

import (
	"errors"
	"net"
	"os"
	"time"

	"canvasroute/internal/protocol"
)

// Bounds on reading a command and answering it.
const (
	responseTimeout = time.Second      // for the caller to take the answer
	lateGrace       = time.Millisecond // for a line that arrives just as the wait for it is interrupted
	maxDiscarded    = 64 << 10         // bytes read after the line: unread ones would reset the connection, answer and all
)

// The answers to a caller that sends no command. Operators' scripts may know them.
var (
	errCommandTimeout    = errors.New("no whole line came in time")
	errCommandIncomplete = errors.New("the line has no end")
)

// serve reads one command and answers it.
func (s *Server) serve(c *connection) {
	command, err := readCommand(c.conn)
	s.slots.pin(c)
	response := s.run(command, err)
	s.log.Info().Str("addr", c.conn.RemoteAddr().String()).Str("call", string(command)).AnErr("cause", err).
		Msg("operator command")
	c.conn.SetWriteDeadline(time.Now().Add(responseTimeout))
	if _, err := c.conn.Write(response); err != nil {
		return
	}
	if closeWrite(c.conn) && s.slots.linger(c) {
		discardUnread(c.conn)
	}
}

// readCommand reads a line up to the connection's read deadline. What had arrived by then counts, even if the deadline
// passed before it was read.
func readCommand(conn net.Conn) (protocol.Command, error) {
	line := make([]byte, protocol.MaxCommandBytes)
	received, late := 0, false
	for {
		n, err := conn.Read(line[received:])
		received += n
		command, parseErr := protocol.ParseCommand(line[:received])
		switch {
		case !errors.Is(parseErr, protocol.ErrIncompleteCommand):
			return command, parseErr
		case errors.Is(err, os.ErrDeadlineExceeded) && !late:
			late = true
			conn.SetReadDeadline(time.Now().Add(lateGrace))
		case errors.Is(err, os.ErrDeadlineExceeded):
			return "", errCommandTimeout
		case err != nil:
			return "", errCommandIncomplete
		}
	}
}

// run runs a command and returns the answer. err is why there is none.
func (s *Server) run(command protocol.Command, err error) []byte {
	if err != nil {
		return protocol.AppendCommandResult(nil, err)
	}
	switch command {
	case protocol.CommandDump:
		return protocol.AppendDump(nil, s.handler.Metrics())
	case protocol.CommandHealth:
		err = s.handler.Health()
	case protocol.CommandLeave:
		err = s.handler.Drain()
	case protocol.CommandJoin:
		err = s.handler.Rejoin()
	}
	return protocol.AppendCommandResult(nil, err)
}

// closeWrite ends the sending side of a connection, so that the caller sees the answer's end.
func closeWrite(conn net.Conn) bool {
	half, ok := conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// discardUnread reads what the caller sends after its command, until it closes the connection.
func discardUnread(conn net.Conn) {
	buffer := make([]byte, protocol.MaxCommandBytes)
	for discarded := 0; discarded < maxDiscarded; {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		discarded += n
	}
}
