package decide

// Side is one of the other processes of this dispatcher during an upgrade.
type Side uint8

// The values of Side.
const (
	Predecessor Side = iota
	Successor
	sides
)

// Out is what is out here at each worker, but for what a side itself has told of: what that side is to be
// told.
func (f *Facade) Out(to Side) (loads []Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for w, n := range f.d.own {
		if n -= f.twins[to].at(Worker(w)); n > 0 {
			loads = append(loads, Load{Worker(w), n})
		}
	}
	return loads
}

// ReportTwin takes what a side has out, all of it. It counts as ours: the processes are one dispatcher, whose
// peers are told the sum.
func (f *Facade) ReportTwin(from Side, loads []Load) {
	f.with(func(d *Dispatcher) {
		was := f.twins[from]
		f.twins[from] = nil
		for _, l := range loads {
			if int(l.Tgt) < len(d.hash) {
				f.twins[from] = f.twins[from].with(l)
			}
		}
		for w := range d.own {
			if by := f.twins[from].at(Worker(w)) - was.at(Worker(w)); by != 0 {
				d.shift(Worker(w), by)
				d.note(Worker(w))
				d.room = d.room || by < 0
			}
		}
	})
}

// twin is what a side has out, by Worker.
type twin []int

func (t twin) at(w Worker) int {
	if int(w) < len(t) {
		return t[w]
	}
	return 0
}

func (t twin) with(l Load) twin {
	t = append(t, make(twin, max(0, int(l.Tgt)+1-len(t)))...)
	t[l.Tgt] = l.InFlight
	return t
}

// ReportSpent takes what a side has sent to workers since it last told: it counts against what a cold one
// bears.
func (f *Facade) ReportSpent(spent []Spent) {
	f.with(func(d *Dispatcher) {
		for _, s := range spent {
			if int(s.Tgt) < len(d.hash) {
				d.spent[s.Tgt] = append(d.spentSince(s.Tgt), spend{at: d.now, work: s.Work, told: true})
			}
		}
	})
}

// Spent is work that was sent to a worker.
type Spent struct {
	Tgt  Worker
	Work Work
}

// SpentSince is what was sent from here within the span of the cold rule and after a time, by worker.
func (f *Facade) SpentSince(after Time) (spent []Spent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for w, all := range f.d.spent {
		sum := Work(0)
		for _, s := range all {
			if s.at > after && !s.told {
				sum += s.work
			}
		}
		if sum > 0 {
			spent = append(spent, Spent{Worker(w), sum})
		}
	}
	return spent
}

// Now is the facade's time.
func (f *Facade) Now() Time { return f.clock() }

// Out is what is out at all instances.
func (s *Instances) Out(to Side) []Load {
	all := twin{}
	for _, f := range s.each {
		for _, l := range f.Out(to) {
			all = all.with(Load{l.Tgt, all.at(l.Tgt) + l.InFlight})
		}
	}
	var loads []Load
	for w, n := range all {
		if n > 0 {
			loads = append(loads, Load{Worker(w), n})
		}
	}
	return loads
}

// ReportTwin takes what a side has out: the first instance counts it, and tells the others as it tells of its
// own.
func (s *Instances) ReportTwin(from Side, loads []Load) { s.each[0].ReportTwin(from, loads) }

// ReportSpent takes what a side has sent to workers. Each instance counts all of it against what a cold one
// bears.
func (s *Instances) ReportSpent(spent []Spent) {
	for _, f := range s.each {
		f.ReportSpent(spent)
	}
}

// SpentSince is what all instances sent to workers after a time.
func (s *Instances) SpentSince(after Time) (spent []Spent) {
	for _, f := range s.each {
		spent = append(spent, f.SpentSince(after)...)
	}
	return spent
}

// Now is the time by which the decisions go.
func (s *Instances) Now() Time { return s.each[0].Now() }
