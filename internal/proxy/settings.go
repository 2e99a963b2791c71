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
	operations    map[string]operation         // by name
	tenants       map[string]balancer.TenantID // by name; empty where all requests are of one tenant
	tenantNames   []string                     // by their numbers, with those of earlier settings
	dialTimeout   time.Duration                // of a connection to a worker
	maxRetryAfter time.Duration                // see Config.MaxRetryAfter
}

// operation is an Operation with its number in the balancer.
type operation struct {
	Operation
	number balancer.OperationID
}

// Reconfigure replaces the settings, all at once. Requests in flight keep the settings that they arrived under. An
// operation that the new ones do not have is unknown to later requests, and keeps its counts. A request that arrives
// meanwhile is looked up by the earlier names, whose numbers stay the same in the balancer.
func (p *Proxy) Reconfigure(c Config, balancing balancer.Config) {
	ids := p.balancer.Reconfigure(balancing)
	if p.hooks.beforeSettings != nil {
		p.hooks.beforeSettings()
	}
	p.applySettings(c, ids)
}

// applySettings replaces the settings. ids are the balancer's numbers of the operations and tenants in c.
func (p *Proxy) applySettings(c Config, ids balancer.AssignedIDs) {
	next := &settings{
		operations:    map[string]operation{},
		tenants:       map[string]balancer.TenantID{},
		dialTimeout:   c.DialTimeout,
		maxRetryAfter: c.MaxRetryAfter,
	}
	if previous := p.settings.Load(); previous != nil {
		next.tenantNames = slices.Clone(previous.tenantNames)
	}
	for position, configured := range c.Operations {
		next.operations[configured.Name] = operation{configured, ids.Operations[position]}
		p.operations.add(configured.Name)
	}
	for position, name := range c.Tenants {
		next.addTenant(name, ids.Tenants[position])
	}
	p.settings.Store(next)
}

// addTenant gives a tenant its number in the balancer, which keeps a number for each tenant that ever was.
func (s *settings) addTenant(name string, id balancer.TenantID) {
	missing := max(0, int(id)+1-len(s.tenantNames))
	s.tenantNames = append(s.tenantNames, make([]string, missing)...)
	s.tenantNames[id] = name
	s.tenants[name] = id
}

// arrivalOf returns a request in the balancer's terms, and gives the request its operation's timeout where it has none.
// The error is protocol.ErrMalformed: an unknown operation or tenant, or a missing idempotency key.
func (s *settings) arrivalOf(request *protocol.Request) (balancer.Arrival, error) {
	configured, known := s.operations[request.Operation]
	if !known {
		return balancer.Arrival{}, fmt.Errorf("%w: unknown operation %.40q", protocol.ErrMalformed, request.Operation)
	}
	if configured.RequiresKey && request.IdempotencyKey == "" {
		return balancer.Arrival{}, fmt.Errorf("%w: no Idempotency-Key", protocol.ErrMalformed)
	}
	tenant, known := s.tenants[request.Tenant]
	if !known && len(s.tenants) > 0 {
		return balancer.Arrival{}, fmt.Errorf("%w: unknown owner %.40q", protocol.ErrMalformed, request.Tenant)
	}
	if request.Timeout == 0 {
		request.Timeout = configured.DefaultTimeout
	}
	return balancer.Arrival{
		Operation: configured.number,
		Tenant:    tenant,
		Timeout:   balancer.DurationOf(request.Timeout),
		SizeHint:  balancer.Work(balancer.DurationOf(request.SizeHint)),
		Slots:     request.Slots,
	}, nil
}
