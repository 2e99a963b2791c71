package admin

import (
	"errors"
	"net"
	"os"
	"time"

	"canvasroute/internal/protocol"
)

// Limits on reading a command and sending the response.
const (
	responseTimeout = time.Second      // for the caller to receive the response
	lateReadGrace   = time.Millisecond // extra read time after the deadline, for bytes that arrived before it
	maxDiscarded    = 64 << 10         // bytes read after the line: closing with unread bytes would reset the connection
)

// Errors for a connection without a complete command. Their texts are sent to the caller, and operators' scripts may
// match them.
var (
	errCommandTimeout    = errors.New("no whole line came in time")
	errCommandIncomplete = errors.New("the line has no end")
)

// serve reads one command, runs it and sends the response. Then it waits for the caller to close the connection:
// closing it first could reset it before the caller has read the response.
func (s *Server) serve(c *connection) {
	command, readErr := readCommand(c.conn)
	s.slots.pin(c)
	response := s.runCommand(command, readErr)
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

// readCommand reads a command line until the read deadline of the connection. A line that has arrived by the deadline
// is accepted even if it is read only afterwards. readCommand returns errCommandTimeout, errCommandIncomplete or the
// error of protocol.ParseCommand.
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
			conn.SetReadDeadline(time.Now().Add(lateReadGrace))
		case errors.Is(err, os.ErrDeadlineExceeded):
			return "", errCommandTimeout
		case err != nil:
			return "", errCommandIncomplete
		}
	}
}

// runCommand runs the command and returns the response, or the error response if readCommand has failed.
func (s *Server) runCommand(command protocol.Command, readErr error) []byte {
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

// closeWrite shuts down the sending side of a connection, so that the caller reads the end of the response. It reports
// whether it succeeded.
func closeWrite(conn net.Conn) bool {
	writeCloser, ok := conn.(interface{ CloseWrite() error })
	return ok && writeCloser.CloseWrite() == nil
}

// discardUnread reads and discards the bytes that the caller sends after its command, until the caller closes the
// connection, the read deadline passes, or maxDiscarded bytes have been read.
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
