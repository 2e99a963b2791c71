package balancer

// SiblingRole is one of the other processes of this dispatcher during an upgrade.
type SiblingRole uint8

// The values of Side.
const (
	Predecessor SiblingRole = iota
	Successor
	siblingRoles
)

// InFlightFor is what is out here at each worker, but for what a side itself has told of: what that side is to be
// told.
func (f *Picker) InFlightFor(to SiblingRole) (loads []Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for w := range f.balancer.workers {
		n := f.balancer.workers[w].inFlight
		if n -= f.siblings[to].of(WorkerID(w)); n > 0 {
			loads = append(loads, Load{WorkerID(w), n})
		}
	}
	return loads
}

// UpdateSibling takes what a side has out, all of it. It counts as ours: the processes are one dispatcher, whose
// peers are told the sum.
func (f *Picker) UpdateSibling(from SiblingRole, loads []Load) {
	f.update(func(d *Balancer) {
		was := f.siblings[from]
		f.siblings[from] = nil
		for _, l := range loads {
			if int(l.Worker) < len(d.workers) {
				f.siblings[from] = f.siblings[from].with(l)
			}
		}
		for w := range d.workers {
			if by := f.siblings[from].of(WorkerID(w)) - was.of(WorkerID(w)); by != 0 {
				d.addInFlight(WorkerID(w), by)
				d.markLoadChanged(WorkerID(w))
				d.due.capacityChanged = d.due.capacityChanged || by < 0
			}
		}
	})
}

// inFlightByWorker is what a side has out, by WorkerID.
type inFlightByWorker []int

func (t inFlightByWorker) of(w WorkerID) int {
	if int(w) < len(t) {
		return t[w]
	}
	return 0
}

func (t inFlightByWorker) with(l Load) inFlightByWorker {
	t = append(t, make(inFlightByWorker, max(0, int(l.Worker)+1-len(t)))...)
	t[l.Worker] = l.InFlight
	return t
}

// AddRecentSends takes what a side has sent to workers since it last told: it counts against what a cold one
// bears.
func (f *Picker) AddRecentSends(spent []RecentSend) {
	f.update(func(d *Balancer) {
		for _, s := range spent {
			if int(s.Worker) < len(d.workers) {
				d.workers[s.Worker].sends = append(d.recentSends(s.Worker), send{sentAt: d.now, work: s.Work, bySibling: true})
			}
		}
	})
}

// RecentSend is work that was sent to a worker.
type RecentSend struct {
	Worker WorkerID
	Work   Work
}

// RecentSendsSince is what was sent from here within the span of the cold rule and after a time, by worker.
func (f *Picker) RecentSendsSince(after Time) (spent []RecentSend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for w := range f.balancer.workers {
		sum := Work(0)
		for _, s := range f.balancer.workers[w].sends {
			if s.sentAt > after && !s.bySibling {
				sum += s.work
			}
		}
		if sum > 0 {
			spent = append(spent, RecentSend{WorkerID(w), sum})
		}
	}
	return spent
}

// Now is the facade's time.
func (f *Picker) Now() Time { return f.clock() }

// InFlightFor is what is out at all instances.
func (s *Shards) InFlightFor(to SiblingRole) []Load {
	all := inFlightByWorker{}
	for _, f := range s.pickers {
		for _, l := range f.InFlightFor(to) {
			all = all.with(Load{l.Worker, all.of(l.Worker) + l.InFlight})
		}
	}
	var loads []Load
	for w, n := range all {
		if n > 0 {
			loads = append(loads, Load{WorkerID(w), n})
		}
	}
	return loads
}

// UpdateSibling takes what a side has out: the first instance counts it, and tells the others as it tells of its
// own.
func (s *Shards) UpdateSibling(from SiblingRole, loads []Load) {
	s.pickers[0].UpdateSibling(from, loads)
}

// AddRecentSends takes what a side has sent to workers. Each instance counts all of it against what a cold one
// bears.
func (s *Shards) AddRecentSends(spent []RecentSend) {
	for _, f := range s.pickers {
		f.AddRecentSends(spent)
	}
}

// RecentSendsSince is what all instances sent to workers after a time.
func (s *Shards) RecentSendsSince(after Time) (spent []RecentSend) {
	for _, f := range s.pickers {
		spent = append(spent, f.RecentSendsSince(after)...)
	}
	return spent
}

// Now is the time by which the decisions go.
func (s *Shards) Now() Time { return s.pickers[0].Now() }
