package proxy

import (
	"context"
	"net/http"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// loadReport is a worker's answer to a probe.
type loadReport struct {
	values          []float64 // by Config.ReportFields; empty where the worker gives no report
	closeConnection bool      // it cannot be used again
}

// probeWorkers requests load reports from the workers that the balancer selects, until ctx ends.
func (p *Proxy) probeWorkers(ctx context.Context) error {
	for {
		worker, err := p.balancer.NextProbe(ctx)
		if err != nil { // ctx has ended
			return nil
		}
		p.background.Go(func() error {
			p.probe(ctx, worker)
			return nil
		})
	}
}

// probe requests one load report and passes it on to the balancer. The dial timeout bounds all of its steps together. A
// failure is not reported: the balancer judges workers by their attempts.
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

// requestLoadReport requests a report on a connection. A worker that refuses gives an empty one.
func (p *Proxy) requestLoadReport(conn *transport.Conn) (loadReport, error) {
	if err := conn.Send(p.settings.Load().dialTimeout, protocol.AppendGet(nil, protocol.PathLoad)); err != nil {
		return loadReport{}, err
	}
	head, err := conn.ReadResponseHead()
	if err != nil {
		return loadReport{}, err
	}
	frame, err := protocol.ResponseBody(&head)
	if err != nil {
		return loadReport{}, err
	}
	body, err := conn.ReadBody(frame, protocol.MaxBodyBytes)
	if err != nil || head.Status != http.StatusOK {
		return loadReport{closeConnection: true}, err
	}
	values, err := protocol.ParseLoadReport(body, p.config.ReportFields)
	return loadReport{values: values, closeConnection: head.CloseRequested() || frame.EndsWithConnection()}, err
}
