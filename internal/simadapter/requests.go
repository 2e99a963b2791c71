package simadapter

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
	"canvasroute/internal/settings"
)

// progressStarted is the kind of progress that reports the start of an attempt.
const progressStarted = 1

// trackedRequest is a request with a number. The number is reused after the request and all of its attempts have ended.
type trackedRequest struct {
	name     string // name on the wire; "" while the number is free
	quoted   string // the name encoded as JSON
	attempts int    // number of attempts sent so far
	inFlight int    // number of attempts that have not ended
	ended    bool   // a response to the client has started or been sent, or the client has left
}

// requestTable assigns numbers to the requests of one instance.
type requestTable struct {
	ids               map[string]balancer.RequestID // number by name on the wire
	tracked           []trackedRequest              // requests by number
	unusedIDs         []balancer.RequestID          // numbers that are free for new requests
	releaseCandidates []balancer.RequestID          // numbers to check after the current event; may contain duplicates
}

// attemptRef identifies an attempt.
type attemptRef struct {
	request balancer.RequestID
	number  int // index among the attempts of the request, from 0
}

func newRequestTable() requestTable { return requestTable{ids: map[string]balancer.RequestID{}} }

func (t *requestTable) get(id balancer.RequestID) *trackedRequest { return &t.tracked[id] }

// add assigns a number to a request.
func (t *requestTable) add(name string) balancer.RequestID {
	id := balancer.RequestID(len(t.tracked))
	if last := len(t.unusedIDs) - 1; last >= 0 {
		id = t.unusedIDs[last]
		t.unusedIDs = t.unusedIDs[:last]
	} else {
		t.tracked = append(t.tracked, trackedRequest{})
	}
	t.tracked[id] = trackedRequest{name: name, quoted: quoted(name)}
	t.ids[name] = id
	return id
}

// markEnded marks a request as ended. The number is not released until the current event has been handled, because the
// balancer may still use it.
func (t *requestTable) markEnded(id balancer.RequestID) {
	t.tracked[id].ended = true
	t.releaseCandidates = append(t.releaseCandidates, id)
}

// releaseEnded releases the numbers of requests that have ended and have no attempt in flight. It is called after each
// event.
func (t *requestTable) releaseEnded() {
	for _, id := range t.releaseCandidates {
		request := t.get(id)
		if request.ended && request.inFlight == 0 && request.name != "" {
			delete(t.ids, request.name)
			request.name = ""
			t.unusedIDs = append(t.unusedIDs, id)
		}
	}
	t.releaseCandidates = t.releaseCandidates[:0]
}

// findAttempt returns the attempt that the fields of an event refer to. It returns errUnknownRequest or
// errUnknownAttempt if there is no such attempt.
func (t *requestTable) findAttempt(fields *fastjson.Value) (attemptRef, error) {
	name := string(fields.GetStringBytes(keyRequestID))
	id, known := t.ids[name]
	if !known {
		return attemptRef{}, fmt.Errorf("%w %q", errUnknownRequest, name)
	}
	number := fields.GetInt(keyAttempt)
	if number < 0 || number >= t.get(id).attempts {
		return attemptRef{}, fmt.Errorf("request %q %w %d", name, errUnknownAttempt, number)
	}
	return attemptRef{request: id, number: number}, nil
}

// handleRequestArrived passes a new request of a client to the balancer.
func (in *instance) handleRequestArrived(fields *fastjson.Value) error {
	name := string(fields.GetStringBytes(keyRequestID))
	if name == "" {
		return errors.New("missing " + keyRequestID)
	}
	operation := fields.GetInt(keyOperation)
	if operation < 0 || operation >= in.operationCount {
		return fmt.Errorf("unknown operation %d, there are %d", operation, in.operationCount)
	}
	tenant := fields.GetInt(keyTenant)
	if tenant < 0 || tenant >= in.tenantCount {
		return fmt.Errorf("unknown tenant %d, there are %d", tenant, in.tenantCount)
	}
	if _, known := in.requests.ids[name]; known {
		return fmt.Errorf("request %q already exists", name)
	}
	in.balancer.RequestArrived(in.requests.add(name), balancer.Arrival{
		Operation: balancer.OperationID(operation),
		Tenant:    balancer.TenantID(tenant),
		Timeout:   settings.DurationFromSeconds(fields.GetFloat64(keyTimeout)),
		SizeHint:  balancer.Work(settings.DurationFromSeconds(fields.GetFloat64(keySizeHint))),
		Slots:     fields.GetFloat64(keySlots),
	})
	return nil
}

// handleAttemptProgressed notifies the balancer that a worker has started an attempt. The balancer does not use other
// kinds of progress.
func (in *instance) handleAttemptProgressed(fields *fastjson.Value) error {
	attempt, err := in.requests.findAttempt(fields)
	if err != nil {
		return err
	}
	if fields.GetInt(keyProgress) == progressStarted {
		in.balancer.AttemptStarted(attempt.request, attempt.number)
	}
	return nil
}

// handleAttemptEnded passes the outcome of an attempt, and the load report in the response, to the balancer. Outcomes
// have the same numbers on the wire as in the balancer.
func (in *instance) handleAttemptEnded(fields *fastjson.Value) error {
	attempt, err := in.requests.findAttempt(fields)
	if err != nil {
		return err
	}
	outcome := fields.GetInt(keyOutcome)
	if outcome < int(balancer.Succeeded) || outcome > int(balancer.NotSent) {
		return fmt.Errorf("unknown outcome %d", outcome)
	}
	worker, err := in.workers.find(fields)
	if err != nil {
		return err
	}
	answer := balancer.NoAnswer
	request := in.requests.get(attempt.request)
	request.inFlight--
	if fields.GetBool(keyRequestEnded) {
		answer = balancer.FinalAnswer
		request.ended = true
	}
	in.requests.releaseCandidates = append(in.requests.releaseCandidates, attempt.request)
	in.balancer.AttemptEnded(attempt.request, attempt.number, balancer.Outcome(outcome), answer)
	in.balancer.ReceiveLoadReport(worker, in.parseLoadReport(fields))
	return nil
}

// handleResponseStarted handles the start of streaming an attempt's response to the client. It closes the request in
// the balancer except for this attempt, because the other attempts are no longer needed.
func (in *instance) handleResponseStarted(fields *fastjson.Value) error {
	attempt, err := in.requests.findAttempt(fields)
	if err != nil {
		return err
	}
	in.requests.get(attempt.request).ended = true
	in.balancer.ClientDisconnected(attempt.request, attempt.number)
	return nil
}

// handleClientLeft notifies the balancer that a client has left. The simulator may send this event for a request that
// ended earlier in the same batch; such an event is ignored.
func (in *instance) handleClientLeft(fields *fastjson.Value) {
	id, known := in.requests.ids[string(fields.GetStringBytes(keyRequestID))]
	if !known {
		return
	}
	in.requests.markEnded(id)
	in.balancer.ClientDisconnected(id, balancer.NoAttempt)
}
