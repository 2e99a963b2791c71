package baseline

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/proxy"
)

// Bounds of the handling of a request.
const (
	maxAttempts        = 4
	answerMargin       = 30 * time.Millisecond // an answer is sent this long before the client's timeout
	lostAnswerInterval = 20                    // the fault lost-answer loses one in this many
	retryAfterSeconds  = "0.5"
)

// pick returns an eligible worker that has not been tried, chosen by the policy, and counts it as in flight. It returns
// nil if there is none.
func (d *dispatcher) pick(tried []*backend) *backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	var eligible []*backend
	for _, b := range d.backends {
		if d.eligible(b) && !slices.Contains(tried, b) {
			eligible = append(eligible, b)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	picked := eligible[0]
	switch {
	case d.config.Fault == "cold-push": // everything to the worker that started last
		for _, b := range eligible {
			if b.startedAt.After(picked.startedAt) {
				picked = b
			}
		}
	case d.config.Policy == "random":
		picked = eligible[rand.IntN(len(eligible))]
	case d.config.Policy == "least-outstanding":
		d.roundRobin++ // so that ties are broken in turn
		for k := range eligible {
			if b := eligible[(d.roundRobin+k)%len(eligible)]; b.inFlight < picked.inFlight || k == 0 {
				picked = b
			}
		}
	default:
		d.roundRobin++
		picked = eligible[d.roundRobin%len(eligible)]
	}
	picked.inFlight++
	return picked
}

// eligible reports whether a worker may be picked. The fault drain-ignored also admits draining ones.
func (d *dispatcher) eligible(b *backend) bool {
	return b.state == protocol.Ready || d.config.Fault == "drain-ignored" && b.state != ""
}

// serve handles one request. Its retries are conservative, so that without a fault the four rules are kept.
func (d *dispatcher) serve(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, protocol.MaxBodyBytes))
	if err != nil {
		return
	}
	operation := slices.IndexFunc(d.settings.Proxy.Operations,
		func(o proxy.Operation) bool { return o.Name == request.Header.Get("Req-Kind") })
	if operation < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout, err := strconv.ParseFloat(request.Header.Get("Req-Deadline"), 64)
	if err != nil {
		timeout = d.settings.Proxy.Operations[operation].DefaultTimeout.Seconds()
	}
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(timeout*float64(time.Second))-answerMargin)
	defer cancel()
	idempotency := d.settings.Balancer.Operations[operation].Idempotency
	status, result := d.dispatch(ctx, request, body, idempotency)
	n := d.answered.Add(1)
	if d.config.Fault == "lost-answer" && n%lostAnswerInterval == 0 {
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	if status == http.StatusOK {
		d.succeeded.Add(1)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(result)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, result)
}

// dispatch makes attempts until one succeeds or no further one is safe, and returns the status and body of the answer.
func (d *dispatcher) dispatch(ctx context.Context, request *http.Request, body []byte, idempotency balancer.Idempotency) (status int,
	result string,
) {
	var tried []*backend
	possiblyExecuted := false
	for range maxAttempts {
		b := d.pick(tried)
		if b == nil {
			break
		}
		tried = append(tried, b)
		outcome, result := d.attempt(ctx, b, request, body)
		if d.config.Fault == "double-forward" && idempotency == balancer.NonIdempotent {
			if other := d.pick(tried); other != nil {
				d.attempt(ctx, other, request, body)
			}
		}
		switch outcome {
		case balancer.Succeeded:
			return http.StatusOK, result
		case balancer.Overloaded, balancer.NoConnection: // not executed
			continue
		}
		possiblyExecuted = true
		if idempotency != balancer.Idempotent || ctx.Err() != nil {
			break
		}
	}
	if possiblyExecuted && idempotency != balancer.Idempotent {
		return http.StatusBadGateway, ""
	}
	return http.StatusTooManyRequests, ""
}

// attempt sends the request to a worker and reads its result.
func (d *dispatcher) attempt(ctx context.Context, b *backend, request *http.Request, body []byte) (outcome balancer.Outcome,
	result string,
) {
	defer func() {
		d.mu.Lock()
		b.inFlight--
		d.mu.Unlock()
	}()
	d.mu.Lock()
	target := "http://" + b.address + "/api"
	d.mu.Unlock()
	outbound, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return balancer.NoConnection, ""
	}
	outbound.GetBody = nil // the transport must not retry by itself
	for _, name := range []string{"Req-Id", "Req-Deadline", "Idempotency-Key", "Content-Type"} {
		if v := request.Header.Get(name); v != "" {
			outbound.Header.Set(name, v)
		}
	}
	response, err := d.client.Do(outbound)
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
		return balancer.NoConnection, ""
	case err != nil:
		return balancer.ConnectionReset, ""
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Srv-Declined") == "1" {
		return balancer.Overloaded, ""
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, protocol.MaxLineBytes)
	for lines.Scan() {
		line, err := protocol.ParseLine(lines.Bytes())
		if err != nil || line.ID != request.Header.Get("Req-Id") {
			return balancer.WorkerError, ""
		}
		switch line.State {
		case protocol.Done:
			lines.Scan() // reads to the end of the body, so that the connection can be reused
			return balancer.Succeeded, line.Result
		case protocol.ReturnedUnstarted:
			return balancer.Overloaded, ""
		case protocol.Failed, protocol.Lost:
			return balancer.WorkerError, ""
		}
	}
	return balancer.ConnectionReset, ""
}
