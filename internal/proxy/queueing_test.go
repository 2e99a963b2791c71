package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/peertest"
)

// Missing samples, or samples of a delay in an idle process, would cause requests to be rejected without overload.
func TestIdleProcessHasNoQueueingDelay(t *testing.T) {
	p := newProxy(peertest.ClosedAddress)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	heads := time.NewTicker(time.Millisecond)
	defer heads.Stop()
	stopped := make(chan error, 1)
	go func() { stopped <- p.sampleQueueingDelay(ctx) }()
	for sampledTicks := 0; ; {
		select {
		case <-heads.C:
			for range 10 {
				p.admission.Admit()
			}
			if p.admission.ShouldSample() {
				sampledTicks++
			}
		case err := <-stopped:
			assert.NoError(t, err)
			assert.Positive(t, sampledTicks)
			assert.Equal(t, 1.0, p.admission.AdmittedShare())
			assert.Less(t, p.admission.IntervalRequests(), int64(1000), "samples start new intervals")
			return
		}
	}
}
