package simadapter

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
	"canvasroute/internal/settings"
)

// progressStarted is the progress by which a worker reports that it has started an attempt.
const progressStarted = 1

// trackedRequest follows a request until the last outcome of its attempts. Then its number is used again.
type trackedRequest struct {
	name     string // on the wire, "" once the number is free
	quoted   string // the name as JSON
	attempts int    // sent so far
	inFlight int    // attempts without an outcome
	ended    bool   // answered, or left by its client
}

// requestTable gives requests numbers.
type requestTable struct {
	ids     map[string]balancer.RequestID
	tracked []trackedRequest // by number
	free    []balancer.RequestID
	ending  []balancer.RequestID // may be free after the event at hand
}

func newRequestTable() requestTable { return requestTable{ids: map[string]balancer.RequestID{}} }

func (t *requestTable) get(id balancer.RequestID) *trackedRequest { return &t.tracked[id] }

// add gives a request a number.
func (t *requestTable) add(name string) balancer.RequestID {
	id := balancer.RequestID(len(t.tracked))
	if last := len(t.free) - 1; last >= 0 {
		id = t.free[last]
		t.free = t.free[:last]
	} else {
		t.tracked = append(t.tracked, trackedRequest{})
	}
	t.tracked[id] = trackedRequest{name: name, quoted: quoted(name)}
	t.ids[name] = id
	return id
}

// end marks a request as ended. Its number is not free while the balancer may still be at work on it.
func (t *requestTable) end(id balancer.RequestID) {
	t.tracked[id].ended = true
	t.ending = append(t.ending, id)
}

// releaseEnded frees the numbers of requests that have ended and have no attempt in flight.
func (t *requestTable) releaseEnded() {
	for _, id := range t.ending {
		request := t.get(id)
		if request.ended && request.inFlight == 0 && request.name != "" {
			delete(t.ids, request.name)
			request.name = ""
			t.free = append(t.free, id)
		}
	}
	t.ending = t.ending[:0]
}

// findAttempt reads which attempt an event is about.
func (t *requestTable) findAttempt(fields *fastjson.Value) (balancer.RequestID, int, error) {
	name := string(fields.GetStringBytes("rid"))
	id, known := t.ids[name]
	if !known {
		return 0, 0, fmt.Errorf("%w %q", errUnknownRequest, name)
	}
	attempt := fields.GetInt("hop")
	if attempt < 0 || attempt >= t.get(id).attempts {
		return 0, 0, fmt.Errorf("request %q has no attempt %d", name, attempt)
	}
	return id, attempt, nil
}

func (in *instance) requestArrived(fields *fastjson.Value) error {
	name := string(fields.GetStringBytes("rid"))
	if name == "" {
		return errors.New("no rid")
	}
	operation := fields.GetInt("band")
	if operation < 0 || operation >= in.operations {
		return fmt.Errorf("unknown operation %d, there are %d", operation, in.operations)
	}
	tenant := fields.GetInt("project")
	if tenant < 0 || tenant >= in.tenants {
		return fmt.Errorf("unknown tenant %d, there are %d", tenant, in.tenants)
	}
	if _, known := in.requests.ids[name]; known {
		return fmt.Errorf("request %q is known already", name)
	}
	in.balancer.RequestArrived(in.requests.add(name), balancer.Arrival{
		Operation: balancer.OperationID(operation),
		Tenant:    balancer.TenantID(tenant),
		Timeout:   settings.DurationOf(fields.GetFloat64("graceS")),
		SizeHint:  balancer.Work(settings.DurationOf(fields.GetFloat64("costGuessS"))),
		Slots:     fields.GetFloat64("coresNeeded"),
	})
	return nil
}

// attemptProgressed passes on that a worker has started an attempt. Other progress does not concern the balancer.
func (in *instance) attemptProgressed(fields *fastjson.Value) error {
	id, attempt, err := in.requests.findAttempt(fields)
	if err != nil {
		return err
	}
	if fields.GetInt("what") == progressStarted {
		in.balancer.AttemptStarted(id, attempt)
	}
	return nil
}

func (in *instance) attemptEnded(fields *fastjson.Value) error {
	id, attempt, err := in.requests.findAttempt(fields)
	if err != nil {
		return err
	}
	outcome := fields.GetInt("reason")
	if outcome < int(balancer.Succeeded) || outcome > int(balancer.NotSent) {
		return fmt.Errorf("unknown outcome %d", outcome)
	}
	worker, err := in.workers.find(fields)
	if err != nil {
		return err
	}
	closed := fields.GetBool("closed") // the request ends with this attempt
	request := in.requests.get(id)
	request.inFlight--
	request.ended = request.ended || closed
	in.requests.ending = append(in.requests.ending, id)
	answer := balancer.NoAnswer
	if closed {
		answer = balancer.FinalAnswer
	}
	in.balancer.AttemptEnded(id, attempt, balancer.Outcome(outcome), answer)
	in.balancer.ReceiveLoadReport(worker, in.parseLoadReport(fields))
	return nil
}

// responseStarted passes on that an attempt's response flows to the client: nothing else of the request is wanted.
func (in *instance) responseStarted(fields *fastjson.Value) error {
	id, attempt, err := in.requests.findAttempt(fields)
	if err != nil {
		return err
	}
	in.requests.get(id).ended = true
	in.balancer.ClientLeft(id, attempt)
	return nil
}

// clientTimedOut passes on that a client is gone. A request that has ended earlier in this batch may be named, and is
// unknown by now.
func (in *instance) clientTimedOut(fields *fastjson.Value) {
	id, known := in.requests.ids[string(fields.GetStringBytes("rid"))]
	if !known {
		return
	}
	in.requests.end(id)
	in.balancer.ClientLeft(id, balancer.NoAttempt)
}
