package proxy

import (
	"context"
	"fmt"
	"syscall"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// MigratedRequest is a request in flight in the form in which a process passes it to its sibling. Its sockets are
// passed separately: the client's socket and one for each attempt in flight.
type MigratedRequest struct {
	Request        *protocol.Request        `json:"Invocation"`
	Balancing      balancer.MigratedRequest `json:"Decided"`
	Workers        []string                 `json:"Hosts"`   // IDs of the attempts' workers
	Pipelined      []byte                   `json:"Early"`   // bytes that the client has sent after the request
	Received       [][]byte                 `json:"Came"`    // bytes received since the attempt was sent, for each attempt
	Reused         []bool                   `json:"Used"`    // the connection had been used before, for each attempt
	CloseRequested bool                     `json:"Closes"`  // the client's connection closes after the response
	AcceptsInterim bool                     `json:"Interim"` // the client accepts interim responses
}

// Migrator passes a request to the sibling process, with the client's socket and those of the attempts in flight by
// attempt number. It returns an error if the sibling did not accept the request.
type Migrator func(m *MigratedRequest, client syscall.Conn, attempts map[int]syscall.Conn) error

// migration is a request that was exported from the balancer and is to be passed to the sibling process.
type migration struct {
	request  *MigratedRequest
	attempts map[int]*attempt // paused attempts, by attempt number
	migrator Migrator
	ended    chan struct{} // closed when the request has been passed on, or was abandoned
}

// ExportAll migrates the requests in flight whose attempts are all waiting for their workers, one after the other, until
// ctx ends. Before its turn a request stays in the balancer, so that its client and its deadline are watched, and it may
// get its response here. Requests that cannot be migrated now continue in this process; the caller repeats ExportAll until
// no request is in flight. ExportAll must not be called concurrently.
func (p *Proxy) ExportAll(ctx context.Context, siblingMigrator Migrator) {
	p.inFlight.Range(func(key, _ any) bool {
		if ctx.Err() != nil {
			return false
		}
		if started := p.export(key.(*inFlightRequest), siblingMigrator); started != nil {
			<-started.ended
		}
		return true
	})
}

// export pauses the attempts of a request and exports the request from the balancer. The request's own goroutine then
// passes it to the sibling process (migrate). If either step fails, export resumes the attempts without losing data, and
// returns nil.
func (p *Proxy) export(r *inFlightRequest, siblingMigrator Migrator) *migration {
	paused, allPaused := r.pauseAttempts()
	if allPaused {
		if started := p.exportFromBalancer(r, paused, siblingMigrator); started != nil {
			return started
		}
	}
	for _, a := range paused {
		a.pause.resumeReader()
	}
	return nil
}

// pauseAttempts pauses the attempts in flight. It returns the paused attempts by attempt number, and reports whether
// all attempts were paused.
func (r *inFlightRequest) pauseAttempts() (paused map[int]*attempt, allPaused bool) {
	paused = map[int]*attempt{}
	for number, a := range r.attemptsInFlight() {
		if !a.pause.tryPause() {
			return paused, false
		}
		paused[number] = a
	}
	return paused, true
}

// exportFromBalancer exports a request from the balancer and sets its migration. It returns nil if the balancer refuses,
// because the request has a response or has attempts that are not paused. Both steps are done with mu held, because the
// balancer wakes the request's goroutine, which needs the migration.
func (p *Proxy) exportFromBalancer(r *inFlightRequest, paused map[int]*attempt, siblingMigrator Migrator) *migration {
	r.mu.Lock()
	defer r.mu.Unlock()
	balancing, exported := r.handle.Export(len(paused))
	if !exported {
		return nil
	}
	migrated := &MigratedRequest{
		Request:        r.request,
		Balancing:      balancing,
		CloseRequested: r.closeRequested,
		AcceptsInterim: r.acceptsInterim,
	}
	for _, a := range balancing.Attempts {
		migrated.Workers = append(migrated.Workers, p.endpoints.Endpoint(a.Worker).ID)
	}
	r.migration = &migration{
		request:  migrated,
		attempts: paused,
		migrator: siblingMigrator,
		ended:    make(chan struct{}),
	}
	return r.migration
}

// currentMigration returns the migration of a request, or nil if the request has not been exported.
func (r *inFlightRequest) currentMigration() *migration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.migration
}

// cancelMigration ends the migration of a request whose client has disconnected, if it has been exported.
func (r *inFlightRequest) cancelMigration() {
	if m := r.currentMigration(); m != nil {
		m.end()
	}
}

// migrate passes a request that export has prepared to the sibling process, and ends it in this process. If that fails,
// the outcome of the request is unknown.
func (p *Proxy) migrate(ctx context.Context, r *inFlightRequest) *protocol.Response {
	m := r.currentMigration()
	err := m.transfer(ctx)
	m.end()
	switch {
	case ctx.Err() != nil:
		return p.respondDisconnected()
	case err != nil:
		p.log.Warn().Err(err).Str("id", r.request.ID).Msg("migration failed")
		return p.respondFailed()
	}
	return p.respondMigrated()
}

// transfer passes a request to the migrator, unless the client has disconnected. ctx is the client's context.
func (m *migration) transfer(ctx context.Context) error {
	sockets, err := m.collectSockets()
	client, detachErr := transport.Detach(ctx)
	m.request.Pipelined = client.Pipelined
	switch {
	case err != nil:
		return err
	case detachErr != nil:
		return fmt.Errorf("detaching the client: %w", detachErr)
	case ctx.Err() != nil:
		return ctx.Err()
	}
	return m.migrator(m.request, client.Socket, sockets)
}

// end ends the paused attempts in this process, whose goroutines then close their connections. The sibling process has
// taken over the connections, or the migration was abandoned. The request's goroutine calls end exactly once.
func (m *migration) end() {
	for _, a := range m.attempts {
		a.pause.endReader()
	}
	close(m.ended)
}

// collectSockets returns the sockets of the paused attempts by attempt number, and adds the bytes received on them to
// the request. The error wraps transport.ErrNotRecorded or transport.ErrNoSocket.
func (m *migration) collectSockets() (map[int]syscall.Conn, error) {
	sockets := map[int]syscall.Conn{}
	m.request.Received = make([][]byte, len(m.request.Balancing.Attempts))
	m.request.Reused = make([]bool, len(m.request.Balancing.Attempts))
	for number, a := range m.attempts {
		received, err := a.pause.conn.Recorded()
		if err != nil {
			return nil, fmt.Errorf("attempt %d: %w", number, err)
		}
		m.request.Received[number] = received
		m.request.Reused[number] = a.reused
		sockets[number] = a.pause.conn.Socket()
		if sockets[number] == nil {
			return nil, fmt.Errorf("attempt %d: %w", number, transport.ErrNoSocket)
		}
	}
	return sockets, nil
}
