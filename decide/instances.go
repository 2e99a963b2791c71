package decide

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
)

// Instances are the dispatchers of one process: as many instances of the module as it has cores for, each
// behind a facade with a lock of its own. Each one is a dispatcher like any other, with its number among all
// instances of all processes, so that budgets, shares, parts and drains hold over all of them by the rules as
// they are. They tell one another in memory what peers tell by datagram. All processes must have as many.
// With one, this is a facade.
type Instances struct {
	each    []*Facade
	first   Peer // the number of our first one
	outside bool // whether other processes may be told
	turn    atomic.Uint32

	numbering sync.Mutex // operations are numbered at all of them alike
}

// NewInstances makes n of them for a process that the terms describe: Dispatchers and Position count
// processes there. log takes their remarks.
func NewInstances(t Terms, n int, seed uint64, clock func() Time, log func(string)) *Instances {
	s := &Instances{first: Peer(t.Position * n), outside: t.Peers}
	t.Dispatchers, t.Peers = t.Dispatchers*n, t.Peers || n > 1
	for j := range n {
		own := t
		own.Position = t.Position*n + j
		f := NewFacade(own, seed+uint64(j), clock, log)
		if j > 0 { // the list and probes are asked for by the process, whoever wants them
			f.ask, f.probe = s.each[0].ask, s.each[0].probe
		}
		s.each = append(s.each, f)
	}
	return s
}

// Count is how many there are.
func (s *Instances) Count() int { return len(s.each) }

// Number is that of an instance among all of all processes.
func (s *Instances) Number(j int) Peer { return s.first + Peer(j) }

// Land takes an invocation in, each instance in turn. Its holder has to Pick until an answer comes.
func (s *Instances) Land(l Landing) *Ticket {
	return s.next().Land(l)
}

// next is the instance whose turn it is.
func (s *Instances) next() *Facade {
	if len(s.each) == 1 {
		return s.each[0]
	}
	return s.each[s.turn.Add(1)%uint32(len(s.each))]
}

// Tick blocks until ctx ends, and goes through the rules of an instance whenever one comes due by time alone.
func (s *Instances) Tick(ctx context.Context, j int) error { return s.each[j].Tick(ctx) }

// Open is the number of invocations that are not over, or have forwards out.
func (s *Instances) Open() (open int) {
	for _, f := range s.each {
		open += f.Open()
	}
	return open
}

// EndBy tells that no answer is possible after a span from now: this process ends then.
func (s *Instances) EndBy(within Time) {
	for _, f := range s.each {
		f.EndBy(within)
	}
}

// Close ends all forwards that are still out, as this process ends.
func (s *Instances) Close() {
	for _, f := range s.each {
		f.Close()
	}
}

// Late tells whether an invocation that lands now would, by its hint, not be done before this process ends.
func (s *Instances) Late(l Landing) bool { return s.each[0].Late(l) }

// Workers counts those that are listed, and of them those that failures keep work from now at any instance.
func (s *Instances) Workers() (listed, avoided int) {
	for _, f := range s.each {
		n, a := f.Workers()
		listed, avoided = max(listed, n), max(avoided, a)
	}
	return listed, avoided
}

// PickWatch blocks until the list should be asked for.
func (s *Instances) PickWatch(ctx context.Context) error { return s.each[0].PickWatch(ctx) }

// PickProbe blocks until a worker should be probed.
func (s *Instances) PickProbe(ctx context.Context) (Worker, error) { return s.each[0].PickProbe(ctx) }

// PickNews blocks until an instance has something to tell other processes, and meanwhile tells those of this
// one what is for them. The lock of the one that tells is not held then: two may tell each other at once.
func (s *Instances) PickNews(ctx context.Context, j int) ([]News, error) {
	for {
		news, err := s.each[j].PickNews(ctx)
		if err != nil {
			return nil, err
		}
		out := news[:0]
		for _, n := range news {
			here := int(n.To - s.first)
			switch {
			case here >= 0 && here < len(s.each):
				for _, l := range n.Loads {
					s.each[here].ReportPeer(s.Number(j), l)
				}
			case s.outside:
				out = append(out, n)
			}
		}
		if len(out) > 0 {
			return out, nil
		}
	}
}

// ReportList takes a list or changes to it; known is the one that the process starts with.
func (s *Instances) ReportList(entries []Entry, whole, known bool) {
	for _, f := range s.each {
		f.ReportList(entries, whole, known)
	}
}

// ReportListLost tells that the list could not be had, or is no longer followed.
func (s *Instances) ReportListLost(how ListEnd) {
	for _, f := range s.each {
		f.ReportListLost(how)
	}
}

// ReportListSlow tells that the first call for the list has not been answered for a while.
func (s *Instances) ReportListSlow() {
	for _, f := range s.each {
		f.ReportListSlow()
	}
}

// ReportListMoved tells that the list is to be had elsewhere from now on.
func (s *Instances) ReportListMoved() {
	for _, f := range s.each {
		f.ReportListMoved()
	}
}

// ReportPeer takes what an instance of another process tells of a worker: all here hear it.
func (s *Instances) ReportPeer(from Peer, l Load) {
	for _, f := range s.each {
		f.ReportPeer(from, l)
	}
}

// Lonely tells whether all may have lost power, as far as this process can see.
func (s *Instances) Lonely() bool { return s.each[0].Lonely() }

// ReportPeerStarted tells that another process has just started, by its number among the processes.
func (s *Instances) ReportPeerStarted(process int) {
	for _, f := range s.each {
		for j := range s.each {
			f.ReportPeerStarted(Peer(process*len(s.each) + j))
		}
	}
}

// Neighbours are the other processes with which this one tells of workers, by number, in order; all of them
// while no list is known.
func (s *Instances) Neighbours() (processes []int) {
	for _, f := range s.each {
		for _, p := range f.neighbours() {
			if n := int(p) / len(s.each); n != int(s.first)/len(s.each) {
				processes = append(processes, n)
			}
		}
	}
	slices.Sort(processes)
	return slices.Compact(processes)
}

// ReportLoad takes a worker's load report.
func (s *Instances) ReportLoad(w Worker, values []float64) {
	for _, f := range s.each {
		f.ReportLoad(w, values)
	}
}
