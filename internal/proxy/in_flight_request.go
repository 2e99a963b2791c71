package proxy

import (
	"maps"
	"sync"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// inFlightRequest is a request from its admission to its answer. Its goroutine, which answers the client, owns it; each
// attempt has a goroutine of its own.
type inFlightRequest struct {
	request        *protocol.Request
	settings       *settings // in force when it arrived
	handle         *balancer.RequestHandle
	deadline       time.Time // the client gives up then
	markedRepeat   bool      // the client says that it has sent the request before
	closeRequested bool      // the client's connection ends with the answer
	acceptsInterim bool      // the client takes interim responses

	// result receives the result of the attempt that the balancer answers with. It has room for this one, so that the
	// attempt's goroutine never waits.
	result chan string

	// mu guards the fields below, which the attempts' goroutines and that of ExportAll use too. The balancer, the
	// endpoint table and the attempts' pauses are called under it, and call nothing here.
	mu        sync.Mutex
	attempts  map[int]*attempt // in flight, by their numbers
	migration *migration       // nil unless exported; set before Pick returns RespondElsewhere
}

// newResultChannel returns the channel of a request's result.
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

// attemptsInFlight returns a copy of the attempts, by their numbers.
func (r *inFlightRequest) attemptsInFlight() map[int]*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.attempts)
}
