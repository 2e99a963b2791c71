package experiment

import (
	"fmt"
	"io"
	"net"
	"time"
)

// adminTimeout is the timeout for connecting to an admin server, and for the command and its answer after that.
const adminTimeout = time.Second

// adminCommand is a command of the admin server's protocol.
type adminCommand string

// The values of adminCommand.
const (
	commandDrain    adminCommand = "LEAVE" // drain the dispatcher
	commandAccept   adminCommand = "JOIN"  // end the drain: accept clients again
	commandHealth   adminCommand = "HEALTH"
	commandCounters adminCommand = "DUMP"
)

// answerDone is the admin server's answer to a successful command, and to HEALTH while the dispatcher accepts clients.
const answerDone = "done\n"

// callAdmin sends one command to an admin server and returns the complete answer.
func callAdmin(addr string, command adminCommand) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, adminTimeout)
	if err != nil {
		return "", fmt.Errorf("admin server: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(adminTimeout))
	if _, err := io.WriteString(conn, string(command)+"\n"); err != nil {
		return "", fmt.Errorf("admin server: %w", err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		return "", fmt.Errorf("admin server: %s: %w", command, err)
	}
	return string(answer), nil
}

// sendAdminCommand sends a command to the admin server of dispatcher n, and records a failure unless it succeeds.
func (env *environment) sendAdminCommand(n int, command adminCommand) {
	answer, err := callAdmin(env.process(n).adminAddr, command)
	if err == nil && answer != answerDone {
		err = fmt.Errorf("%s: %s answered %q", dispatcherName(n), command, answer)
	}
	env.recordFailure(err)
}
