package balancer

// SiblingRole is the role of another process of this dispatcher during a hot restart.
type SiblingRole uint8

// The roles of a sibling.
const (
	Predecessor SiblingRole = iota
	Successor
	siblingRoles
)

// RecentSend is work that was sent to a worker.
type RecentSend struct {
	Worker WorkerID
	Work   Work
}

// inFlightByWorker is the number of attempts that a sibling has in flight, by WorkerID.
type inFlightByWorker []int

func (f inFlightByWorker) of(id WorkerID) int {
	if int(id) < len(f) {
		return f[id]
	}
	return 0
}

// add returns f with more in flight at a worker.
func (f inFlightByWorker) add(load WorkerLoad) inFlightByWorker {
	f = append(f, make(inFlightByWorker, max(0, int(load.Worker)+1-len(f)))...)
	f[load.Worker] += load.InFlight
	return f
}

// set returns f with what is in flight at a worker.
func (f inFlightByWorker) set(load WorkerLoad) inFlightByWorker {
	return f.add(WorkerLoad{Worker: load.Worker, InFlight: load.InFlight - f.of(load.Worker)})
}

// loads returns the workers with something in flight.
func (f inFlightByWorker) loads() (loads []WorkerLoad) {
	for id, inFlight := range f {
		if inFlight > 0 {
			loads = append(loads, WorkerLoad{Worker: WorkerID(id), InFlight: inFlight})
		}
	}
	return loads
}

// InFlightFor returns what a sibling has to be sent: what is in flight here at each worker, without what that sibling
// itself reported.
func (p *Picker) InFlightFor(to SiblingRole) []WorkerLoad {
	var inFlight inFlightByWorker
	p.read(func(b *Balancer) {
		for n := range b.workers {
			inFlight = append(inFlight, b.workers[n].inFlight-p.siblings[to].of(WorkerID(n)))
		}
	})
	return inFlight.loads()
}

// UpdateSibling takes all that a sibling has in flight. It counts as in flight here: the processes are one dispatcher,
// whose peers are sent the sum.
func (p *Picker) UpdateSibling(from SiblingRole, loads []WorkerLoad) {
	p.update(func(b *Balancer) {
		before := p.siblings[from]
		var now inFlightByWorker
		for _, load := range loads {
			if int(load.Worker) < len(b.workers) {
				now = now.set(load)
			}
		}
		p.siblings[from] = now
		for n := range b.workers {
			id := WorkerID(n)
			if change := now.of(id) - before.of(id); change != 0 {
				b.addInFlight(id, change)
				b.markLoadChanged(id)
				b.due.capacityChanged = b.due.capacityChanged || change < 0
			}
		}
	})
}

// addRecentSends takes what a sibling has sent to workers since its last report. It counts against their warm-up budget.
func (b *Balancer) addRecentSends(sends []RecentSend) {
	for _, sent := range sends {
		if int(sent.Worker) < len(b.workers) {
			made := send{sentAt: b.now, work: sent.Work, bySibling: true}
			b.workers[sent.Worker].warmup.recordSend(made, b.warmupWindowStart())
		}
	}
}

// recentSendsSince returns what was sent from here within the warm-up window and after a moment, by worker.
func (b *Balancer) recentSendsSince(after Time) (sends []RecentSend) {
	for n := range b.workers {
		sum := Work(0)
		for _, sent := range b.workers[n].warmup.sends {
			if sent.sentAt > after && !sent.bySibling {
				sum += sent.work
			}
		}
		if sum > 0 {
			sends = append(sends, RecentSend{Worker: WorkerID(n), Work: sum})
		}
	}
	return sends
}

// InFlightFor returns what a sibling has to be sent: what is in flight at all shards here, without what that sibling
// itself reported.
func (s *Shards) InFlightFor(to SiblingRole) []WorkerLoad {
	var sum inFlightByWorker
	for _, picker := range s.pickers {
		for _, load := range picker.InFlightFor(to) {
			sum = sum.add(load)
		}
	}
	return sum.loads()
}

// UpdateSibling takes all that a sibling has in flight. The first shard counts it, and sends it to the others with its
// own load.
func (s *Shards) UpdateSibling(from SiblingRole, loads []WorkerLoad) {
	s.first().UpdateSibling(from, loads)
}

// AddRecentSends takes what a sibling has sent to workers. Each shard counts all of it against their warm-up budget.
func (s *Shards) AddRecentSends(sends []RecentSend) {
	s.updateAll(func(b *Balancer) { b.addRecentSends(sends) })
}

// RecentSendsSince returns what all shards sent to workers within the warm-up window and after a moment.
func (s *Shards) RecentSendsSince(after Time) (sends []RecentSend) {
	for _, picker := range s.pickers {
		picker.read(func(b *Balancer) { sends = append(sends, b.recentSendsSince(after)...) })
	}
	return sends
}
