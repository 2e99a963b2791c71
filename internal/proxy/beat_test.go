package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/admission"
	"canvasroute/internal/protocol"
)

func TestDoorThrottlesOnTheHeadAloneAndSaysWhenToComeBack(t *testing.T) {
	r := routerTo("127.0.0.1:1")
	r.now.Load().comeBackMost = 2 * time.Second
	r.settled.Store(true)
	h := &protocol.Head{Method: "POST", Target: "/api"}
	for beat := time.Duration(0); beat < time.Second; beat += admission.SampleInterval {
		for range 100 {
			r.door.Admit()
		}
		r.door.ObserveDelay(beat, 80*time.Millisecond)
	}
	away := 0
	for range 64 {
		if a := r.Check(h); a != nil {
			assert.Equal(t, &protocol.Response{Status: 503, RetryAfter: 2 * time.Second}, a)
			away++
		}
	}
	assert.Greater(t, away, 32)
	assert.EqualValues(t, away, r.counts.AtDoor.Load())
	health := r.Check(&protocol.Head{Method: "GET", Target: "/_health"})
	assert.Equal(t, 200, health.Status, "a full dispatcher is not a sick one")
}

// Guards against a beat that stops, or that tells of a wait where there is none: the door would close for
// nothing.
func TestBeatsOfAProcessWithNothingToDoKeepTheDoorOpen(t *testing.T) {
	r := routerTo("127.0.0.1:1")
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	heads := time.NewTicker(time.Millisecond)
	defer heads.Stop()
	done := make(chan error, 1)
	go func() { done <- r.beat(ctx) }()
	for busy := 0; ; {
		select {
		case <-heads.C:
			for range 10 {
				r.door.Admit()
			}
			if r.door.Overloaded() {
				busy++
			}
		case err := <-done:
			assert.NoError(t, err)
			assert.Positive(t, busy)
			assert.Equal(t, 1.0, r.door.AdmittedShare())
			assert.Less(t, r.door.Examined(), int64(1000), "beats have begun new intervals")
			return
		}
	}
}
