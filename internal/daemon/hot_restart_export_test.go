package daemon

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/hotrestart"
	"canvasroute/internal/peertest"
)

// busySuccessor is a serving successor that does not receive messages until receive is called.
type busySuccessor struct {
	link     *hotrestart.Link
	requests atomic.Int32 // handed over to it
}

// receive handles messages until the predecessor exits.
func (s *busySuccessor) receive() error {
	return s.link.Receive(hotrestart.Handler{Request: func(_ json.RawMessage, sockets map[string]*os.File) {
		s.requests.Add(1)
		for _, socket := range sockets {
			socket.Close()
		}
	}})
}

// handOverToBusySuccessor starts a dispatcher with open requests of several clients, and stops it while its successor
// is busy. The messages with the requests do not fit in the buffer of the link.
func handOverToBusySuccessor(t *testing.T, clientCount int, timeout time.Duration) (*busySuccessor, []*client, *testProcess) {
	t.Helper()
	const workerDelay = 5 * time.Second
	const bodyBytes = 24_000
	t.Setenv("TMPDIR", t.TempDir())
	config, url := newTestConfig(t, workerDelay)
	config.MaxClientTimeout = workerDelay
	predecessor := startProcess(t, config)
	successor := &busySuccessor{link: connectAsSuccessor(t, config).Link}
	clients := make([]*client, clientCount)
	for n := range clients {
		clients[n] = dialClient(t, url)
	}
	assert.NoError(t, successor.link.SendServing())
	predecessor.awaitResponse(t, "HEALTH", "error takes no clients: relieved\n")
	body := strings.Repeat("b", bodyBytes)
	for n, c := range clients {
		fmt.Fprintf(c, "POST /api HTTP/1.1\r\nReq-Id: h%d\r\nReq-Kind: render\r\nReq-Deadline: %g\r\n"+
			"Content-Length: %d\r\n\r\n%s", n, timeout.Seconds(), bodyBytes, body)
	}
	predecessor.awaitResponse(t, "DUMP", fmt.Sprintf("svc.outstanding=%d\n", clientCount))
	predecessor.signals.stop <- syscall.SIGTERM
	return successor, clients, predecessor
}

// A request whose client has disconnected must not be handed over, also if the client disconnects while the request
// waits for its turn on the link. The successor could send it to a worker.
func TestRequestOfADisconnectedClientIsNotHandedOver(t *testing.T) {
	const clientCount = 40
	successor, clients, predecessor := handOverToBusySuccessor(t, clientCount, 5*time.Second)
	time.Sleep(200 * time.Millisecond) // until the buffer of the link is full
	for _, c := range clients {
		c.Close()
	}
	time.Sleep(200 * time.Millisecond) // twice the time in which the predecessor has to notice this
	received := make(chan error, 1)
	go func() { received <- successor.receive() }()
	awaitExit(t, predecessor.ended, 6*time.Second)
	assert.Error(t, peertest.Receive(t, received))
	assert.Positive(t, successor.requests.Load(), "those that were in the buffer")
	assert.Less(t, successor.requests.Load(), int32(clientCount/2))
}

// lateAnswerMargin is the time after its deadline in which a request must be answered; later answers count as lost.
const lateAnswerMargin = 500 * time.Millisecond

// countAnswered returns the number of clients that receive a response before the given time.
func countAnswered(clients []*client, latest time.Time) int {
	var answered atomic.Int32
	var readers sync.WaitGroup
	for _, c := range clients {
		c.SetReadDeadline(latest)
		readers.Go(func() {
			if _, err := c.in.Peek(1); err == nil {
				answered.Add(1)
			}
		})
	}
	readers.Wait()
	return int(answered.Load())
}

// The deadline of a request must be kept while the request waits for its turn on the link.
func TestRequestIsAnsweredInTimeIfTheSuccessorIsBusy(t *testing.T) {
	const clientCount = 40
	const timeout = 300 * time.Millisecond
	_, clients, predecessor := handOverToBusySuccessor(t, clientCount, timeout)
	answered := countAnswered(clients, time.Now().Add(timeout+lateAnswerMargin))
	assert.Greater(t, answered, clientCount/2, "all but those in the buffer of the link")
	awaitExit(t, predecessor.ended, 6*time.Second)
}

// If the successor exits while requests are handed over to it, the requests that it has not received must be answered by
// the predecessor.
func TestRequestsAreAnsweredIfTheSuccessorExitsDuringTheHandover(t *testing.T) {
	const clientCount = 40
	const timeout = 2 * time.Second
	successor, clients, predecessor := handOverToBusySuccessor(t, clientCount, timeout)
	time.Sleep(100 * time.Millisecond) // until the buffer of the link is full
	successor.link.Close()
	answered := countAnswered(clients, time.Now().Add(timeout+lateAnswerMargin))
	assert.Greater(t, answered, clientCount/2, "all but those in the buffer of the link")
	awaitExit(t, predecessor.ended, 6*time.Second)
}
