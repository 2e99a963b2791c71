package proxy

import (
	"maps"
	"sync"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// inFlightRequest is a validated request that has no response yet. It is owned by the goroutine that responds to the
// client; each attempt has a goroutine of its own.
type inFlightRequest struct {
	request        *protocol.Request
	settings       *settings // settings when the request arrived
	handle         *balancer.RequestHandle
	deadline       time.Time // when the client times out
	markedRetry    bool      // the client marked the request as a retry
	closeRequested bool      // the client's connection closes after the response
	acceptsInterim bool      // the client accepts interim responses
	mustNotRepeat  bool      // an attempt was started, and the request must not be executed again

	// result receives the result of the attempt that the balancer selected for the response. It is buffered for one
	// value, so that the attempt's goroutine never blocks.
	result chan string

	// mu guards the fields below, which are also used by the attempts' goroutines and the caller of ExportAll. The
	// balancer, the endpoint table and the attempts' pauses are called with mu held; they never call back.
	mu        sync.Mutex
	attempts  map[int]*attempt // attempts in flight, by attempt number
	migration *migration       // nil unless exported; set before Pick returns RespondElsewhere
}

// newResultChannel returns a channel for inFlightRequest.result.
func newResultChannel() chan string { return make(chan string, 1) }

func (r *inFlightRequest) addAttempt(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts == nil {
		r.attempts = map[int]*attempt{}
	}
	r.attempts[a.number] = a
}

func (r *inFlightRequest) removeAttempt(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, a.number)
}

// attemptsInFlight returns a copy of the attempts in flight, by attempt number.
func (r *inFlightRequest) attemptsInFlight() map[int]*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.attempts)
}
