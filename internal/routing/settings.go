package routing

import (
	"time"

	"canvasroute/decide"
)

// settings are what of the terms may change while a router serves. They are replaced whole, never changed: an
// invocation goes by those that were in force as it came.
type settings struct {
	operations   map[string]operation
	customers    map[string]decide.Customer
	owners       []string
	dialWithin   time.Duration
	comeBackMost time.Duration
}

type operation struct {
	Operation
	number decide.Operation
}

// Retune takes new terms, all at once. What is open keeps the operation that it landed with; a name that is
// not among the operations any more is unknown to what comes from now on, and its counts are kept.
func (r *Router) Retune(t Terms, decisions decide.Terms) { r.adjust(t, r.facade.Retune(decisions)) }

func (r *Router) adjust(t Terms, numbers []decide.Operation) {
	s := &settings{operations: map[string]operation{}, customers: map[string]decide.Customer{}, owners: t.Owners,
		dialWithin: t.DialWithin, comeBackMost: t.ComeBackMost}
	for n, o := range t.Operations {
		s.operations[o.Name] = operation{o, numbers[n]}
		r.tally.name(o.Name)
	}
	for n, name := range t.Owners {
		s.customers[name] = decide.Customer(n)
	}
	r.now.Store(s)
}
