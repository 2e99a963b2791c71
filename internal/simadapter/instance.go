package simadapter

import (
	"fmt"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
)

// instance is one dispatcher: a balancer, and the numbers that it has for what the wire calls by name. It implements
// balancer.Effects, see effects.go.
type instance struct {
	number       int // on the wire
	operations   int
	tenants      int
	reportValues int // how many a load report has
	balancer     *balancer.Balancer
	reply        *reply

	workers    workerTable
	requests   requestTable
	loadReport []float64 // buffer for the one at hand
	failed     bool      // the balancer has panicked: events for it are ignored
}

func newInstance(number int, r *reply) *instance {
	return &instance{number: number, reply: r, workers: newWorkerTable(), requests: newRequestTable()}
}

// run lets the balancer handle an event, and then do what is due.
func (in *instance) run(now balancer.Time, handle func() error) error {
	return in.reportPanic(func() error {
		in.balancer.SetTime(now)
		err := handle()
		in.balancer.RunDueRules()
		in.requests.releaseEnded()
		return err
	})
}

// reportPanic calls a function. A panic in it is reported to the simulator as the end of this instance alone.
func (in *instance) reportPanic(call func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			in.failed = true
			in.reply.writeText("Die", in.number, fmt.Sprint(cause))
		}
	}()
	return call()
}

// handle turns an event into a call of the balancer.
func (in *instance) handle(kind string, fields *fastjson.Value) error {
	switch kind {
	case "Arrival":
		return in.requestArrived(fields)
	case "Note":
		return in.attemptProgressed(fields)
	case "Verdict":
		return in.attemptEnded(fields)
	case "Flowing":
		return in.responseStarted(fields)
	case "TimedOutClient":
		in.clientTimedOut(fields)
		return nil
	case "Bell":
		in.balancer.WakeFired(fields.GetUint64("keyBack"))
		return nil
	case "Sampled":
		return in.loadSampled(fields)
	case "Heard":
		return in.receiveLoads(balancer.PeerID(fields.GetInt("sender")), fields.GetStringBytes("octets"))
	}
	return errUnknownEvent
}

func (in *instance) loadSampled(fields *fastjson.Value) error {
	worker, err := in.workers.find(fields)
	if err != nil {
		return err
	}
	in.balancer.ReceiveLoadReport(worker, in.parseLoadReport(fields))
	return nil
}

// parseLoadReport reads the load report of an event. One without all its values counts as none.
func (in *instance) parseLoadReport(fields *fastjson.Value) []float64 {
	values := fields.GetArray("telemetry")
	in.loadReport = in.loadReport[:0]
	if !fields.Exists("telemetry") || len(values) != in.reportValues {
		return nil
	}
	for _, v := range values {
		in.loadReport = append(in.loadReport, v.GetFloat64())
	}
	return in.loadReport
}
