package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"net"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// ImportedRequest is a request of the sibling process that this process continues.
type ImportedRequest struct {
	*MigratedRequest // nil if it could not be parsed

	// Finish waits for the response to the client and returns it. It must be called exactly once. It is nil if Import
	// returned an error.
	Finish func(context.Context) *protocol.Response
}

// Import prepares to continue a request that the sibling process has exported as JSON. attempts are the connections of
// the request's attempts, by attempt number. If Import returns an error, the result holds the request if it could be
// parsed.
func (p *Proxy) Import(requestJSON json.RawMessage, attempts map[int]net.Conn) (ImportedRequest, error) {
	migrated := &MigratedRequest{}
	if err := json.Unmarshal(requestJSON, migrated); err != nil {
		return ImportedRequest{}, fmt.Errorf("migrated request: %w", err)
	}
	if err := p.renumberWorkers(migrated); err != nil {
		p.retainMigratedID(migrated)
		return ImportedRequest{MigratedRequest: migrated}, fmt.Errorf("migrated request: %w", err)
	}
	operationName := migrated.Request.Operation
	p.operations.add(operationName)
	finish := func(ctx context.Context) *protocol.Response {
		return p.serveCounted(operationName, func() *protocol.Response { return p.continueRequest(ctx, migrated, attempts) })
	}
	return ImportedRequest{MigratedRequest: migrated, Finish: finish}, nil
}

// retainMigratedID keeps the ID of a migrated request in use that cannot be continued and must not be executed again.
func (p *Proxy) retainMigratedID(migrated *MigratedRequest) {
	if migrated.Balancing.Idempotency == balancer.Idempotent {
		return
	}
	p.requestIDs.openMigrated(migrated.Request.ID)
	p.requestIDs.retain(migrated.Request.ID)
}

// renumberWorkers replaces the sibling's worker numbers of the attempts with those of this process. It returns an error
// if a worker is not in this process's endpoint table.
func (p *Proxy) renumberWorkers(migrated *MigratedRequest) error {
	for number := range migrated.Balancing.Attempts {
		id := migrated.Workers[number]
		worker, known := p.endpoints.WorkerByID(id)
		if !known {
			return fmt.Errorf("unknown worker %q", id)
		}
		migrated.Balancing.Attempts[number].Worker = worker
	}
	return nil
}

// continueRequest resumes the attempts of a migrated request and returns the response to it.
func (p *Proxy) continueRequest(ctx context.Context, migrated *MigratedRequest, attempts map[int]net.Conn,
) *protocol.Response {
	p.requestIDs.openMigrated(migrated.Request.ID)
	handle, contexts := p.balancer.Import(migrated.Balancing)
	r := &inFlightRequest{
		request:        migrated.Request,
		settings:       p.settings.Load(),
		handle:         handle,
		deadline:       migrated.Balancing.Deadline,
		closeRequested: migrated.CloseRequested,
		acceptsInterim: migrated.AcceptsInterim,
		mustNotRepeat:  migrated.Balancing.Idempotency != balancer.Idempotent && len(migrated.Balancing.Attempts) > 0,
		result:         newResultChannel(),
	}
	for number, netConn := range attempts {
		worker := migrated.Balancing.Attempts[number].Worker
		conn := p.pool.Import(netConn, p.endpoints.Endpoint(worker).Address, migrated.Received[number])
		a := p.newAttempt(r, balancer.Decision{Attempt: number})
		a.reused = migrated.Reused[number]
		p.runInBackground(r, a, func() attemptResult { return a.resume(contexts[number], conn) })
	}
	response := p.execute(ctx, r)
	p.endRequestID(r, response)
	return response
}
