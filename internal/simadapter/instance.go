package simadapter

import (
	"fmt"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
)

// instance is one dispatcher: a balancer, and tables that map the names of workers and requests on the wire to the
// numbers that the balancer uses. It implements balancer.Effects in effects.go.
type instance struct {
	number       int // number of the dispatcher on the wire
	operations   int // number of operations in the settings
	tenants      int // number of tenants in the settings
	reportValues int // number of values in a load report
	balancer     *balancer.Balancer
	reply        *reply // reply to the current batch, shared by all instances

	workers    workerTable
	requests   requestTable
	loadReport []float64 // load report of the current event; the buffer is reused
	failed     bool      // the balancer has panicked; further events are ignored
}

func newInstance(number int, r *reply) *instance {
	return &instance{number: number, reply: r, workers: newWorkerTable(), requests: newRequestTable()}
}

// run sets the balancer's time, calls handle for an event, and then runs the balancer's due rules. A panic marks the
// instance as failed.
func (in *instance) run(now balancer.Time, handle func() error) error {
	return in.reportPanic(func() error {
		in.balancer.SetTime(now)
		err := handle()
		in.balancer.RunDueRules()
		in.requests.releaseEnded()
		return err
	})
}

// reportPanic calls a function. If the function panics, reportPanic marks only this instance as failed and reports the
// panic to the simulator.
func (in *instance) reportPanic(call func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			in.failed = true
			in.reply.writeText(commandFailed, in.number, fmt.Sprint(cause))
		}
	}()
	return call()
}

// handle passes an event to the balancer. It returns errUnknownEvent for an unknown event, or an error that describes
// the invalid field.
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

// probeEnded passes the load report in the response to a health check to the balancer.
func (in *instance) probeEnded(fields *fastjson.Value) error {
	worker, err := in.workers.find(fields)
	if err != nil {
		return err
	}
	in.balancer.ReceiveLoadReport(worker, in.parseLoadReport(fields))
	return nil
}

// parseLoadReport returns the load report of an event, or nil if the event has none or the number of values is wrong.
// The result is valid until the next event.
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
