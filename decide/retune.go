package decide

import (
	"fmt"
	"slices"
)

// Numbers are those of the operations and customers of new terms, in their order there.
type Numbers struct {
	Operations []Operation
	Customers  []Customer
}

// Retune takes new terms while work is under way, and returns the numbers of their operations and customers. An
// operation whose terms are as they were keeps its number; one with other terms has a new number and goes on
// with what was learnt under its name, so that what landed before keeps the terms that it landed with. A
// customer keeps its number for good, also while no terms name it: what was read by the old ones and lands
// after the new ones is booked where it belongs. Fewer forwards bind at once. What says who and where this
// dispatcher is among the others, and what workers tell, stays as it was at the start.
func (d *Dispatcher) Retune(t Terms) (numbers Numbers) {
	t.Dispatchers, t.Position, t.Peers = d.dispatchers, d.position, d.peers
	fresh := New(t, d.seed, d.link)
	for n := range t.Operations {
		numbers.Operations = append(numbers.Operations, d.generation(fresh.ops[n]))
	}
	for n, name := range fresh.customers {
		numbers.Customers = append(numbers.Customers, d.customer(name, fresh.quota[n]))
	}
	d.coldFrom, d.multiple, d.ramp, d.span = fresh.coldFrom, fresh.multiple, fresh.ramp, fresh.span
	d.unit, d.surplusShare, d.crossing = fresh.unit, fresh.surplusShare, fresh.crossing
	d.perInv, d.worstWeight = fresh.perInv, fresh.worstWeight
	d.margin, d.askWithin, d.spread, d.patience = fresh.margin, fresh.askWithin, fresh.spread, fresh.patience
	d.cancels, d.copies = fresh.cancels, fresh.copies
	d.firstSpread, d.againWithin = fresh.firstSpread, fresh.againWithin
	d.probes, d.keepers = fresh.probes, fresh.keepers
	d.part()
	d.room, d.sweepAt = true, d.now
	was := d.forwardsMost
	d.forwardsMost = fresh.forwardsMost
	for inv := range d.open.latest() {
		i := &d.invs[inv]
		i.beyond = d.forwardsMost - min(was-i.beyond, d.forwardsMost)
		// No forward may be left to it.
		able := func(w Worker) bool { return d.state[w] == Healthy && d.mayForward(i, w) }
		if len(i.forwards) > 0 && i.out == 0 && !slices.ContainsFunc(d.ring, able) {
			d.giveUp(inv)
		}
	}
	d.link.Log(fmt.Sprintf("terms taken anew: %d operations, forwards %d", len(t.Operations), t.ForwardsMost))
	return numbers
}

// customer gives a customer its quota, and a number if it has none yet.
func (d *Dispatcher) customer(name string, quota float64) Customer {
	n := slices.Index(d.customers, name)
	if n < 0 {
		n = len(d.customers)
		d.customers, d.quota = append(d.customers, name), append(d.quota, 0)
		d.used, d.usedAt = append(d.used, 0), append(d.usedAt, 0)
	}
	d.quota[n] = quota
	return Customer(n)
}

// generation finds the number of an operation of its name with the same terms, or gives it one. Numbers are
// not used again: an invocation may be open under an old one, and the same calls give every instance the same
// numbers.
func (d *Dispatcher) generation(o operation) Operation {
	latest := -1
	for n := range d.ops {
		if d.ops[n].name != o.name {
			continue
		}
		if d.ops[n].sameTerms(&o) {
			return Operation(n)
		}
		latest = n
	}
	if latest >= 0 {
		was := &d.ops[latest]
		o.longest, o.mean, o.density, o.asked, o.lost, o.landed = was.longest, was.mean, was.density, was.asked,
			was.lost, was.landed
		o.run, o.runs = was.run, was.runs
	}
	d.ops = append(d.ops, o)
	return Operation(len(d.ops) - 1)
}

func (o *operation) sameTerms(b *operation) bool {
	return o.objective == b.objective && o.window == b.window && o.comeBack == b.comeBack &&
		o.value == b.value && o.slack == b.slack && o.repeat == b.repeat && o.scope == b.scope && o.kind == b.kind
}

// Retune takes new terms.
func (f *Facade) Retune(t Terms) (numbers Numbers) {
	f.with(func(d *Dispatcher) { numbers = d.Retune(t) })
	return numbers
}

// Retune takes new terms at all instances. The terms count processes, as those of the start did.
func (s *Instances) Retune(t Terms) (numbers Numbers) {
	s.numbering.Lock()
	defer s.numbering.Unlock()
	for _, f := range s.each {
		numbers = f.Retune(t)
	}
	return numbers
}
