package balancer

import "slices"

// What the part that brings a dispatcher back after its end tells the decisions, and asks of them.

// restartSuspected tells whether a worker may have started since the list told of it, though nothing was seen of that. It
// is so where all lost power, until a list has been followed for as long as it may keep silent; and where this
// dispatcher goes by a list from before its start, cannot get another one, and meets nobody who has lived longer.
// A start told since ends it; work done at a pace that no cold worker has ends it for
// what is no larger than some such pieces: hints are rough, and the largest would all go to the first that seems warm.
func (d *Balancer) restartSuspected(w WorkerID, size Work) bool {
	if d.config.warmupDuration == 0 || float64(size) <= d.config.overloadFactor*float64(d.workers[w].verifiedSize) {
		return false
	}
	if d.warmup.fleetRestartAt > 0 && d.workers[w].startedAt < d.warmup.fleetRestartAt && (!d.discovery.watching || d.now < d.discovery.watchingSince+d.config.maxPollInterval) {
		return true
	}
	return !d.discovery.answered && d.discovery.failedPolls > 0 && !slices.Contains(d.gossip.seniorPeers, true)
}

// confirmedWarmup is the share of its capacity that a worker has by its age, and no more than that of one that has just
// started where it is in doubt for work of a size.
func (d *Balancer) confirmedWarmup(w WorkerID, size Work) float64 {
	if d.restartSuspected(w, size) {
		return min(d.warmupFactor(w), d.config.initialWarmup)
	}
	return d.warmupFactor(w)
}

// observeSuccess takes a piece of work that succeeded for what it says of its worker's warmth, and of its operation's runs.
func (d *Balancer) observeSuccess(w WorkerID, i *request, took Time) {
	if float64(i.size) >= verifiedPace*float64(took) {
		d.workers[w].verifiedSize = max(d.workers[w].verifiedSize, i.size)
	}
	d.operations.byID[i.operation].observeRun(took)
}

// ReportFleetRestart tells that all dispatchers lost power, workers perhaps too, and that this one is back since a time.
func (f *Picker) ReportFleetRestart(since Time) {
	f.update(func(d *Balancer) { d.warmup.fleetRestartAt = since })
}

// ReportSeniorPeer tells that a peer has lived longer than this dispatcher.
func (f *Picker) ReportSeniorPeer(from PeerID) {
	f.update(func(d *Balancer) { d.recordPeerAge(from, false) })
}

// DelayWarmingWorkers keeps work from workers that are cold by a start before a time, for as long as what an earlier life of
// this dispatcher has sent them counts.
func (f *Picker) DelayWarmingWorkers(before Time) {
	f.update(func(d *Balancer) {
		for w := range d.workers {
			born := d.workers[w].startedAt
			if born > 0 && born < before && d.warmupFactor(WorkerID(w)) < 1 {
				d.workers[w].notBefore = max(d.workers[w].notBefore, before+d.config.warmupWindow)
				d.due.reviewAt = min(d.due.reviewAt, d.workers[w].notBefore)
			}
		}
	})
}

// SeedMaxObserved takes what others have seen a kind of worker bear, where nothing was learnt of it here.
func (f *Picker) SeedMaxObserved(k KindID, most float64) {
	f.update(func(d *Balancer) {
		if int(k) < len(d.slots.kinds) && d.slots.kinds[k].maxObserved <= 1 && most > 1 {
			d.slots.kinds[k].maxObserved = most
			d.setSlots(k, most)
		}
	})
}

// MaxObserved is the most forwards at work at once that were seen at a worker of each kind.
func (f *Picker) MaxObserved() []float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var most []float64
	for _, k := range f.balancer.slots.kinds {
		most = append(most, k.maxObserved)
	}
	return most
}

// Capacity is what the workers that take work bear at once, in all: how many there are, what they bear when they
// are warm, and what they do now by their warmth.
func (f *Picker) Capacity() (workers int, bears, now float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.balancer
	d.SetTime(f.clock())
	for _, w := range d.subsetting.ring {
		if d.workers[w].state != Healthy || d.workers[w].consecutiveFailures > 0 && d.now < d.workers[w].probeAfter {
			continue
		}
		warmth, most := d.confirmedWarmup(w, d.sizes.median), d.slots.kinds[d.workers[w].kind].maxObserved
		workers, bears, now = workers+1, bears+most, now+warmth*most
	}
	return workers, bears, now
}

// MedianSize is the size that is taken for an invocation without a hint.
func (f *Picker) MedianSize() Work {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.sizes.median
}

// PriorAttempt is where and when an invocation under the same key may have run before this one landed.
type PriorAttempt struct {
	Worker WorkerID // or another one of its dedup group
	SentAt Time
}

// SubmitAfter takes in an invocation that may have run before: it goes where that one's dedup group is, or is given
// up at once.
func (f *Picker) SubmitAfter(l Arrival, past PriorAttempt) *RequestHandle {
	t := f.submit(l, func(d *Balancer, t *RequestHandle) {
		i := &d.requests.byID[t.id]
		i.attempts = append(i.attempts, attempt{worker: past.Worker, sentAt: past.SentAt, mayHaveRun: true})
		i.spentElsewhere--
		t.beginAttempt(t.deadline)
		t.reported[0] = true
		t.inFlight--
		t.cancels[0](nil)
		able := func(w WorkerID) bool { return d.workers[w].state == Healthy && d.mayAttempt(i, w) }
		if !slices.ContainsFunc(d.subsetting.ring, able) {
			d.rejectOrFail(t.id)
		}
	})
	return t
}

// RejectOrFail gives an invocation up at once: throttled where that is permitted, else errored.
func (t *RequestHandle) RejectOrFail() {
	t.picker.update(func(d *Balancer) {
		if !t.closed {
			d.rejectOrFail(t.id)
		}
	})
}

// The same for all instances of a process.

// ReportFleetRestart tells all instances.
func (s *Shards) ReportFleetRestart(since Time) {
	for _, f := range s.pickers {
		f.ReportFleetRestart(since)
	}
}

// ReportSeniorPeer tells that another process has lived longer, by its number.
func (s *Shards) ReportSeniorPeer(process int) {
	for _, f := range s.pickers {
		for j := range s.pickers {
			f.ReportSeniorPeer(PeerID(process*len(s.pickers) + j))
		}
	}
}

// DelayWarmingWorkers tells all instances.
func (s *Shards) DelayWarmingWorkers(before Time) {
	for _, f := range s.pickers {
		f.DelayWarmingWorkers(before)
	}
}

// SeedMaxObserved tells all instances.
func (s *Shards) SeedMaxObserved(k KindID, most float64) {
	for _, f := range s.pickers {
		f.SeedMaxObserved(k, most)
	}
}

// MaxObserved calls Picker.Bears on the first instance.
func (s *Shards) MaxObserved() []float64 { return s.pickers[0].MaxObserved() }

// Capacity calls Picker.Capacity on the first instance.
func (s *Shards) Capacity() (workers int, bears, now float64) { return s.pickers[0].Capacity() }

// MedianSize calls Picker.Usual on the first instance.
func (s *Shards) MedianSize() Work { return s.pickers[0].MedianSize() }

// SubmitAfter calls Picker.SubmitAfter on the instance whose turn it is.
func (s *Shards) SubmitAfter(l Arrival, past PriorAttempt) *RequestHandle {
	return s.next().SubmitAfter(l, past)
}
