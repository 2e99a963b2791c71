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
}

// ExportAll starts to migrate the requests in flight whose attempts are all waiting for their workers. Other requests
// continue in this process; the caller repeats ExportAll until no request is in flight.
func (p *Proxy) ExportAll(siblingMigrator Migrator) {
	p.inFlight.Range(func(key, _ any) bool {
		p.export(key.(*inFlightRequest), siblingMigrator)
		return true
	})
}

// export pauses the attempts of a request and exports the request from the balancer. The request's own goroutine then
// passes it to the sibling process (migrate). If either step fails, export resumes the attempts without losing data.
func (p *Proxy) export(r *inFlightRequest, siblingMigrator Migrator) {
	if r.isMigrating() {
		return
	}
	paused, allPaused := r.pauseAttempts()
	if !allPaused || !p.exportFromBalancer(r, paused, siblingMigrator) {
		for _, a := range paused {
			a.pause.resumeReader()
		}
	}
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

// exportFromBalancer exports a request from the balancer and sets its migration. It returns false if the balancer
// refuses, because the request has a response or has attempts that are not paused. Both steps are done with mu held,
// because the balancer wakes the request's goroutine, which needs the migration.
func (p *Proxy) exportFromBalancer(r *inFlightRequest, paused map[int]*attempt, siblingMigrator Migrator) (ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	balancing, exported := r.handle.Export(len(paused))
	if !exported {
		return false
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
	r.migration = &migration{request: migrated, attempts: paused, migrator: siblingMigrator}
	return true
}

func (r *inFlightRequest) isMigrating() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.migration != nil
}

// cancelMigration ends the paused attempts of a request whose client has disconnected.
func (r *inFlightRequest) cancelMigration() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.migration == nil {
		return
	}
	r.migration.endAttempts()
	r.migration.attempts = nil
}

// migrate passes a request that export has prepared to the sibling process, and ends it in this process. If that fails,
// the outcome of the request is unknown.
func (p *Proxy) migrate(ctx context.Context, r *inFlightRequest) *protocol.Response {
	r.mu.Lock()
	m := *r.migration
	r.mu.Unlock()
	err := m.transfer(ctx)
	m.endAttempts()
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

// endAttempts ends the paused attempts in this process, whose goroutines then close their connections. The sibling
// process has taken over the connections, or the migration was abandoned.
func (m *migration) endAttempts() {
	for _, a := range m.attempts {
		a.pause.endReader()
	}
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
