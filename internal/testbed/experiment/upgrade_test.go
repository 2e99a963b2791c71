package experiment

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// startAdminServer starts an admin server that answers HEALTH with an error until the delay has passed, and with
// answerDone after that. It returns the server's address.
func startAdminServer(t *testing.T, delay time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	acceptsAt := time.Now().Add(delay)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			answer := "error starting\n"
			if time.Now().After(acceptsAt) {
				answer = answerDone
			}
			io.WriteString(conn, answer)
			conn.Close()
		}
	}()
	return listener.Addr().String()
}

// Regression test: an upgrade that started shortly before the last call ended was reported as not completed within
// upgradeTimeout.
func TestUpgradeIsAwaitedAfterTheLastCall(t *testing.T) {
	env := &environment{drainedByOperator: map[int]bool{}}
	loadCtx, stop := context.WithCancelCause(context.Background())
	stop(errLoadEnded)
	next := &process{adminAddr: startAdminServer(t, 300*time.Millisecond)}
	assert.NoError(t, env.awaitSuccessor(loadCtx, 0, next))
}

func TestInterruptedExperimentDoesNotAwaitAnUpgrade(t *testing.T) {
	env := &environment{drainedByOperator: map[int]bool{}}
	interrupted, interrupt := context.WithCancel(context.Background())
	loadCtx, stop := context.WithCancelCause(interrupted)
	defer stop(errLoadEnded)
	interrupt()
	next := &process{adminAddr: startAdminServer(t, time.Hour)}
	assert.ErrorIs(t, env.awaitSuccessor(loadCtx, 0, next), context.Canceled)
}
