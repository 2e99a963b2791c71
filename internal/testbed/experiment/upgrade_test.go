package experiment

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// acceptAfter answers HEALTH with answerDone from some time on, and returns the address to ask.
func acceptAfter(t *testing.T, delay time.Duration) string {
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

// Regression test for an upgrade that began shortly before the last call: it failed as one that had not ended within
// upgradeTimeout.
func TestUpgradeIsAwaitedAfterTheLastCall(t *testing.T) {
	env := &environment{drainedByOperator: map[int]bool{}}
	loading, stop := context.WithCancelCause(context.Background())
	stop(errLoadOver)
	next := &process{adminAddr: acceptAfter(t, 300*time.Millisecond)}
	assert.NoError(t, env.awaitSuccessor(loading, 0, next))
}

func TestInterruptedExperimentDoesNotAwaitAnUpgrade(t *testing.T) {
	env := &environment{drainedByOperator: map[int]bool{}}
	interrupted, interrupt := context.WithCancel(context.Background())
	loading, stop := context.WithCancelCause(interrupted)
	defer stop(errLoadOver)
	interrupt()
	next := &process{adminAddr: acceptAfter(t, time.Hour)}
	assert.ErrorIs(t, env.awaitSuccessor(loading, 0, next), context.Canceled)
}
