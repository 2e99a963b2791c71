package balancer

// SiblingRole is the role of another process of this dispatcher during a hot restart.
type SiblingRole uint8

// The roles of a sibling.
const (
	Predecessor SiblingRole = iota
	Successor
	SiblingRoles // number of roles
)

// RecentSend is the amount of work that was sent to a worker.
type RecentSend struct {
	Worker WorkerID
	Work   Work
}

// inFlightByWorker holds numbers of attempts in flight by WorkerID.
type inFlightByWorker []int

func (f inFlightByWorker) get(id WorkerID) int {
	if int(id) < len(f) {
		return f[id]
	}
	return 0
}

// add returns f with the attempts in load added.
func (f inFlightByWorker) add(load WorkerLoad) inFlightByWorker {
	f = append(f, make(inFlightByWorker, max(0, int(load.Worker)+1-len(f)))...)
	f[load.Worker] += load.InFlight
	return f
}

// set returns f with the number of attempts at a worker set to that in load.
func (f inFlightByWorker) set(load WorkerLoad) inFlightByWorker {
	return f.add(WorkerLoad{Worker: load.Worker, InFlight: load.InFlight - f.get(load.Worker)})
}

// loads returns the loads of workers with attempts in flight.
func (f inFlightByWorker) loads() (loads []WorkerLoad) {
	for id, inFlight := range f {
		if inFlight > 0 {
			loads = append(loads, WorkerLoad{Worker: WorkerID(id), InFlight: inFlight})
		}
	}
	return loads
}

// LoadsForSibling returns the loads to send to a sibling: the attempts in flight at each worker, except those that this
// sibling reported itself.
func (p *Picker) LoadsForSibling(to SiblingRole) []WorkerLoad {
	var inFlight inFlightByWorker
	p.read(func(b *Balancer) {
		for n := range b.workers {
			inFlight = append(inFlight, b.workers[n].inFlight-p.siblingInFlight[to].get(WorkerID(n)))
		}
	})
	return inFlight.loads()
}

// UpdateSibling records all attempts that a sibling has in flight. They count as attempts of this process: both
// processes are one dispatcher, and its peers are sent the sum.
func (p *Picker) UpdateSibling(from SiblingRole, loads []WorkerLoad) {
	p.update(func(b *Balancer) {
		previous := p.siblingInFlight[from]
		var current inFlightByWorker
		for _, load := range loads {
			if int(load.Worker) < len(b.workers) {
				current = current.set(load)
			}
		}
		p.siblingInFlight[from] = current
		for n := range b.workers {
			id := WorkerID(n)
			if change := current.get(id) - previous.get(id); change != 0 {
				b.addInFlight(id, change)
				b.markLoadChanged(id)
				b.due.capacityChanged = b.due.capacityChanged || change < 0
			}
		}
	})
}

// addRecentSends records the work that a sibling has sent to workers since its last report. It counts against their
// warm-up budgets.
func (b *Balancer) addRecentSends(sends []RecentSend) {
	for _, sent := range sends {
		if int(sent.Worker) < len(b.workers) {
			siblingSend := send{sentAt: b.now, work: sent.Work, bySibling: true}
			b.workers[sent.Worker].warmup.recordSend(siblingSend, b.warmupWindowStart())
		}
	}
}

// recentSendsSince returns the work that this process has sent since the given time and within the warm-up window, by
// worker.
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

// LoadsForSibling returns the loads to send to a sibling: the attempts in flight at each worker from all shards, except
// those that this sibling reported itself.
func (s *Shards) LoadsForSibling(to SiblingRole) []WorkerLoad {
	var sum inFlightByWorker
	for _, picker := range s.pickers {
		for _, load := range picker.LoadsForSibling(to) {
			sum = sum.add(load)
		}
	}
	return sum.loads()
}

// UpdateSibling records all attempts that a sibling has in flight. The first shard counts them, and sends them to the
// other shards as part of its own load.
func (s *Shards) UpdateSibling(from SiblingRole, loads []WorkerLoad) {
	s.firstPicker().UpdateSibling(from, loads)
}

// AddRecentSends records the work that a sibling has sent to workers. Each shard counts all of it against their warm-up
// budgets.
func (s *Shards) AddRecentSends(sends []RecentSend) {
	s.updateAll(func(b *Balancer) { b.addRecentSends(sends) })
}

// RecentSendsSince returns the work that all shards have sent to workers since the given time and within the warm-up
// window.
func (s *Shards) RecentSendsSince(after Time) (sends []RecentSend) {
	for _, picker := range s.pickers {
		picker.read(func(b *Balancer) { sends = append(sends, b.recentSendsSince(after)...) })
	}
	return sends
}
