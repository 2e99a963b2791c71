package decide

import "slices"

// What the part that brings a dispatcher back after its end tells the decisions, and asks of them.

// doubted tells whether a worker may have started since the list told of it, though nothing was seen of that. It
// is so where all lost power, until a list has been followed for as long as it may keep silent; and where this
// dispatcher goes by a list from before its start, cannot get another one, and meets nobody who has lived longer.
// A start told since ends it; work done at a pace that no cold worker has ends it for
// what is no larger than some such pieces: hints are rough, and the largest would all go to the first that seems warm.
func (d *Dispatcher) doubted(w Worker, size Work) bool {
	if d.ramp == 0 || float64(size) <= d.multiple*float64(d.proved[w]) {
		return false
	}
	if d.alike > 0 && d.born[w] < d.alike && (!d.subscribed || d.now < d.followed+d.askWithin) {
		return true
	}
	return !d.answered && d.asks > 0 && !slices.Contains(d.elder, true)
}

// sureWarmth is the share of its capacity that a worker has by its age, and no more than that of one that has just
// started where it is in doubt for work of a size.
func (d *Dispatcher) sureWarmth(w Worker, size Work) float64 {
	if d.doubted(w, size) {
		return min(d.warmth(w), d.coldFrom)
	}
	return d.warmth(w)
}

// prove takes a piece of work that succeeded for what it says of its worker's warmth, and of its operation's runs.
func (d *Dispatcher) prove(w Worker, i *invocation, took Time) {
	if float64(i.size) >= warmPace*float64(took) {
		d.proved[w] = max(d.proved[w], i.size)
	}
	d.ops[i.op].learnRun(took)
}

// Alike tells that all dispatchers lost power, workers perhaps too, and that this one is back since a time.
func (f *Facade) Alike(since Time) { f.with(func(d *Dispatcher) { d.alike = since }) }

// Elder tells that a peer has lived longer than this dispatcher.
func (f *Facade) Elder(from Peer) { f.with(func(d *Dispatcher) { d.meet(from, false) }) }

// HoldCold keeps work from workers that are cold by a start before a time, for as long as what an earlier life of
// this dispatcher has sent them counts.
func (f *Facade) HoldCold(before Time) {
	f.with(func(d *Dispatcher) {
		for w, born := range d.born {
			if born > 0 && born < before && d.warmth(Worker(w)) < 1 {
				d.openAt[w] = max(d.openAt[w], before+d.span)
				d.sweepAt = min(d.sweepAt, d.openAt[w])
			}
		}
	})
}

// Teach takes what others have seen a kind of worker bear, where nothing was learnt of it here.
func (f *Facade) Teach(k Kind, most float64) {
	f.with(func(d *Dispatcher) {
		if int(k) < len(d.most) && d.most[k] <= 1 && most > 1 {
			d.most[k] = most
			d.believe(k, most)
		}
	})
}

// Bears is the most forwards at work at once that were seen at a worker of each kind.
func (f *Facade) Bears() []float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.d.most)
}

// Capacity is what the workers that take work bear at once, in all: how many there are, what they bear when they
// are warm, and what they do now by their warmth.
func (f *Facade) Capacity() (workers int, bears, now float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.d
	d.Clock(f.clock())
	for _, w := range d.ring {
		if d.state[w] != Healthy || d.fails[w] > 0 && d.now < d.trialAt[w] {
			continue
		}
		warmth, most := d.sureWarmth(w, d.median), d.most[d.kind[w]]
		workers, bears, now = workers+1, bears+most, now+warmth*most
	}
	return workers, bears, now
}

// Usual is the size that is taken for an invocation without a hint.
func (f *Facade) Usual() Work {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.d.median
}

// Past is where and when an invocation under the same key may have run before this one landed.
type Past struct {
	Tgt  Worker // or another one of its dedup group
	Sent Time
}

// LandAfter takes in an invocation that may have run before: it goes where that one's dedup group is, or is given
// up at once.
func (f *Facade) LandAfter(l Landing, past Past) *Ticket {
	t := f.land(l, func(d *Dispatcher, t *Ticket) {
		i := &d.invs[t.inv]
		i.forwards = append(i.forwards, forward{tgt: past.Tgt, sent: past.Sent, ran: true})
		i.beyond--
		t.begin(t.until)
		t.reported[0] = true
		t.out--
		t.cancels[0](nil)
		able := func(w Worker) bool { return d.state[w] == Healthy && d.mayForward(i, w) }
		if !slices.ContainsFunc(d.ring, able) {
			d.giveUp(t.inv)
		}
	})
	return t
}

// Withdraw gives an invocation up at once: throttled where that is permitted, else errored.
func (t *Ticket) Withdraw() {
	t.f.with(func(d *Dispatcher) {
		if !t.over {
			d.giveUp(t.inv)
		}
	})
}

// The same for all instances of a process.

// Alike tells all instances.
func (s *Instances) Alike(since Time) {
	for _, f := range s.each {
		f.Alike(since)
	}
}

// Elder tells that another process has lived longer, by its number.
func (s *Instances) Elder(process int) {
	for _, f := range s.each {
		for j := range s.each {
			f.Elder(Peer(process*len(s.each) + j))
		}
	}
}

// HoldCold tells all instances.
func (s *Instances) HoldCold(before Time) {
	for _, f := range s.each {
		f.HoldCold(before)
	}
}

// Teach tells all instances.
func (s *Instances) Teach(k Kind, most float64) {
	for _, f := range s.each {
		f.Teach(k, most)
	}
}

// Bears calls Facade.Bears on the first instance.
func (s *Instances) Bears() []float64 { return s.each[0].Bears() }

// Capacity calls Facade.Capacity on the first instance.
func (s *Instances) Capacity() (workers int, bears, now float64) { return s.each[0].Capacity() }

// Usual calls Facade.Usual on the first instance.
func (s *Instances) Usual() Work { return s.each[0].Usual() }

// LandAfter calls Facade.LandAfter on the instance whose turn it is.
func (s *Instances) LandAfter(l Landing, past Past) *Ticket { return s.next().LandAfter(l, past) }
