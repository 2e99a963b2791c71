package balancer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
)

// Shards holds the pickers of one process, one per core, each with its own lock. Each shard acts as a dispatcher, with
// its position among all shards of all processes, so budgets, quotas, subsets and staggered polls apply across all of
// them. Shards of a process exchange loads in memory, while other peers use datagrams. All processes must have the same
// number of shards. Changes that concern the dispatcher apply to all shards; requests are assigned to shards in
// round-robin order.
type Shards struct {
	pickers       []*Picker
	firstPeer     PeerID // of the first shard of this process
	gossipEnabled bool   // whether loads may be sent to other processes
	roundRobin    atomic.Uint32

	operationIDsMu sync.Mutex // held while operation IDs are assigned: they must be the same at all shards
}

// NewShards returns count shards for a process. config.Dispatchers and config.Position are in units of processes. clock
// returns the current time, and log handles events.
func NewShards(config Config, count int, seed uint64, clock func() Time, log func(Event)) *Shards {
	s := &Shards{firstPeer: PeerID(config.Position * count), gossipEnabled: config.Gossip.Enabled}
	position := config.Position
	config.Dispatchers *= count
	config.Gossip.Enabled = config.Gossip.Enabled || count > 1
	for n := range count {
		config.Position = position*count + n
		picker := NewPicker(config, seed+uint64(n), clock, log)
		if n > 0 { // polls and probes are shared by all shards of the process
			picker.pollDue = s.pickers[0].pollDue
			picker.probes = s.pickers[0].probes
		}
		s.pickers = append(s.pickers, picker)
	}
	return s
}

// Count returns the number of shards.
func (s *Shards) Count() int { return len(s.pickers) }

// PeerID returns the peer ID of a shard, which is unique among all shards of all processes.
func (s *Shards) PeerID(shard int) PeerID { return s.firstPeer + PeerID(shard) }

// Submit adds a request at the next shard in round-robin order. The caller must call Pick until it returns a final
// answer.
func (s *Shards) Submit(arrival Arrival) *RequestHandle { return s.nextPicker().Submit(arrival) }

// nextPicker returns the next shard in round-robin order.
func (s *Shards) nextPicker() *Picker {
	if len(s.pickers) == 1 {
		return s.pickers[0]
	}
	return s.pickers[s.roundRobin.Add(1)%uint32(len(s.pickers))]
}

// firstPicker returns the first shard, which represents the process if only one shard is queried or updated.
func (s *Shards) firstPicker() *Picker { return s.pickers[0] }

// updateAll runs call on the Balancer of each shard in turn, and applies the rules that are due.
func (s *Shards) updateAll(call func(*Balancer)) {
	for _, picker := range s.pickers {
		picker.update(call)
	}
}

// updateAllForProcess runs call on the Balancer of each shard in turn, once for each shard of another process.
func (s *Shards) updateAllForProcess(process int, call func(b *Balancer, peer PeerID)) {
	for _, picker := range s.pickers {
		for n := range s.pickers {
			peer := PeerID(process*len(s.pickers) + n)
			picker.update(func(b *Balancer) { call(b, peer) })
		}
	}
}

// Run applies the rules of a shard when they become due by time alone, and blocks until ctx is done.
func (s *Shards) Run(ctx context.Context, shard int) error { return s.pickers[shard].Run(ctx) }

// Now returns the current time of the clock used for decisions.
func (s *Shards) Now() Time { return s.firstPicker().clock() }

// OpenRequests returns the number of requests that are not closed or have attempts in flight.
func (s *Shards) OpenRequests() (open int) {
	for _, picker := range s.pickers {
		open += picker.OpenRequests()
	}
	return open
}

// StopAfter limits the deadlines of all requests, because the process exits when remaining has elapsed.
func (s *Shards) StopAfter(remaining Duration) {
	for _, picker := range s.pickers {
		picker.StopAfter(remaining)
	}
}

// CancelAll cancels all attempts that are still in flight because the process is exiting.
func (s *Shards) CancelAll() {
	for _, picker := range s.pickers {
		picker.CancelAll()
	}
}

// WouldMissStopDeadline reports whether a request that arrives now might not complete before the process exits: see
// Picker.WouldMissStopDeadline.
func (s *Shards) WouldMissStopDeadline(arrival Arrival) bool {
	return s.firstPicker().WouldMissStopDeadline(arrival)
}

// WorkerCounts returns the number of workers in the endpoint list, and the number of these that are currently ejected,
// each as the maximum over the shards.
func (s *Shards) WorkerCounts() (listed, ejected int) {
	for _, picker := range s.pickers {
		shardListed, shardEjected := picker.WorkerCounts()
		listed = max(listed, shardListed)
		ejected = max(ejected, shardEjected)
	}
	return listed, ejected
}

// AwaitPoll blocks until the endpoint list is due to be polled. It returns the error of ctx if that is done first.
func (s *Shards) AwaitPoll(ctx context.Context) error { return s.firstPicker().AwaitPoll(ctx) }

// NextLoadProbe blocks until a worker is due to be probed. It returns the error of ctx if that is done first.
func (s *Shards) NextLoadProbe(ctx context.Context) (WorkerID, error) {
	return s.firstPicker().NextLoadProbe(ctx)
}

// NextLoadUpdates blocks until a shard has loads to send to other processes. It returns the error of ctx if that is
// done first. In the meantime it passes loads to the other shards of this process, without holding the lock of the
// sending shard, because two shards may send to each other at the same time.
func (s *Shards) NextLoadUpdates(ctx context.Context, shard int) ([]LoadUpdate, error) {
	for {
		updates, err := s.pickers[shard].NextLoadUpdates(ctx)
		if err != nil {
			return nil, err
		}
		external := updates[:0]
		for _, update := range updates {
			local := int(update.To - s.firstPeer)
			switch {
			case local >= 0 && local < len(s.pickers):
				for _, load := range update.Loads {
					s.pickers[local].ReceiveLoad(s.PeerID(shard), load)
				}
			case s.gossipEnabled:
				external = append(external, update)
			}
		}
		if len(external) > 0 {
			return external, nil
		}
	}
}

// UpdateEndpoints applies an endpoint list at all shards.
func (s *Shards) UpdateEndpoints(entries []Endpoint, extent ListExtent, source ListSource) {
	for _, picker := range s.pickers {
		picker.UpdateEndpoints(entries, extent, source)
	}
}

// ReportWatchEnded records that the endpoint list could not be fetched or is no longer watched.
func (s *Shards) ReportWatchEnded(end WatchEnd) {
	for _, picker := range s.pickers {
		picker.ReportWatchEnded(end)
	}
}

// ReportFirstPollSlow records that the response to the first poll is delayed. Until it arrives, the endpoints known
// from before the start are used.
func (s *Shards) ReportFirstPollSlow() {
	s.updateAll((*Balancer).acceptStaleEndpoints)
}

// ReportDiscoveryAddressChanged records that the address of the discovery service has changed. The service is polled at
// once, regardless of the current delay.
func (s *Shards) ReportDiscoveryAddressChanged() {
	s.updateAll(func(b *Balancer) { b.polling.PollNow(b.now) })
}

// ReceiveLoadReport records the values of a load report of a worker, which are at the indexes given in Config.
func (s *Shards) ReceiveLoadReport(id WorkerID, values []float64) {
	s.updateAll(func(b *Balancer) { b.ReceiveLoadReport(id, values) })
}

// ReceiveLoad records the number of attempts that a shard of another process has in flight at a worker.
func (s *Shards) ReceiveLoad(from PeerID, load WorkerLoad) {
	for _, picker := range s.pickers {
		picker.ReceiveLoad(from, load)
	}
}

// ReceivePeerStarted records that another process, given by its index among the processes, has just started.
func (s *Shards) ReceivePeerStarted(process int) {
	s.updateAllForProcess(process, (*Balancer).receivePeerStarted)
}

// ReportSeniorPeer records that another process, given by its index among the processes, has run for longer than this
// one.
func (s *Shards) ReportSeniorPeer(process int) {
	s.updateAllForProcess(process, func(b *Balancer, peer PeerID) { b.gossip.recordPeer(peer) })
}

// Isolated reports whether all dispatchers may have lost power, as far as this process can determine: since its start,
// no poll has been answered and no message was received from a peer that has run for longer.
func (s *Shards) Isolated() (isolated bool) {
	s.firstPicker().read(func(b *Balancer) { isolated = !b.polling.Answered() && !b.gossip.hasSeniorPeer() })
	return isolated
}

// GossipPeers returns the indexes of the other processes with which this one exchanges loads, in ascending order.
// Without an endpoint list, it returns all of them.
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
