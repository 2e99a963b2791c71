package proxy

import (
	"fmt"
	"slices"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// settings are the part of the configuration that may change while a Proxy serves. They are replaced as a whole and
// never changed: a request is served under those that were in force when it arrived.
type settings struct {
	operations    map[string]operation
	tenants       map[string]balancer.TenantID
	tenantNames   []string // by their numbers, with those of earlier settings
	dialTimeout   time.Duration
	maxRetryAfter time.Duration
}

type operation struct {
	Operation
	number balancer.OperationID
}

// Reconfigure replaces the settings, all at once. Requests in flight keep those that they arrived under. An operation
// that is not in the new ones is unknown to later requests, and keeps its counts. A request that arrives meanwhile is
// looked up by the earlier names, whose numbers stay the same in the balancer.
func (p *Proxy) Reconfigure(c Config, balancing balancer.Config) {
	ids := p.balancer.Reconfigure(balancing)
	if p.hooks.beforeSettings != nil {
		p.hooks.beforeSettings()
	}
	p.applySettings(c, ids)
}

// applySettings replaces the settings; ids are the balancer's for the operations and tenants in c.
func (p *Proxy) applySettings(c Config, ids balancer.AssignedIDs) {
	next := &settings{
		operations: map[string]operation{}, tenants: map[string]balancer.TenantID{},
		dialTimeout: c.DialTimeout, maxRetryAfter: c.MaxRetryAfter,
	}
	if previous := p.settings.Load(); previous != nil {
		next.tenantNames = slices.Clone(previous.tenantNames)
	}
	for n, o := range c.Operations {
		next.operations[o.Name] = operation{o, ids.Operations[n]}
		p.operations.add(o.Name)
	}
	for n, name := range c.Tenants {
		next.addTenant(name, ids.Tenants[n])
	}
	p.settings.Store(next)
}

func (s *settings) addTenant(name string, id balancer.TenantID) {
	missing := max(0, int(id)+1-len(s.tenantNames))
	s.tenantNames = append(s.tenantNames, make([]string, missing)...)
	s.tenantNames[id] = name
	s.tenants[name] = id
}

// arrivalOf returns what the balancer needs to know of a request, and gives the request its operation's timeout where it
// has none. The error is protocol.ErrMalformed.
func (s *settings) arrivalOf(request *protocol.Request) (balancer.Arrival, error) {
	o, known := s.operations[request.Operation]
	if !known {
		return balancer.Arrival{}, fmt.Errorf("%w: unknown operation %.40q", protocol.ErrMalformed, request.Operation)
	}
	if o.RequiresKey && request.IdempotencyKey == "" {
		return balancer.Arrival{}, fmt.Errorf("%w: no Idempotency-Key", protocol.ErrMalformed)
	}
	tenant, known := s.tenants[request.Tenant]
	if !known && len(s.tenants) > 0 {
		return balancer.Arrival{}, fmt.Errorf("%w: unknown owner %.40q", protocol.ErrMalformed, request.Tenant)
	}
	if request.Timeout == 0 {
		request.Timeout = o.DefaultTimeout
	}
	return balancer.Arrival{
		Operation: o.number, Tenant: tenant, Timeout: balancer.DurationOf(request.Timeout),
		SizeHint: balancer.Work(balancer.DurationOf(request.SizeHint)), Slots: request.Slots,
	}, nil
}
