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
	lateGrace       = time.Millisecond // after the wait for a line: reads what arrived before its end
	maxDiscarded    = 64 << 10         // bytes that are read after the line: unread ones would reset the connection
)

// Why a caller has sent no command. The texts are answered, and operators' scripts may match them.
var (
	errCommandTimeout    = errors.New("no whole line came in time")
	errCommandIncomplete = errors.New("the line has no end")
)

// serve reads one command, runs it and answers it. Then it waits for the caller to close the connection: closing it first
// could reset it before the caller has read the answer.
func (s *Server) serve(c *connection) {
	command, readErr := readCommand(c.conn)
	s.slots.pin(c)
	response := s.run(command, readErr)
	s.log.Info().Str("addr", c.conn.RemoteAddr().String()).Str("call", string(command)).AnErr("cause", readErr).
		Msg("operator command")
	c.conn.SetWriteDeadline(time.Now().Add(responseTimeout))
	if _, err := c.conn.Write(response); err != nil {
		return
	}
	if closeWrite(c.conn) && s.slots.linger(c) {
		discardUnread(c.conn)
	}
}

// readCommand reads a command's line until the connection's read deadline. A line that has arrived by then counts, even
// if it is read only after the deadline. It fails with errCommandTimeout, errCommandIncomplete or the error of
// protocol.ParseCommand.
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

// run runs the command that readCommand has returned, or answers its error.
func (s *Server) run(command protocol.Command, readErr error) []byte {
	if readErr != nil {
		return protocol.AppendCommandResult(nil, readErr)
	}
	var err error
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

// closeWrite ends the sending side of a connection, which shows the caller the end of the answer. It reports whether it
// could.
func closeWrite(conn net.Conn) bool {
	half, ok := conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// discardUnread reads what the caller sends after its command: up to maxDiscarded bytes, until it closes the connection
// or the read deadline passes.
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
