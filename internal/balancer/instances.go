package balancer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
)

// Shards are the dispatchers of one process: as many instances of the module as it has cores for, each
// behind a facade with a lock of its own. Each one is a dispatcher like any other, with its number among all
// instances of all processes, so that budgets, shares, parts and drains hold over all of them by the rules as
// they are. They tell one another in memory what peers tell by datagram. All processes must have as many.
// With one, this is a facade.
type Shards struct {
	pickers    []*Picker
	firstPeer  PeerID // the number of our first one
	gossip     bool   // whether other processes may be told
	roundRobin atomic.Uint32

	reconfiguring sync.Mutex // operations are numbered at all of them alike
}

// NewShards makes n of them for a process that the terms describe: Dispatchers and Position count
// processes there. log takes their remarks.
func NewShards(t Config, n int, seed uint64, clock func() Time, log func(string)) *Shards {
	s := &Shards{firstPeer: PeerID(t.Position * n), gossip: t.Gossip}
	t.Dispatchers, t.Gossip = t.Dispatchers*n, t.Gossip || n > 1
	for j := range n {
		own := t
		own.Position = t.Position*n + j
		f := NewPicker(own, seed+uint64(j), clock, log)
		if j > 0 { // the list and probes are asked for by the process, whoever wants them
			f.pollDue, f.probes = s.pickers[0].pollDue, s.pickers[0].probes
		}
		s.pickers = append(s.pickers, f)
	}
	return s
}

// Count is how many there are.
func (s *Shards) Count() int { return len(s.pickers) }

// PeerID is that of an instance among all of all processes.
func (s *Shards) PeerID(j int) PeerID { return s.firstPeer + PeerID(j) }

// Submit takes an invocation in, each instance in turn. Its holder has to Pick until an answer comes.
func (s *Shards) Submit(l Arrival) *RequestHandle {
	return s.next().Submit(l)
}

// next is the instance whose turn it is.
func (s *Shards) next() *Picker {
	if len(s.pickers) == 1 {
		return s.pickers[0]
	}
	return s.pickers[s.roundRobin.Add(1)%uint32(len(s.pickers))]
}

// Run blocks until ctx ends, and goes through the rules of an instance whenever one comes due by time alone.
func (s *Shards) Run(ctx context.Context, j int) error { return s.pickers[j].Run(ctx) }

// OpenRequests is the number of invocations that are not over, or have forwards out.
func (s *Shards) OpenRequests() (open int) {
	for _, f := range s.pickers {
		open += f.OpenRequests()
	}
	return open
}

// StopAfter tells that no answer is possible after a span from now: this process ends then.
func (s *Shards) StopAfter(within Time) {
	for _, f := range s.pickers {
		f.StopAfter(within)
	}
}

// CancelAll ends all forwards that are still out, as this process ends.
func (s *Shards) CancelAll() {
	for _, f := range s.pickers {
		f.CancelAll()
	}
}

// MissesStop tells whether an invocation that lands now would, by its hint, not be done before this process ends.
func (s *Shards) MissesStop(l Arrival) bool { return s.pickers[0].MissesStop(l) }

// WorkerCounts counts those that are listed, and of them those that failures keep work from now at any instance.
func (s *Shards) WorkerCounts() (listed, avoided int) {
	for _, f := range s.pickers {
		n, a := f.WorkerCounts()
		listed, avoided = max(listed, n), max(avoided, a)
	}
	return listed, avoided
}

// AwaitPoll blocks until the list should be asked for.
func (s *Shards) AwaitPoll(ctx context.Context) error { return s.pickers[0].AwaitPoll(ctx) }

// NextProbe blocks until a worker should be probed.
func (s *Shards) NextProbe(ctx context.Context) (WorkerID, error) { return s.pickers[0].NextProbe(ctx) }

// NextLoadUpdates blocks until an instance has something to tell other processes, and meanwhile tells those of this
// one what is for them. The lock of the one that tells is not held then: two may tell each other at once.
func (s *Shards) NextLoadUpdates(ctx context.Context, j int) ([]LoadUpdate, error) {
	for {
		news, err := s.pickers[j].NextLoadUpdates(ctx)
		if err != nil {
			return nil, err
		}
		out := news[:0]
		for _, n := range news {
			here := int(n.To - s.firstPeer)
			switch {
			case here >= 0 && here < len(s.pickers):
				for _, l := range n.Loads {
					s.pickers[here].ReceiveLoad(s.PeerID(j), l)
				}
			case s.gossip:
				out = append(out, n)
			}
		}
		if len(out) > 0 {
			return out, nil
		}
	}
}

// UpdateEndpoints takes a list or changes to it; known is the one that the process starts with.
func (s *Shards) UpdateEndpoints(entries []Endpoint, whole, known bool) {
	for _, f := range s.pickers {
		f.UpdateEndpoints(entries, whole, known)
	}
}

// ReportWatchEnded tells that the list could not be had, or is no longer followed.
func (s *Shards) ReportWatchEnded(how WatchEnd) {
	for _, f := range s.pickers {
		f.ReportWatchEnded(how)
	}
}

// ReportFirstPollSlow tells that the first call for the list has not been answered for a while.
func (s *Shards) ReportFirstPollSlow() {
	for _, f := range s.pickers {
		f.ReportFirstPollSlow()
	}
}

// ReportDiscoveryMoved tells that the list is to be had elsewhere from now on.
func (s *Shards) ReportDiscoveryMoved() {
	for _, f := range s.pickers {
		f.ReportDiscoveryMoved()
	}
}

// ReceiveLoad takes what an instance of another process tells of a worker: all here hear it.
func (s *Shards) ReceiveLoad(from PeerID, l Load) {
	for _, f := range s.pickers {
		f.ReceiveLoad(from, l)
	}
}

// Isolated tells whether all may have lost power, as far as this process can see.
func (s *Shards) Isolated() bool { return s.pickers[0].Isolated() }

// ReceivePeerStarted tells that another process has just started, by its number among the processes.
func (s *Shards) ReceivePeerStarted(process int) {
	for _, f := range s.pickers {
		for j := range s.pickers {
			f.ReceivePeerStarted(PeerID(process*len(s.pickers) + j))
		}
	}
}

// GossipPeers are the other processes with which this one tells of workers, by number, in order; all of them
// while no list is known.
func (s *Shards) GossipPeers() (processes []int) {
	for _, f := range s.pickers {
		for _, p := range f.gossipPeers() {
			if n := int(p) / len(s.pickers); n != int(s.firstPeer)/len(s.pickers) {
				processes = append(processes, n)
			}
		}
	}
	slices.Sort(processes)
	return slices.Compact(processes)
}

// ReceiveLoadReport takes a worker's load report.
func (s *Shards) ReceiveLoadReport(w WorkerID, values []float64) {
	for _, f := range s.pickers {
		f.ReceiveLoadReport(w, values)
	}
}
