package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"syscall"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// MigratedRequest is a request in flight, as one process of this dispatcher passes it to its sibling. Its sockets are
// passed along: that of the client and one for each attempt in flight.
type MigratedRequest struct {
	Request        *protocol.Request        `json:"Invocation"`
	Balancing      balancer.MigratedRequest `json:"Decided"`
	Workers        []string                 `json:"Hosts"`   // IDs of the attempts' workers
	Pipelined      []byte                   `json:"Early"`   // what the client has sent beyond the request
	Received       [][]byte                 `json:"Came"`    // on each attempt's connection since it was sent
	Reused         []bool                   `json:"Used"`    // the attempt's connection had been used before
	CloseRequested bool                     `json:"Closes"`  // the client's connection ends with the answer
	AcceptsInterim bool                     `json:"Interim"` // the client takes interim responses
}

// Migrator passes a request to the sibling process, with the client's socket and those of the attempts in flight by
// their numbers. It returns an error where the sibling did not take the request.
type Migrator func(m *MigratedRequest, client syscall.Conn, attempts map[int]syscall.Conn) error

// migration is a request that was taken from the balancer and is to be passed on.
type migration struct {
	request  *MigratedRequest
	attempts map[int]*attempt // paused, by their numbers
	migrator Migrator
}

// ExportAll passes on the requests in flight, as far as that is possible just now: each of their attempts waits for its
// worker. The others go on here; ExportAll is called again until none is left.
func (p *Proxy) ExportAll(to Migrator) {
	p.inFlight.Range(func(key, _ any) bool {
		p.export(key.(*inFlightRequest), to)
		return true
	})
}

// export pauses the attempts of a request and takes it from the balancer; its own goroutine then passes it on (migrate).
// Where either is not possible now, the attempts are resumed, which loses nothing.
func (p *Proxy) export(r *inFlightRequest, to Migrator) {
	if r.isMigrating() {
		return
	}
	paused := map[int]*attempt{}
	resume := func() {
		for _, a := range paused {
			a.pause.resume()
		}
	}
	for number, a := range r.attemptsInFlight() {
		if !a.pause.request() {
			resume()
			return
		}
		paused[number] = a
	}
	r.mu.Lock()
	balancing, exported := r.handle.Export(len(paused))
	if exported {
		m := &MigratedRequest{
			Request: r.request, Balancing: balancing, CloseRequested: r.closeRequested, AcceptsInterim: r.acceptsInterim,
		}
		for _, a := range balancing.Attempts {
			m.Workers = append(m.Workers, p.endpoints.Endpoint(a.Worker).ID)
		}
		r.migration = &migration{request: m, attempts: paused, migrator: to}
	}
	r.mu.Unlock()
	if !exported {
		resume()
	}
}

func (r *inFlightRequest) isMigrating() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.migration != nil
}

// cancelMigration ends the paused attempts of a request whose client has left.
func (r *inFlightRequest) cancelMigration() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.migration != nil {
		for _, a := range r.migration.attempts {
			a.pause.end()
		}
		r.migration.attempts = nil
	}
}

// migrate passes on a request that export has prepared. Where that fails, the outcome of the request is unknown.
func (p *Proxy) migrate(ctx context.Context, r *inFlightRequest) *protocol.Response {
	r.mu.Lock()
	m := *r.migration
	r.mu.Unlock()
	sockets, err := collectSockets(m)
	client, detachErr := transport.Detach(ctx)
	m.request.Pipelined = client.Pipelined
	if err == nil {
		err = detachErr
	}
	if err == nil && ctx.Err() == nil {
		err = m.migrator(m.request, client.Socket, sockets)
	}
	for _, a := range m.attempts {
		a.pause.end()
	}
	switch {
	case ctx.Err() != nil:
		p.counters.clientLeft.Add(1)
		return nil
	case err != nil:
		p.log.Warn().Err(err).Str("id", r.request.ID).Msg("migration failed")
		p.counters.failed.Add(1)
		return &protocol.Response{Status: 502}
	}
	p.counters.migrated.Add(1)
	return protocol.Migrated
}

// collectSockets returns the sockets of the paused attempts, and adds to the request what was read from them.
func collectSockets(m migration) (map[int]syscall.Conn, error) {
	sockets := map[int]syscall.Conn{}
	m.request.Received = make([][]byte, len(m.request.Balancing.Attempts))
	m.request.Reused = make([]bool, len(m.request.Balancing.Attempts))
	for number, a := range m.attempts {
		received, err := a.pause.conn.Recorded()
		if err != nil {
			return nil, err
		}
		m.request.Received[number] = received
		m.request.Reused[number] = a.reused
		sockets[number] = a.pause.conn.Socket()
		if sockets[number] == nil {
			return nil, transport.ErrNoSocket
		}
	}
	return sockets, nil
}

// ImportedRequest is a request of the sibling process that goes on here.
type ImportedRequest struct {
	*MigratedRequest // nil where it could not be parsed

	// Finish returns the answer. It is to be called once for the client; it is nil with an error of Import.
	Finish func(context.Context) *protocol.Response
}

// Import prepares to continue a request that the sibling process passes on as JSON, with the connections of its attempts
// by their numbers. With an error the request is returned as far as it could be parsed.
func (p *Proxy) Import(text json.RawMessage, attempts map[int]net.Conn) (ImportedRequest, error) {
	m := &MigratedRequest{}
	if err := json.Unmarshal(text, m); err != nil {
		return ImportedRequest{}, fmt.Errorf("migrated request: %w", err)
	}
	for n := range m.Balancing.Attempts {
		worker, known := p.endpoints.ByID(m.Workers[n])
		if !known {
			return ImportedRequest{MigratedRequest: m}, fmt.Errorf("migrated request: worker %q is not known here", m.Workers[n])
		}
		m.Balancing.Attempts[n].Worker = worker
	}
	p.operations.add(m.Request.Operation)
	finish := func(ctx context.Context) *protocol.Response {
		return p.counted(m.Request.Operation, func() *protocol.Response { return p.continueRequest(ctx, m, attempts) })
	}
	return ImportedRequest{MigratedRequest: m, Finish: finish}, nil
}

// continueRequest answers a migrated request.
func (p *Proxy) continueRequest(ctx context.Context, m *MigratedRequest, attempts map[int]net.Conn) *protocol.Response {
	p.requestIDs.openMigrated(m.Request.ID)
	defer p.requestIDs.close(m.Request.ID)
	handle, contexts := p.balancer.Import(m.Balancing)
	r := &inFlightRequest{
		request: m.Request, settings: p.settings.Load(), handle: handle, deadline: m.Balancing.Deadline,
		closeRequested: m.CloseRequested, acceptsInterim: m.AcceptsInterim,
	}
	results := make(chan string, 1)
	for number, netConn := range attempts {
		worker := m.Balancing.Attempts[number].Worker
		conn := p.pool.Import(netConn, p.endpoints.Endpoint(worker).Address, m.Received[number])
		a := p.newAttempt(r, balancer.Decision{Attempt: number})
		a.reused = m.Reused[number]
		p.background.Go(func() error {
			p.runAttempt(r, a, results, func() attemptResult { return a.resume(contexts[number], conn) })
			return nil
		})
	}
	return p.execute(ctx, r, results)
}
