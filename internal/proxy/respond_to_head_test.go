package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/admission"
	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
)

func TestUnknownPathsAndMethodsAreRefused(t *testing.T) {
	p := newProxy(peertest.ClosedAddress)
	for target, want := range map[string]int{"/": 404, "/api/x": 404, "/_health?x": 405} {
		t.Run(target, func(t *testing.T) {
			assert.Equal(t, want, p.RespondToHead(&protocol.Head{Method: "POST", Target: target}).Status)
		})
	}
	assert.Nil(t, p.RespondToHead(&protocol.Head{Method: "POST", Target: "/api?x=1"}))
	put := p.RespondToHead(&protocol.Head{Method: "PUT", Target: "/api"})
	assert.Equal(t, &protocol.Response{Status: 405, Allow: "POST"}, put)
}

func TestHealthRequiresWorkersAndServingPhase(t *testing.T) {
	p := newProxy(peertest.ClosedAddress)
	health := &protocol.Head{Method: "GET", Target: "/_health"}
	assert.Equal(t, 503, p.RespondToHead(health).Status, "initial endpoints only, before the first poll")
	p.discovery.SkipFirstPollWait()
	assert.Equal(t, 200, p.RespondToHead(health).Status)
	p.endpoints.Update(&protocol.EndpointList{Complete: true})
	assert.Equal(t, 503, p.RespondToHead(health).Status, "the endpoint list is empty")
	worker := protocol.Endpoint{ID: "w", State: protocol.Ready}
	p.endpoints.Update(&protocol.EndpointList{Endpoints: []protocol.Endpoint{worker}})
	p.lifecycle.Stop(time.Now())
	assert.Equal(t, 503, p.RespondToHead(health).Status, "the process is stopping")
}

func TestOverloadRejectsByHeadWithRetryAfter(t *testing.T) {
	p := newProxy(peertest.ClosedAddress)
	p.settings.Load().unavailableRetryAfter = 2 * time.Second
	p.discovery.SkipFirstPollWait()
	for at := time.Duration(0); at < time.Second; at += admission.SampleInterval {
		for range 100 {
			p.admission.Admit()
		}
		p.admission.ObserveDelay(at, 80*time.Millisecond)
	}
	rejected := 0
	for range 64 {
		if response := p.RespondToHead(&protocol.Head{Method: "POST", Target: "/api"}); response != nil {
			assert.Equal(t, &protocol.Response{Status: 503, RetryAfter: 2 * time.Second}, response)
			rejected++
		}
	}
	assert.Greater(t, rejected, 32)
	assert.EqualValues(t, rejected, p.counters.shed.Load())
	health := p.RespondToHead(&protocol.Head{Method: "GET", Target: "/_health"})
	assert.Equal(t, 200, health.Status, "an overloaded dispatcher must be healthy")
}
