package baseline

import (
	"bufio"
	"bytes"
	"cmp"
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

// Limits and timing of request handling.
const (
	maxAttempts        = 4
	answerTimeMargin   = 30 * time.Millisecond // attempts end this long before the client's timeout
	lostAnswerInterval = 20                    // FaultLostAnswer drops every n-th answer
	retryAfterSeconds  = "0.5"
)

// pickWorker selects an eligible worker that is not in tried, and counts an attempt in flight to it. It returns nil if
// there is no such worker. The caller must call releaseWorker when the attempt ends.
func (d *dispatcher) pickWorker(tried []*backend) *backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	var eligible []*backend
	for _, worker := range d.backends {
		if d.eligible(worker) && !slices.Contains(tried, worker) {
			eligible = append(eligible, worker)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	picked := d.pickByPolicy(eligible)
	picked.inFlight++
	return picked
}

// pickByPolicy selects one of the eligible workers by the policy or the fault. The caller must hold d.mu.
func (d *dispatcher) pickByPolicy(eligible []*backend) *backend {
	switch {
	case d.config.Fault == FaultOverloadedWarmup:
		return slices.MaxFunc(eligible, func(a, b *backend) int { return a.startedAt.Compare(b.startedAt) })
	case d.config.Policy == Random:
		return eligible[rand.IntN(len(eligible))]
	case d.config.Policy == LeastOutstanding:
		d.roundRobinPicks++ // workers with equally few attempts are selected in turn
		first := d.roundRobinPicks % len(eligible)
		inTurn := slices.Concat(eligible[first:], eligible[:first])
		return slices.MinFunc(inTurn, func(a, b *backend) int { return cmp.Compare(a.inFlight, b.inFlight) })
	}
	d.roundRobinPicks++
	return eligible[d.roundRobinPicks%len(eligible)]
}

// releaseWorker decrements the number of attempts in flight that pickWorker incremented.
func (d *dispatcher) releaseWorker(worker *backend) {
	d.mu.Lock()
	defer d.mu.Unlock()
	worker.inFlight--
}

// eligible reports whether a worker may be picked. With FaultIgnoredDrain, workers in any known state may be picked,
// including those that are draining or gone.
func (d *dispatcher) eligible(worker *backend) bool {
	ignoresDrain := d.config.Fault == FaultIgnoredDrain && worker.state != ""
	return worker.state == protocol.Ready || ignoresDrain
}

// serve handles one request. It retries conservatively, so that history.Rules are kept unless a fault is configured.
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
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(timeout*float64(time.Second))-answerTimeMargin)
	defer cancel()
	idempotency := d.settings.Balancer.Operations[operation].Idempotency
	status, result := d.dispatch(ctx, clientRequest{header: request.Header, body: body, idempotency: idempotency})
	answered := d.answered.Add(1)
	if d.config.Fault == FaultLostAnswer && answered%lostAnswerInterval == 0 {
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

// clientRequest holds the parts of a client's request that are needed to send it to workers.
type clientRequest struct {
	header      http.Header
	body        []byte
	idempotency balancer.Idempotency
}

// dispatch makes attempts until one succeeds, no further attempt is safe, no worker is left, maxAttempts is reached, or
// ctx is done after an attempt that may have been executed. It returns the status and body of the answer.
func (d *dispatcher) dispatch(ctx context.Context, request clientRequest) (status int, result string) {
	var tried []*backend
	possiblyExecuted := false
	for range maxAttempts {
		worker := d.pickWorker(tried)
		if worker == nil {
			break
		}
		tried = append(tried, worker)
		outcome, result := d.attempt(ctx, worker, request)
		if d.config.Fault == FaultRepeatedAttempt && request.idempotency == balancer.NonIdempotent {
			if other := d.pickWorker(tried); other != nil {
				d.attempt(ctx, other, request)
			}
		}
		switch outcome {
		case balancer.Succeeded:
			return http.StatusOK, result
		case balancer.Overloaded, balancer.NoConnection: // not executed
			continue
		}
		possiblyExecuted = true
		if request.idempotency != balancer.Idempotent || ctx.Err() != nil {
			break
		}
	}
	if possiblyExecuted && request.idempotency != balancer.Idempotent {
		return http.StatusBadGateway, ""
	}
	return http.StatusTooManyRequests, ""
}

// forwardedFields lists the header fields of a client's request that are forwarded to workers.
var forwardedFields = []string{"Req-Id", "Req-Deadline", "Idempotency-Key", "Content-Type"}

// attempt sends the request to a worker that pickWorker returned, and releases the worker. It returns the outcome,
// and the result if the attempt succeeded.
func (d *dispatcher) attempt(ctx context.Context, worker *backend, request clientRequest) (outcome balancer.Outcome, result string) {
	defer d.releaseWorker(worker)
	d.mu.Lock()
	target := "http://" + worker.address + "/api"
	d.mu.Unlock()
	outbound, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(request.body))
	if err != nil {
		return balancer.NoConnection, ""
	}
	outbound.GetBody = nil // prevents automatic retries by the transport
	for _, name := range forwardedFields {
		if value := request.header.Get(name); value != "" {
			outbound.Header.Set(name, value)
		}
	}
	response, err := d.client.Do(outbound)
	var opError *net.OpError
	switch {
	case errors.As(err, &opError) && opError.Op == "dial":
		return balancer.NoConnection, ""
	case err != nil:
		return balancer.ConnectionReset, ""
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Srv-Declined") == "1" {
		return balancer.Overloaded, ""
	}
	return readOutcome(response.Body, request.header.Get("Req-Id"))
}

// readOutcome reads the lines of a worker's response, up to the line that ends the request with the given ID.
func readOutcome(body io.Reader, id string) (outcome balancer.Outcome, result string) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, protocol.MaxLineBytes)
	for lines.Scan() {
		line, err := protocol.ParseWorkerLine(lines.Bytes())
		if err != nil || line.ID != id {
			return balancer.WorkerError, ""
		}
		switch line.State {
		case protocol.AttemptDone:
			lines.Scan() // reads the rest of the body, so that the connection can be reused
			return balancer.Succeeded, line.Result
		case protocol.AttemptReturnedUnstarted:
			return balancer.Overloaded, ""
		case protocol.AttemptFailed, protocol.AttemptLost:
			return balancer.WorkerError, ""
		}
	}
	return balancer.ConnectionReset, ""
}
