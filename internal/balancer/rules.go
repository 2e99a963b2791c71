package balancer

// rule is an action that the balancer triggers itself, at a given time or after a state change.
type rule struct {
	name  string
	due   func(*Balancer) Time // when the rule is due, or never; has no side effects
	apply func(*Balancer)
}

// rules lists the rules by descending priority: a rule is applied only if no rule above it is due.
var rules = [...]rule{
	{"poll endpoints", (*Balancer).pollDueAt, (*Balancer).pollEndpoints},
	{"review open requests", (*Balancer).reviewDueAt, (*Balancer).reviewOpenRequests},
	{"dispatch pending requests", (*Balancer).dispatchDueAt, (*Balancer).dispatchPending},
	{"probe a worker", (*Balancer).probeDueAt, (*Balancer).probeNextWorker},
	{"resend loads to peers", (*Balancer).resendDueAt, (*Balancer).resendLoads},
	{"send changed loads to peers", (*Balancer).sendDueAt, (*Balancer).sendChangedLoads},
}

// RunDueRules applies the due rules until none is left, and requests a wake-up for the time of the next one.
func (b *Balancer) RunDueRules() {
	for {
		due, next := b.firstDueRule()
		if due == nil {
			b.requestWake(next)
			return
		}
		due.apply(b)
	}
}

// firstDueRule returns the due rule of the highest priority. If none is due, it returns nil and the time at which the
// next rule is due.
func (b *Balancer) firstDueRule() (due *rule, next Time) {
	next = never
	for n := range rules {
		at := rules[n].due(b)
		if at <= b.now {
			return &rules[n], at
		}
		next = min(next, at)
	}
	return nil, next
}

// requestWake requests a wake-up at the given time, unless an earlier one is already requested.
func (b *Balancer) requestWake(at Time) {
	if at < b.due.wakeAt {
		b.due.wakeAt = at
		b.effects.Wake(uint64(at), at.Sub(b.now))
	}
}

func (b *Balancer) pollDueAt() Time {
	return dueIf(b.config.pollEndpoints, b.polling.DueAt())
}

func (b *Balancer) reviewDueAt() Time {
	return dueIf(b.requests.openCount > 0, b.due.reviewAt)
}

func (b *Balancer) dispatchDueAt() Time {
	return dueIf(b.due.capacityChanged && !b.polling.EndpointsStale() && len(b.pending.ids) > 0, b.now)
}

func (b *Balancer) probeDueAt() Time {
	return dueIf(b.config.probes && len(b.subsetting.ring) > 0 && b.loadProbes.due(), b.now)
}

func (b *Balancer) resendDueAt() Time {
	return dueIf(b.config.gossip && b.requests.openCount > 0, b.gossip.resendAt)
}

func (b *Balancer) sendDueAt() Time {
	return dueIf(len(b.gossip.changedLoads) > 0, b.gossip.sendLoadsAt)
}

// dueIf returns at if the rule is needed, and never otherwise.
func dueIf(needed bool, at Time) Time {
	if needed {
		return at
	}
	return never
}
