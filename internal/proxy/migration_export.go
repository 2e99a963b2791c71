package proxy

import (
	"context"
	"fmt"
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

// ExportAll passes on the requests in flight whose attempts all wait for their workers just now. The others continue
// here; ExportAll is called again until none is left.
func (p *Proxy) ExportAll(to Migrator) {
	p.inFlight.Range(func(key, _ any) bool {
		p.export(key.(*inFlightRequest), to)
		return true
	})
}

// export pauses the attempts of a request and takes the request from the balancer. The request's own goroutine then
// passes it on (migrate). Where either is not possible now, the attempts are resumed, which loses nothing.
func (p *Proxy) export(r *inFlightRequest, to Migrator) {
	if r.isMigrating() {
		return
	}
	paused, all := r.pauseAttempts()
	if !all || !p.takeFromBalancer(r, paused, to) {
		for _, a := range paused {
			a.pause.resume()
		}
	}
}

// pauseAttempts pauses the attempts in flight. It returns the paused ones by their numbers, and whether they are all.
func (r *inFlightRequest) pauseAttempts() (paused map[int]*attempt, all bool) {
	paused = map[int]*attempt{}
	for number, a := range r.attemptsInFlight() {
		if !a.pause.request() {
			return paused, false
		}
		paused[number] = a
	}
	return paused, true
}

// takeFromBalancer takes a request from the balancer, and reports whether the balancer gave it. It refuses a request
// that is answered, or has other attempts than the paused ones. Both steps are done under mu: the balancer wakes the
// request's goroutine, which must find the migration.
func (p *Proxy) takeFromBalancer(r *inFlightRequest, paused map[int]*attempt, to Migrator) (taken bool) {
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
	r.migration = &migration{request: migrated, attempts: paused, migrator: to}
	return true
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
	if r.migration == nil {
		return
	}
	r.migration.endAttempts()
	r.migration.attempts = nil
}

// migrate passes on a request that export has prepared, and ends it here. Where that fails the outcome of the request
// is unknown.
func (p *Proxy) migrate(ctx context.Context, r *inFlightRequest) *protocol.Response {
	r.mu.Lock()
	m := *r.migration
	r.mu.Unlock()
	err := m.passOn(ctx)
	m.endAttempts()
	switch {
	case ctx.Err() != nil:
		return p.respondToNobody()
	case err != nil:
		p.log.Warn().Err(err).Str("id", r.request.ID).Msg("migration failed")
		return p.respondFailed()
	}
	return p.respondElsewhere()
}

// passOn gives a request to the migrator, unless its client has left. ctx is that of the client.
func (m *migration) passOn(ctx context.Context) error {
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

// endAttempts ends the paused attempts here. Their connections are the sibling process's, or are given up.
func (m *migration) endAttempts() {
	for _, a := range m.attempts {
		a.pause.end()
	}
}

// collectSockets returns the sockets of the paused attempts by their numbers, and adds to the request what was read
// from them. Its errors are transport.ErrNotRecorded and transport.ErrNoSocket.
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
