package balancer

// rule is something that comes due by itself: by time, or as a change makes it so.
type rule struct {
	name  string
	due   func(*Balancer) Time // never while it is not needed; it changes nothing
	apply func(*Balancer)
}

// rules stand in the order of their priority: one is applied only while none above it is due.
var rules = [...]rule{
	{"poll endpoints", (*Balancer).pollDueAt, (*Balancer).pollEndpoints},
	{"review open requests", (*Balancer).reviewDueAt, (*Balancer).reviewOpenRequests},
	{"dispatch pending requests", (*Balancer).dispatchDueAt, (*Balancer).dispatchPending},
	{"probe a worker", (*Balancer).probeDueAt, (*Balancer).probeNextWorker},
	{"resend loads to peers", (*Balancer).resendDueAt, (*Balancer).resendLoads},
	{"send changed loads to peers", (*Balancer).sendDueAt, (*Balancer).sendChangedLoads},
}

// RunDueRules applies all rules that are due, until none is, and requests a wake-up for the one that is due next.
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

// firstDueRule returns the rule of the highest priority that is due now. If there is none it returns nil, and when the
// next one is due.
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

// requestWake requests a wake-up at a moment, unless an earlier one is pending.
func (b *Balancer) requestWake(at Time) {
	if at < b.due.wakeAt {
		b.due.wakeAt = at
		b.effects.Wake(uint64(at), at.Sub(b.now))
	}
}

func (b *Balancer) pollDueAt() Time {
	return when(b.config.pollEndpoints, b.polling.DueAt())
}

func (b *Balancer) reviewDueAt() Time {
	return when(b.requests.openCount > 0, b.due.reviewAt)
}

func (b *Balancer) dispatchDueAt() Time {
	return when(b.due.capacityChanged && !b.polling.EndpointsStale() && len(b.pending.ids) > 0, b.now)
}

func (b *Balancer) probeDueAt() Time {
	return when(b.config.probes && len(b.subsetting.ring) > 0 && b.loadProbes.due(), b.now)
}

func (b *Balancer) resendDueAt() Time {
	return when(b.config.gossip && b.requests.openCount > 0, b.gossip.resendAt)
}

func (b *Balancer) sendDueAt() Time {
	return when(len(b.gossip.changedLoads) > 0, b.gossip.sendLoadsAt)
}

// when returns a moment if something is needed then, else never.
func when(needed bool, at Time) Time {
	if needed {
		return at
	}
	return never
}
