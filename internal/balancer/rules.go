package balancer

// rule is something that comes due by itself: by time, or as a change makes it so.
type rule struct {
	name  string
	due   func(*Balancer) Time // never while it is not needed
	apply func(*Balancer)
}

// rules are gone through from the top after every input, until none is due; so their order is their priority.
var rules = [...]rule{
	{"poll endpoints", (*Balancer).pollDueAt, (*Balancer).pollEndpoints},
	{"review open requests", (*Balancer).reviewDueAt, (*Balancer).reviewOpenRequests},
	{"dispatch pending requests", (*Balancer).dispatchDueAt, (*Balancer).dispatchPending},
	{"probe a worker", (*Balancer).probeDueAt, (*Balancer).probeNextWorker},
	{"resend loads to peers", (*Balancer).resendDueAt, (*Balancer).resendLoads},
	{"send changed loads to peers", (*Balancer).sendDueAt, (*Balancer).sendChangedLoads},
}

func (b *Balancer) pollDueAt() Time {
	return when(b.config.pollEndpoints && !b.discovery.watching, b.discovery.nextPoll)
}

func (b *Balancer) reviewDueAt() Time {
	return when(b.requests.openCount > 0, b.due.reviewAt)
}

func (b *Balancer) dispatchDueAt() Time {
	return when(b.due.capacityChanged && !b.discovery.endpointsStale && len(b.pending.ids) > 0, b.now)
}

func (b *Balancer) probeDueAt() Time {
	return when(b.config.probes && len(b.subsetting.ring) > 0 && b.loadProbes.arrivals >= b.loadProbes.nextAt, b.now)
}

func (b *Balancer) resendDueAt() Time {
	return when(b.config.gossip && b.requests.openCount > 0, b.gossip.resendAt)
}

func (b *Balancer) sendDueAt() Time {
	return when(len(b.gossip.changedLoads) > 0, b.gossip.sendLoadsAt)
}

func when(needed bool, at Time) Time {
	if needed {
		return at
	}
	return never
}

// RunDueRules applies all rules that are due, until none is, and requests a wake-up for the one that is due next.
func (b *Balancer) RunDueRules() {
	next := never
	for n := 0; n < len(rules); n++ {
		at := rules[n].due(b)
		next = min(next, at)
		if at <= b.now {
			rules[n].apply(b)
			next = never
			n = -1 // from the top
		}
	}
	if next < b.due.wakeAt {
		b.due.wakeAt = next
		b.effects.Wake(uint64(next), next.Sub(b.now))
	}
}
