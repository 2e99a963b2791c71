package proxy

import (
	"slices"
	"time"

	"canvasroute/internal/balancer"
)

// settings are what of the terms may change while a router serves. They are replaced whole, never changed: an
// invocation goes by those that were in force as it came.
type settings struct {
	operations   map[string]operation
	customers    map[string]balancer.TenantID
	owners       []string // by their numbers, those of before too
	dialWithin   time.Duration
	comeBackMost time.Duration
}

type operation struct {
	Operation
	number balancer.OperationID
}

// Reconfigure takes new terms, all at once. What is open keeps the settings that it came under; a name that is
// not among the operations any more is unknown to what comes from now on, and its counts are kept. What comes
// meanwhile lands by the old names, whose numbers stay theirs in the decisions.
func (r *Proxy) Reconfigure(t Config, decisions balancer.Config) {
	numbers := r.facade.Reconfigure(decisions)
	if r.beforeTold != nil {
		r.beforeTold()
	}
	r.adjust(t, numbers)
}

func (r *Proxy) adjust(t Config, numbers balancer.AssignedIDs) {
	s := &settings{
		operations: map[string]operation{}, customers: map[string]balancer.TenantID{},
		dialWithin: t.DialTimeout, comeBackMost: t.MaxRetryAfter,
	}
	if was := r.now.Load(); was != nil {
		s.owners = slices.Clone(was.owners)
	}
	for n, o := range t.Operations {
		s.operations[o.Name] = operation{o, numbers.Operations[n]}
		r.tally.name(o.Name)
	}
	for n, name := range t.Tenants {
		number := numbers.Tenants[n]
		s.owners = append(s.owners, make([]string, max(0, int(number)+1-len(s.owners)))...)
		s.owners[number], s.customers[name] = name, number
	}
	r.now.Store(s)
}
