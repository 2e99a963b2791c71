package simadapter

import (
	"fmt"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
)

// instance is one dispatcher: a balancer, and tables that map the names of workers and requests on the wire to the
// numbers that the balancer uses. It implements balancer.Effects in effects.go and gossip.go.
type instance struct {
	number           int // number of the dispatcher on the wire
	operationCount   int // number of operations in the settings
	tenantCount      int // number of tenants in the settings
	loadReportLength int // number of values in a load report
	balancer         *balancer.Balancer
	reply            *reply // reply to the current batch, shared by all instances

	workers    workerTable
	requests   requestTable
	loadReport []float64 // load report of the current event; the buffer is reused
	failed     bool      // the balancer has panicked; further events are ignored
}

func newInstance(number int, r *reply) *instance {
	return &instance{number: number, reply: r, workers: newWorkerTable(), requests: newRequestTable()}
}

// handleAt sets the balancer's time, calls handle to process an event, and then runs the balancer's due rules. If any
// of them panics, the instance is marked as failed.
func (in *instance) handleAt(now balancer.Time, handle func() error) error {
	return in.callReportingPanic(func() error {
		in.balancer.SetTime(now)
		err := handle()
		in.balancer.RunDueRules()
		in.requests.releaseEnded()
		return err
	})
}

// callReportingPanic calls a function. If the function panics, only this instance is marked as failed, and the panic is
// reported to the simulator.
func (in *instance) callReportingPanic(call func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			in.failed = true
			in.reply.writeTextCommand(commandFailed, in.number, fmt.Sprint(cause))
		}
	}()
	return call()
}

// handleEvent passes an event to the balancer. It returns errUnknownEvent for an unknown event, or an error that
// describes the invalid field.
func (in *instance) handleEvent(event string, fields *fastjson.Value) error {
	switch event {
	case eventRequestArrived:
		return in.handleRequestArrived(fields)
	case eventAttemptProgressed:
		return in.handleAttemptProgressed(fields)
	case eventAttemptEnded:
		return in.handleAttemptEnded(fields)
	case eventResponseStarted:
		return in.handleResponseStarted(fields)
	case eventClientLeft:
		in.handleClientLeft(fields)
		return nil
	case eventTimerFired:
		in.balancer.WakeFired(fields.GetUint64(keyTimer))
		return nil
	case eventProbeEnded:
		return in.handleProbeEnded(fields)
	case eventGossip:
		return in.handleGossip(balancer.PeerID(fields.GetInt(keyPeerFrom)), fields.GetStringBytes(keyGossipContent))
	}
	return errUnknownEvent
}

// handleProbeEnded passes the load report in the response to a health check to the balancer.
func (in *instance) handleProbeEnded(fields *fastjson.Value) error {
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
	if !fields.Exists(keyLoadReport) || len(values) != in.loadReportLength {
		return nil
	}
	for _, value := range values {
		in.loadReport = append(in.loadReport, value.GetFloat64())
	}
	return in.loadReport
}
