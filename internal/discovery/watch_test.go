package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
)

// watchOnce polls a service that responds with respond, and returns the Watcher and the error of the ended watch.
func watchOnce(t *testing.T, respond peertest.Responder) (*Watcher, error) {
	t.Helper()
	targets := make(chan string, 1)
	w := newWatcher(peertest.StartServer(t, func(conn net.Conn, request *http.Request) {
		targets <- request.URL.String()
		respond(conn, request)
	}))
	_, err := w.watch(context.Background(), nil)
	assert.Equal(t, "/catalog/members?stream=1&index=7", <-targets)
	return w, err
}

func TestWatchAppliesLinesUntilItEnds(t *testing.T) {
	lines := peertest.ResponseStart(`{"seq":9,"whole":false,"hosts":[{"host":"v","dial":"127.0.0.1:2","health":"Ready"}]}`, "")
	w, err := watchOnce(t, peertest.RespondWith(lines+peertest.LastChunk))
	assert.ErrorIs(t, err, errWatchEnded)
	assert.Equal(t, int64(9), w.table.Version())
	assert.Equal(t, "127.0.0.1:2", w.table.Endpoint(1).Address)
	assert.True(t, w.FirstPollWaitEnded())
}

func TestWatchAppliesIndentedLists(t *testing.T) {
	w, err := watchOnce(t, peertest.RespondWith(peertest.CompleteResponse("{\n  \"seq\": 9,\n  \"whole\": false,\n  \"hosts\": [\n\n    {\n"+
		"      \"host\": \"v\",\n      \"dial\": \"127.0.0.1:2\",\n      \"health\": \"Ready\"\n    }\n  ]\n}", "",
		`{"seq":10,"whole":false,"hosts":[{"host":"v","health":"Terminating"}]}`)))
	assert.ErrorIs(t, err, errWatchEnded)
	assert.Equal(t, int64(10), w.table.Version())
	assert.Equal(t, protocol.Terminating, w.table.Endpoint(1).State)
}

// The length limit must not reject a line that lists 1024 workers, nor a line that changes all of them.
func TestWatchAppliesListOfManyWorkers(t *testing.T) {
	const workers = 1024
	line := func(version int, complete bool, state string) string {
		var hosts []string
		for n := range workers {
			hosts = append(hosts, fmt.Sprintf(`{"host":"s-%06d","dial":"127.1.%d.%d:8080","site":"a","class":"m","block":%d,`+
				`"health":%q,"share":1.0,"born_ms":0}`, n, n/256, n%256, n/4, state))
		}
		return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, version, complete, strings.Join(hosts, ","))
	}
	text := peertest.CompleteResponse(line(8, true, "Ready"), line(9, false, "Terminating"))
	w, err := watchOnce(t, peertest.RespondWith(text))
	assert.ErrorIs(t, err, errWatchEnded)
	contents := w.table.Contents()
	assert.Equal(t, int64(9), contents.Version)
	assert.Len(t, contents.Endpoints, workers+1, "the listed workers and the one from before the watch")
	tags := map[uint16]int{}
	for number := range contents.Endpoints {
		tags[w.table.Tag(balancer.WorkerID(number))]++
	}
	assert.Greater(t, len(tags), workers-32, "few workers share a tag")
}

// Where lists are pushed, what the service has counts from the first moment of a new process. A list from before the start
// may then not be used while a slow service answers. Where lists are polled, the process serves meanwhile.
func TestPushedListIsAwaitedByANewProcess(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		t.Run(fmt.Sprint("pushed ", pushed), func(t *testing.T) {
			answer := make(chan bool)
			w := newWatcher(peertest.StartServer(t, func(conn net.Conn, _ *http.Request) {
				<-answer
				_, _ = io.WriteString(conn, peertest.ResponseStart(emptyList(8)))
				_, _ = io.Copy(io.Discard, conn)
			}))
			w.config.Pushed = pushed
			runWatcher(t, w)
			time.Sleep(maxFirstPollWait + 200*time.Millisecond)
			assert.Equal(t, !pushed, w.FirstPollWaitEnded())
			close(answer)
			assert.Eventually(t, w.FirstPollWaitEnded, peertest.EventTimeout, peertest.PollInterval)
		})
	}
}

// An overloaded service must not be polled again as soon as a service that is down.
func TestSlow503MeansOverloaded(t *testing.T) {
	for name, test := range map[string]struct {
		wait time.Duration
		want balancer.WatchEnd
	}{
		"immediate": {0, balancer.WatchFailed},
		"slow":      {minOverloadedWait + 50*time.Millisecond, balancer.WatchRejected},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWatcher(peertest.StartServer(t, func(conn net.Conn, _ *http.Request) {
				time.Sleep(test.wait)
				io.WriteString(conn, unavailableResponse)
			}))
			opened, err := w.watch(context.Background(), nil)
			assert.False(t, opened)
			assert.ErrorContains(t, err, "status 503")
			assert.Equal(t, test.want, classifyPollEnd(opened, err))
		})
	}
}

func TestFailedWatchKeepsVersion(t *testing.T) {
	for name, test := range map[string]struct{ text, want string }{
		"503":                  {unavailableResponse, "status 503"},
		"malformed list":       {peertest.ResponseStart(`{"seq":x}`), "malformed"},
		"end within a list":    {peertest.ResponseStart(`{"seq":`), "within a message"}, // a list may span several lines
		"end without response": {"", "EOF"},
		"end within a chunk":   {peertest.ResponseStart("") + "1", "within a message"},
	} {
		t.Run(name, func(t *testing.T) {
			w, err := watchOnce(t, peertest.RespondAndClose(test.text))
			assert.ErrorContains(t, err, test.want)
			assert.Equal(t, int64(7), w.table.Version())
		})
	}
}

// A drain must be applied even if the watch is cut off within the line that reports it.
func TestTruncatedLineAppliesCompleteWorkers(t *testing.T) {
	const chunkStart = peertest.ChunkedHead + "400\r\n"
	for name, test := range map[string]struct {
		respond peertest.Responder
		want    string
	}{
		"closed": {
			respond: peertest.RespondAndClose(chunkStart +
				`{"seq":9,"whole":true,"hosts":[{"host":"w","health":"Terminating"},{"host":"v","dial":"127.0.0.1:2","hea`),
			want: "within a message",
		},
		"stalled": {
			respond: peertest.RespondWith(chunkStart +
				`{"seq":9,"whole":true,"hosts":[{"host":"w","health":"Terminating"},{"ho`),
			want: "timeout",
		},
	} {
		t.Run(name, func(t *testing.T) {
			w, err := watchOnce(t, test.respond)
			assert.ErrorContains(t, err, test.want)
			assert.Equal(t, int64(7), w.table.Version(), "the next watch must return the complete list again")
			assert.Equal(t, protocol.Terminating, w.table.Endpoint(0).State)
			assert.Len(t, w.table.Contents().Endpoints, 1, "an incomplete worker entry is skipped")
		})
	}
}

func TestSilentWatchTimesOut(t *testing.T) {
	startedAt := time.Now()
	_, err := watchOnce(t, peertest.RespondWith(peertest.ResponseStart(emptyList(9))))
	assert.ErrorContains(t, err, "timeout")
	assert.InDelta(t, lineTimeout.Seconds(), time.Since(startedAt).Seconds(), 1)
}

// Bytes that never complete a line must not keep a watch open: the service assumes that every dispatcher has applied a
// change 6 s after it.
func TestWatchWithoutCompleteLinesTimesOut(t *testing.T) {
	for name, first := range map[string]string{
		"from the start": peertest.ChunkedHead,
		"after a line":   peertest.ResponseStart(emptyList(9)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWatcher(peertest.StartServer(t, func(conn net.Conn, _ *http.Request) {
				io.WriteString(conn, first)
				for range 100 {
					if _, err := io.WriteString(conn, "1\r\n \r\n"); err != nil {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			}))
			startedAt := time.Now()
			_, err := w.watch(context.Background(), nil)
			assert.ErrorContains(t, err, "timeout")
			assert.Less(t, time.Since(startedAt), 4500*time.Millisecond)
		})
	}
}
