package balancer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newTestShards returns the shards of the second of two processes, all with the given number of workers from
// testEndpoints.
func newTestShards(config Config, count, workers int) *Shards {
	config.Dispatchers = 2
	config.Position = 1
	shards := NewShards(config, count, 1, func() Time { return testStart }, func(Event) {})
	shards.UpdateEndpoints(testEndpoints(workers), AllEndpoints, NotFromDiscovery)
	return shards
}

func TestShardsArePositionedAmongShardsOfAllProcesses(t *testing.T) {
	config := testConfig
	config.Gossip.Enabled = true
	s := newTestShards(config, 3, 4)
	for j, picker := range s.pickers {
		assert.Equal(t, []int{6, 3 + j}, []int{picker.balancer.config.dispatchers, picker.balancer.config.position})
		assert.Equal(t, 1.0/6, picker.balancer.config.dispatcherShare, "budgets and quotas are divided among all shards")
		assert.True(t, picker.balancer.config.gossip)
	}
	single := newTestShards(testConfig, 1, 4)
	assert.Equal(t, []int{2, 1}, []int{single.pickers[0].balancer.config.dispatchers, single.pickers[0].balancer.config.position})
	assert.False(t, single.pickers[0].balancer.config.gossip, "a single shard has no peers in its process")
	for range 6 {
		s.Submit(Arrival{Timeout: 3 * Second})
	}
	for _, picker := range s.pickers {
		assert.Equal(t, 2, picker.OpenRequests())
	}
	assert.Equal(t, 6, s.OpenRequests())
}

func TestShardsGossipInMemory(t *testing.T) {
	for _, gossip := range []bool{false, true} {
		config := testConfig
		config.Gossip.Enabled = gossip
		s := newTestShards(config, 2, 1)
		handle := s.pickers[0].Submit(Arrival{Timeout: 3 * Second})
		decision := pick(t, handle)
		s.pickers[0].update(func(balancer *Balancer) { balancer.sendChangedLoads() }) // as if they were due
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		updates, err := s.NextLoadUpdates(ctx, 0)
		cancel()
		assert.Equal(t, 1, s.pickers[1].balancer.workers[decision.Worker].gossip.peerInFlight, "received within the process")
		assert.Equal(t, 0, s.pickers[0].balancer.workers[decision.Worker].gossip.peerInFlight, "not by the sender")
		if !gossip {
			assert.Error(t, err, "no message may leave the process")
			continue
		}
		for _, loadUpdate := range updates {
			assert.Less(t, int(loadUpdate.To), 2, "the receiver must be a shard of the other process")
		}
		assert.Len(t, updates, 2)
	}
}

func TestOnePollServesAllShards(t *testing.T) {
	config := testConfig
	config.Discovery.Poll = true
	s := newTestShards(config, 3, 1)
	for _, picker := range s.pickers {
		picker.update(func(balancer *Balancer) { balancer.polling.PollNow(DistantPast) }) // a poll is due at each shard
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	assert.NoError(t, s.AwaitPoll(ctx))
	assert.Error(t, s.AwaitPoll(ctx), "the same poll serves the other shards")
	s.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "w0", State: Draining}}, AllEndpoints, FromDiscovery)
	for _, picker := range s.pickers {
		assert.True(t, picker.balancer.polling.Watching())
		assert.Equal(t, Draining, picker.balancer.workers[0].state, "all shards mark the worker as draining")
	}
}

// Regression test for a deadlock of two shards that sent each other their loads at the same time, each waiting for the
// lock of the other.
func TestShardsThatGossipConcurrentlyDoNotDeadlock(t *testing.T) {
	config := testConfig
	config.Granularity = 0
	s := newTestShards(config, 4, 8)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for j := range s.Count() {
		go func() { _, _ = s.NextLoadUpdates(ctx, j) }()
	}
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			for range 300 {
				handle := s.Submit(Arrival{Timeout: 3 * Second, SizeHint: 10})
				decision, err := handle.Pick(ctx)
				if !assert.NoError(t, err) {
					return
				}
				handle.picker.update(func(balancer *Balancer) { balancer.sendChangedLoads() })
				handle.ReportStarted(decision.Attempt)
				handle.ReportOutcome(decision.Attempt, Succeeded)
				_, err = handle.Pick(ctx)
				assert.NoError(t, err)
			}
		})
	}
	clients.Wait()
	assert.Zero(t, s.OpenRequests())
}

// Regression test for the cost of the messages when a whole fleet restarts and each dispatcher sends a hello to all
// others.
func TestGossipPeersShareWorkers(t *testing.T) {
	config := testConfig
	config.Dispatchers, config.Gossip.Enabled, config.Gossip.MessageCost = 80, true, 0.000625
	fleet := make([]*Shards, 80)
	for n := range fleet {
		config.Position = n
		fleet[n] = NewShards(config, 1, 1, func() Time { return 0 }, func(Event) {})
		assert.Len(t, fleet[n].GossipPeers(), 79, "all peers, before the first endpoint list")
		var list []Endpoint
		for w := range 60 {
			list = append(list, Endpoint{Worker: WorkerID(w), ID: fmt.Sprintf("w%d", w)})
		}
		fleet[n].UpdateEndpoints(list, AllEndpoints, NotFromDiscovery)
	}
	for n, s := range fleet {
		gossipPeers := s.GossipPeers()
		assert.Less(t, len(gossipPeers), 30)
		balancer := s.pickers[0].balancer
		for _, w := range balancer.subsetting.subsets[allIntervals].workers {
			for p := balancer.workers[w].gossip.subsetDispatchers.from; p < balancer.workers[w].gossip.subsetDispatchers.to; p++ {
				if p%80 != n {
					assert.Contains(t, gossipPeers, p%80, "peer for worker %d", w)
				}
			}
		}
		for _, p := range gossipPeers {
			assert.Contains(t, fleet[p].GossipPeers(), n, "gossip peers must be symmetric")
		}
	}
}
