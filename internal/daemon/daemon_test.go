package daemon

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestSigtermAnswersRequestsInFlightAndExits(t *testing.T) {
	for _, c := range []struct {
		name        string
		workerDelay time.Duration
		status      int
		body        string
	}{
		{"worker answers in time", 300 * time.Millisecond, 200, "made"},
		{"worker does not answer in time", time.Minute, 429, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			dispatcher := startDispatcher(t, c.workerDelay, nil)
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				status, body := sendRequest(t, dispatcher.url)
				assert.Equal(t, []any{c.status, c.body}, []any{status, body})
			}()
			assert.Eventually(t, func() bool {
				assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGUSR1))
				return strings.Contains(dispatcher.log.String(), `"forwards":{"sent":1`)
			}, 5*time.Second, 20*time.Millisecond, "SIGUSR1 logs the counters")
			assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
			<-answered
			awaitExit(t, dispatcher.ended, 5*time.Second)
			assert.Contains(t, dispatcher.log.String(), `"why":"exit","open":0,"taken":1`)
		})
	}
}
