package balancer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
)

// Shards are the pickers of one process, one per core and each with a lock of its own. To the rules each shard is a
// dispatcher like any other, with its position among all shards of all processes. So budgets, quotas, subsets and
// staggered polls hold over all of them. Shards of a process exchange loads in memory, as other peers do by datagram. All
// processes must have as many shards. What changes for the dispatcher goes to all shards; requests go to them in turn.
type Shards struct {
	pickers    []*Picker
	firstPeer  PeerID // of the first one here
	gossip     bool   // loads may be sent to other processes
	roundRobin atomic.Uint32

	reconfiguring sync.Mutex // held while operations are numbered: numbers have to be the same at all shards
}

// NewShards returns a number of shards for a process. config.Dispatchers and config.Position count processes. clock
// returns the current time, and log takes events.
func NewShards(config Config, count int, seed uint64, clock func() Time, log func(Event)) *Shards {
	s := &Shards{firstPeer: PeerID(config.Position * count), gossip: config.Gossip.Enabled}
	position := config.Position
	config.Dispatchers *= count
	config.Gossip.Enabled = config.Gossip.Enabled || count > 1
	for n := range count {
		config.Position = position*count + n
		picker := NewPicker(config, seed+uint64(n), clock, log)
		if n > 0 { // the process polls and probes, whichever shard wants it
			picker.pollDue = s.pickers[0].pollDue
			picker.probes = s.pickers[0].probes
		}
		s.pickers = append(s.pickers, picker)
	}
	return s
}

// Count returns the number of shards.
func (s *Shards) Count() int { return len(s.pickers) }

// PeerID returns the number of a shard among all shards of all processes.
func (s *Shards) PeerID(shard int) PeerID { return s.firstPeer + PeerID(shard) }

// Submit takes in a request at the next shard in turn. The caller has to call Pick until it gets an answer.
func (s *Shards) Submit(arrival Arrival) *RequestHandle { return s.next().Submit(arrival) }

// next returns the next shard in turn.
func (s *Shards) next() *Picker {
	if len(s.pickers) == 1 {
		return s.pickers[0]
	}
	return s.pickers[s.roundRobin.Add(1)%uint32(len(s.pickers))]
}

// first returns the shard that answers for all where each would say the same.
func (s *Shards) first() *Picker { return s.pickers[0] }

// updateAll makes a call on each shard's Balancer in turn, and applies the rules that are due then.
func (s *Shards) updateAll(call func(*Balancer)) {
	for _, picker := range s.pickers {
		picker.update(call)
	}
}

// updateAllOf makes a call on each shard's Balancer in turn for each shard of another process.
func (s *Shards) updateAllOf(process int, call func(b *Balancer, peer PeerID)) {
	for _, picker := range s.pickers {
		for n := range s.pickers {
			peer := PeerID(process*len(s.pickers) + n)
			picker.update(func(b *Balancer) { call(b, peer) })
		}
	}
}

// Run blocks until ctx ends, and applies the rules of a shard whenever one comes due by time alone.
func (s *Shards) Run(ctx context.Context, shard int) error { return s.pickers[shard].Run(ctx) }

// Now returns the time by which decisions are made.
func (s *Shards) Now() Time { return s.first().clock() }

// OpenRequests returns the number of requests that are not closed, or have attempts in flight.
func (s *Shards) OpenRequests() (open int) {
	for _, picker := range s.pickers {
		open += picker.OpenRequests()
	}
	return open
}

// StopAfter bounds all answers: none is possible after a span from now, as the process ends then.
func (s *Shards) StopAfter(span Duration) {
	for _, picker := range s.pickers {
		picker.StopAfter(span)
	}
}

// CancelAll cancels all attempts that are still in flight, as the process ends.
func (s *Shards) CancelAll() {
	for _, picker := range s.pickers {
		picker.CancelAll()
	}
}

// WouldMissStop reports whether a request that arrives now would, by its size hint, not be done before the process ends.
func (s *Shards) WouldMissStop(arrival Arrival) bool { return s.first().WouldMissStop(arrival) }

// WorkerCounts returns the number of listed workers, and of those that are ejected now, at the shard that has the most.
func (s *Shards) WorkerCounts() (listed, ejected int) {
	for _, picker := range s.pickers {
		listedHere, ejectedHere := picker.WorkerCounts()
		listed = max(listed, listedHere)
		ejected = max(ejected, ejectedHere)
	}
	return listed, ejected
}

// AwaitPoll blocks until the endpoint list should be polled, or returns the error of ctx.
func (s *Shards) AwaitPoll(ctx context.Context) error { return s.first().AwaitPoll(ctx) }

// NextProbe blocks until a worker should be probed, or returns the error of ctx.
func (s *Shards) NextProbe(ctx context.Context) (WorkerID, error) { return s.first().NextProbe(ctx) }

// NextLoadUpdates blocks until a shard has something to send to other processes, or returns the error of ctx. Meanwhile
// it passes loads to the other shards here. It holds no lock of the sending shard then, as two may send to each other at
// once.
func (s *Shards) NextLoadUpdates(ctx context.Context, shard int) ([]LoadUpdate, error) {
	for {
		updates, err := s.pickers[shard].NextLoadUpdates(ctx)
		if err != nil {
			return nil, err
		}
		outside := updates[:0]
		for _, update := range updates {
			local := int(update.To - s.firstPeer)
			switch {
			case local >= 0 && local < len(s.pickers):
				for _, load := range update.Loads {
					s.pickers[local].ReceiveLoad(s.PeerID(shard), load)
				}
			case s.gossip:
				outside = append(outside, update)
			}
		}
		if len(outside) > 0 {
			return outside, nil
		}
	}
}

// UpdateEndpoints takes a list of endpoints.
func (s *Shards) UpdateEndpoints(entries []Endpoint, extent ListExtent, source ListSource) {
	for _, picker := range s.pickers {
		picker.UpdateEndpoints(entries, extent, source)
	}
}

// ReportWatchEnded notes that the endpoint list could not be had, or is no longer watched.
func (s *Shards) ReportWatchEnded(end WatchEnd) {
	for _, picker := range s.pickers {
		picker.ReportWatchEnded(end)
	}
}

// ReportFirstPollSlow notes that the first poll has not been answered for a while. The endpoints from before the start
// are used until it is.
func (s *Shards) ReportFirstPollSlow() {
	s.updateAll((*Balancer).acceptStaleEndpoints)
}

// ReportDiscoveryMoved notes that the endpoint service has another address. It is polled at once, however long the wait
// was to be.
func (s *Shards) ReportDiscoveryMoved() {
	s.updateAll(func(b *Balancer) { b.polling.PollNow(b.now) })
}

// ReceiveLoadReport takes the values of a worker's load report, at the places that Config names.
func (s *Shards) ReceiveLoadReport(id WorkerID, values []float64) {
	s.updateAll(func(b *Balancer) { b.ReceiveLoadReport(id, values) })
}

// ReceiveLoad takes what a shard of another process has in flight at a worker.
func (s *Shards) ReceiveLoad(from PeerID, load WorkerLoad) {
	for _, picker := range s.pickers {
		picker.ReceiveLoad(from, load)
	}
}

// ReceivePeerStarted notes that another process has just started, by its number among the processes.
func (s *Shards) ReceivePeerStarted(process int) {
	s.updateAllOf(process, (*Balancer).receivePeerStarted)
}

// ReportSeniorPeer notes that another process has run for longer than this one, by its number among the processes.
func (s *Shards) ReportSeniorPeer(process int) {
	s.updateAllOf(process, func(b *Balancer, peer PeerID) { b.gossip.recordPeer(peer) })
}

// Isolated reports whether all dispatchers may have lost power, as far as this process can see. No poll has been answered
// since its start then, and no peer has been heard that has run for longer.
func (s *Shards) Isolated() (isolated bool) {
	s.first().read(func(b *Balancer) { isolated = !b.polling.Answered() && !b.gossip.hearsSenior() })
	return isolated
}

// GossipPeers returns the other processes with which this one exchanges load, by number and in order. It returns all of
// them while there is no endpoint list.
func (s *Shards) GossipPeers() (processes []int) {
	own := int(s.firstPeer) / len(s.pickers)
	for _, picker := range s.pickers {
		picker.read(func(b *Balancer) {
			for _, peer := range b.gossipPeers() {
				if process := int(peer) / len(s.pickers); process != own {
					processes = append(processes, process)
				}
			}
		})
	}
	slices.Sort(processes)
	return slices.Compact(processes)
}
