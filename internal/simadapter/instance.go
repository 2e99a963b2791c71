package simadapter

import (
	"fmt"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
)

// instance is one dispatcher: a balancer, and the numbers by which the balancer knows the workers and requests that the
// wire names. It implements balancer.Effects, see effects.go.
type instance struct {
	number       int // on the wire
	operations   int // in the settings
	tenants      int // in the settings
	reportValues int // in a load report
	balancer     *balancer.Balancer
	reply        *reply // of the batch at hand, shared by all instances

	workers    workerTable
	requests   requestTable
	loadReport []float64 // of the event at hand; a buffer that is used again
	failed     bool      // the balancer has panicked; events for it are ignored
}

func newInstance(number int, r *reply) *instance {
	return &instance{number: number, reply: r, workers: newWorkerTable(), requests: newRequestTable()}
}

// run sets the balancer's time, calls handle for an event, and then lets the balancer do what is due. A balancer that
// panics has failed.
func (in *instance) run(now balancer.Time, handle func() error) error {
	return in.reportPanic(func() error {
		in.balancer.SetTime(now)
		err := handle()
		in.balancer.RunDueRules()
		in.requests.releaseEnded()
		return err
	})
}

// reportPanic calls a function. A panic in it ends this instance alone, and is reported to the simulator.
func (in *instance) reportPanic(call func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			in.failed = true
			in.reply.writeText(commandFailed, in.number, fmt.Sprint(cause))
		}
	}()
	return call()
}

// handle passes an event to the balancer. The error is errUnknownEvent, or says what is wrong with the event's fields.
func (in *instance) handle(event string, fields *fastjson.Value) error {
	switch event {
	case eventRequestArrived:
		return in.requestArrived(fields)
	case eventAttemptProgressed:
		return in.attemptProgressed(fields)
	case eventAttemptEnded:
		return in.attemptEnded(fields)
	case eventResponseStarted:
		return in.responseStarted(fields)
	case eventClientLeft:
		in.clientLeft(fields)
		return nil
	case eventTimerFired:
		in.balancer.WakeFired(fields.GetUint64(keyTimer))
		return nil
	case eventProbeEnded:
		return in.probeEnded(fields)
	case eventGossip:
		return in.receiveLoads(balancer.PeerID(fields.GetInt(keyPeerFrom)), fields.GetStringBytes(keyGossipContent))
	}
	return errUnknownEvent
}

// probeEnded passes on the load report that came with the response to a health check.
func (in *instance) probeEnded(fields *fastjson.Value) error {
	worker, err := in.workers.find(fields)
	if err != nil {
		return err
	}
	in.balancer.ReceiveLoadReport(worker, in.parseLoadReport(fields))
	return nil
}

// parseLoadReport reads the load report of an event, nil where there is none or a value is missing. It is valid until the
// next event.
func (in *instance) parseLoadReport(fields *fastjson.Value) []float64 {
	values := fields.GetArray(keyLoadReport)
	in.loadReport = in.loadReport[:0]
	if !fields.Exists(keyLoadReport) || len(values) != in.reportValues {
		return nil
	}
	for _, value := range values {
		in.loadReport = append(in.loadReport, value.GetFloat64())
	}
	return in.loadReport
}
