package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// Guards against an operation whose objective is short beside the way to its workers: each forward was moved before
// its worker could have told of a start, until none was left.
func TestForwardToAFarWorkerIsLeftAloneUntilItsWorkerHasIt(t *testing.T) {
	for name, c := range map[string]struct {
		way, queue time.Duration // until the head of an answer, and from there to the start
		forwards   int64
	}{"far": {80 * time.Millisecond, 0, 1}, "behind others": {0, 150 * time.Millisecond, 2}} {
		t.Run(name, func(t *testing.T) {
			var came atomic.Int64
			worker := func(conn net.Conn, _ *http.Request) {
				first := came.Add(1) == 1
				time.Sleep(c.way)
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				if first {
					time.Sleep(c.queue)
				}
				io.WriteString(conn, chunk(started)+chunk(done)+last)
			}
			other := standIn(t, worker)
			r := routerBy(standIn(t, worker), func(d *balancer.Config, terms *Config) {
				d.DeliveryNotices, d.StartNotices, d.MaxAttempts, d.Hedging = true, true, 4, true
				d.Operations[0].LatencyObjective, d.WarmupWindow = balancer.Second/5, 4*balancer.Second
				d.Operations[1].LatencyObjective, d.Operations[2].LatencyObjective = balancer.Second/5, balancer.Second/5
				terms.InitialEndpoints.Endpoints = append(terms.InitialEndpoints.Endpoints, protocol.Endpoint{ID: "v", Address: other, State: protocol.Ready})
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = r.facade.Run(ctx, 0) }()
			assert.Equal(t, 200, within(t, serving(r, ctx, "idem")).Status)
			assert.Equal(t, c.forwards, came.Load())
		})
	}
}
