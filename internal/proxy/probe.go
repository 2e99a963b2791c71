package proxy

import (
	"context"
	"net/http"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// loadReport is a worker's response to a probe.
type loadReport struct {
	values          []float64 // indexed as Config.ReportFields; empty if the worker returned no report
	closeConnection bool      // the connection cannot be reused
}

// probeWorkers requests load reports from the workers that the balancer selects, until ctx ends.
func (p *Proxy) probeWorkers(ctx context.Context) error {
	for {
		worker, err := p.balancer.NextLoadProbe(ctx)
		if err != nil { // ctx has ended
			return nil
		}
		p.background.Go(func() error {
			p.probe(ctx, worker)
			return nil
		})
	}
}

// probe requests one load report and passes it to the balancer. The dial timeout limits the total time of all steps.
// Failures are not reported, because the balancer detects worker failures from attempts.
func (p *Proxy) probe(ctx context.Context, worker balancer.WorkerID) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.Load().dialTimeout)
	defer cancel()
	conn, err := p.pool.Get(ctx, p.endpoints.Endpoint(worker).Address, transport.AnyConnection)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, conn.Interrupt)
	report, err := p.requestLoadReport(conn)
	switch {
	case !stop():
		conn.CloseFor(transport.AttemptCanceled, err)
	case err != nil:
		conn.CloseFor(transport.CloseReasonOf(err), err)
	case report.closeConnection:
		conn.CloseFor(transport.CloseRequested, nil)
	default:
		p.pool.Put(conn)
	}
	p.counters.probes.Add(1)
	if err == nil {
		p.balancer.ReceiveLoadReport(worker, report.values)
	}
}

// requestLoadReport requests a load report on conn. The report is empty if the response status is not 200.
func (p *Proxy) requestLoadReport(conn *transport.Conn) (loadReport, error) {
	if err := conn.Send(p.settings.Load().dialTimeout, protocol.AppendGet(nil, protocol.PathLoad)); err != nil {
		return loadReport{}, err
	}
	head, err := conn.ReadResponseHead()
	if err != nil {
		return loadReport{}, err
	}
	framing, err := protocol.ResponseBody(&head)
	if err != nil {
		return loadReport{}, err
	}
	body, err := conn.ReadBody(framing, protocol.MaxBodyBytes)
	if err != nil || head.Status != http.StatusOK {
		return loadReport{closeConnection: true}, err
	}
	values, err := protocol.ParseLoadReport(body, p.config.ReportFields)
	return loadReport{values: values, closeConnection: head.CloseRequested() || framing.EndsWithConnection()}, err
}
