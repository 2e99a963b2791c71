package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// Guards against an answer that gets lost because its invocation was about to be handed over: what comes
// meanwhile, in whatever pieces, is read as if nothing had been asked.
func TestInvocationThatCannotBeHandedOverGoesOnAsItWas(t *testing.T) {
	text := chunked(started, done) + last
	r := routerTo(standIn(t, func(c net.Conn, _ *http.Request) {
		for _, b := range []byte(text) {
			time.Sleep(time.Millisecond)
			c.Write([]byte{b})
		}
	}))
	r.terms.MigratesRequests = true
	none := func(*MigratedRequest, syscall.Conn, map[int]syscall.Conn) error { return nil }
	answered := make(chan *protocol.Response)
	go func() { answered <- r.Serve(context.Background(), invocation("idem"), nil, time.Now()) }()
	for parks := 0; ; parks++ {
		r.underWay.Range(func(key, _ any) bool {
			for _, p := range key.(*carrying).out() {
				if p.park() {
					p.verdict <- false
				}
			}
			return true
		})
		select {
		case a := <-answered:
			assert.Equal(t, []any{200, "r"}, []any{a.Status, string(a.Body)})
			assert.Greater(t, parks, 3)
			r.ExportAll(none)
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// Guards against a client that waits for ever, and a worker's connection that is kept for another one's
// answer.
func TestInvocationThatNobodyTakesOverIsErrored(t *testing.T) {
	r := routerTo(standIn(t, says(chunked(started), false)))
	r.terms.MigratesRequests = true
	answered := make(chan *protocol.Response)
	go func() { answered <- r.Serve(context.Background(), invocation("once"), nil, time.Now()) }()
	assert.Eventually(t, func() bool { return r.counts.Sent.Load() == 1 }, time.Second, time.Millisecond)
	for {
		r.ExportAll(func(*MigratedRequest, syscall.Conn, map[int]syscall.Conn) error { return errors.New("gone") })
		select {
		case a := <-answered:
			assert.Equal(t, 502, a.Status, "it may have run")
			assert.NoError(t, r.forwards.Wait())
			assert.Equal(t, 0, r.facade.OpenRequests())
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// Guards against an invocation that is counted twice or not at all, whatever its life is like.
func TestEachInvocationThatIsTakenEndsAsExactlyOne(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var mu sync.Mutex
	texts := []string{
		chunked(`{"id":"a100","state":"done","result":"r"}`) + last, "", chunked(started),
		"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
	}
	r := routerTo(standIn(t, func(c net.Conn, q *http.Request) {
		mu.Lock()
		text := strings.ReplaceAll(texts[max(0, rng.IntN(40)-35)], "a100", q.Header.Get("Req-Id"))
		mu.Unlock()
		io.WriteString(c, text)
		if text == "" {
			c.Close()
		}
	}))
	var wg sync.WaitGroup
	taken, bad := 0, 0
	for n := range 120 {
		h, _, err := protocol.ParseRequestHead(fmt.Appendf(nil, "POST /api HTTP/1.1\r\nReq-Id: i%03d\r\n"+
			"Req-Deadline: 0.3\r\nReq-Kind: %s\r\n\r\n", n, []string{"idem", "once", "unheard-of"}[n%3]))
		assert.NoError(t, err)
		if n%3 == 2 {
			bad++
		} else {
			taken++
		}
		if n == 90 {
			r.drain.Drain(time.Now().Add(-time.Hour)) // what comes from now on is sent away
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+n*7%400)*time.Millisecond)
			defer cancel()
			r.Serve(ctx, &h, nil, time.Now())
		})
		time.Sleep(time.Millisecond)
		sum := map[string]int64{}
		for _, f := range r.Metrics() {
			sum[f.Name] += f.Value
		}
		assert.LessOrEqual(t, sum["succeeded"]+sum["declined"]+sum["aborted"], int64(taken))
	}
	wg.Wait()
	assert.NoError(t, r.forwards.Wait())
	sum := map[string]int64{}
	for _, f := range r.Metrics() {
		sum[f.Name] += f.Value
	}
	assert.Equal(t, int64(taken), sum["succeeded"]+sum["declined"]+sum["aborted"])
	assert.Zero(t, sum["outstanding"])
	assert.Equal(t, int64(bad), r.counts.Malformed.Load())
	for _, name := range []string{"succeeded", "declined", "aborted"} {
		assert.Positive(t, sum[name], name)
	}
	assert.Equal(t, r.counts.Sent.Load(), sum["forwards"])
}

func TestWhatIsHandedToAnUnknownWorkerIsAFault(t *testing.T) {
	r := routerTo("127.0.0.1:1")
	_, _, err := r.Import([]byte(`{"Decided":{"Forwards":[{"Tgt":0}]},"Hosts":["nobody"]}`), nil)
	assert.ErrorContains(t, err, `"nobody"`)
	_, _, err = r.Import([]byte(`{`), nil)
	assert.Error(t, err)
}

// Guards against a forward that stops at the very moment in which the wait for it runs out: it would wait for
// a word that nobody gives.
func TestForwardThatParksAsTheWaitRunsOutIsParked(t *testing.T) {
	p := &passage{parked: make(chan struct{}, 1), verdict: make(chan bool, 1), gone: make(chan struct{})}
	a, b := net.Pipe()
	defer b.Close()
	p.conn = transport.NewPool(1, time.Minute, zerolog.Nop()).Import(a, "", nil)
	parks := make(chan bool)
	go func() { parks <- p.park() }()
	asked := func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.asked
	}
	assert.Eventually(t, asked, time.Second, time.Millisecond)
	p.mu.Lock() // as hear does, while the wait runs out
	time.Sleep(2 * parkWithin)
	p.asked = false
	p.parked <- struct{}{}
	p.mu.Unlock()
	assert.True(t, <-parks)
}
