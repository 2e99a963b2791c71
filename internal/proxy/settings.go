package proxy

import (
	"fmt"
	"slices"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// settings is the part of the configuration that may change while a Proxy is running. A settings value is immutable and
// replaced as a whole: a request uses the settings at its arrival until it ends.
type settings struct {
	operations            map[string]operation         // by name
	tenants               map[string]balancer.TenantID // by name; empty if all requests belong to a single tenant
	tenantNames           []string                     // indexed by tenant ID, including those of earlier settings
	dialTimeout           time.Duration                // timeout for connecting to a worker
	unavailableRetryAfter time.Duration                // see Config.UnavailableRetryAfter
}

// operation is an Operation with its ID in the balancer.
type operation struct {
	Operation
	id balancer.OperationID
}

// Reconfigure replaces all settings at once. Requests in flight keep the settings at their arrival. Later requests for
// an operation that was removed are rejected as unknown; its counts are kept. Names in a request that arrives during
// the call are looked up in the previous settings, whose IDs remain valid in the balancer.
func (p *Proxy) Reconfigure(c Config, balancing balancer.Config) {
	ids := p.balancer.Reconfigure(balancing)
	if p.hooks.beforeApplySettings != nil {
		p.hooks.beforeApplySettings()
	}
	p.applySettings(c, ids)
}

// applySettings replaces the settings. ids are the balancer's IDs of the operations and tenants in c.
func (p *Proxy) applySettings(c Config, ids balancer.AssignedIDs) {
	next := &settings{
		operations:            map[string]operation{},
		tenants:               map[string]balancer.TenantID{},
		dialTimeout:           c.DialTimeout,
		unavailableRetryAfter: c.UnavailableRetryAfter,
	}
	if previous := p.settings.Load(); previous != nil {
		next.tenantNames = slices.Clone(previous.tenantNames)
	}
	for position, op := range c.Operations {
		next.operations[op.Name] = operation{op, ids.Operations[position]}
		p.operations.add(op.Name)
	}
	for position, name := range c.Tenants {
		next.addTenant(name, ids.Tenants[position])
	}
	p.settings.Store(next)
}

// addTenant adds a tenant with its ID in the balancer, which keeps the IDs of removed tenants.
func (s *settings) addTenant(name string, id balancer.TenantID) {
	missing := max(0, int(id)+1-len(s.tenantNames))
	s.tenantNames = append(s.tenantNames, make([]string, missing)...)
	s.tenantNames[id] = name
	s.tenants[name] = id
}

// newArrival converts a request to a balancer.Arrival. If the request has no timeout, newArrival sets the default
// timeout of its operation. The error wraps protocol.ErrMalformed if the operation or tenant is unknown, or if the
// idempotency key is missing.
func (s *settings) newArrival(request *protocol.Request) (balancer.Arrival, error) {
	op, known := s.operations[request.Operation]
	if !known {
		return balancer.Arrival{}, fmt.Errorf("%w: unknown operation %.40q", protocol.ErrMalformed, request.Operation)
	}
	if op.RequiresKey && request.IdempotencyKey == "" {
		return balancer.Arrival{}, fmt.Errorf("%w: no Idempotency-Key", protocol.ErrMalformed)
	}
	tenant, known := s.tenants[request.Tenant]
	if !known && len(s.tenants) > 0 {
		return balancer.Arrival{}, fmt.Errorf("%w: unknown tenant %.40q", protocol.ErrMalformed, request.Tenant)
	}
	if request.Timeout == 0 {
		request.Timeout = op.DefaultTimeout
	}
	return balancer.Arrival{
		Operation: op.id,
		Tenant:    tenant,
		Timeout:   balancer.DurationOf(request.Timeout),
		SizeHint:  balancer.Work(balancer.DurationOf(request.SizeHint)),
		Slots:     request.Slots,
	}, nil
}
