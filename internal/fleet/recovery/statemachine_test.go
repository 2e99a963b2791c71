package recovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/fleet/messaging"
)

const ms = time.Millisecond

// newTestMachine returns the state machine of d0 in a fleet of four, just after its incarnation was stored.
func newTestMachine(incarnation uint64, previous PreviousIncarnation) *StateMachine {
	s := New(Config{
		Members: []string{"d0", "d1", "d2", "d3"}, IdentityTimeout: 2 * time.Second,
		EndpointsTimeout: 3 * time.Second, PeersTimeout: time.Second, ProbeTimeout: 2 * time.Second,
		SlowStartDuration: 13 * time.Second, QueryInterval: 100 * ms, DedupWindow: 40 * time.Second,
		MaxRetryAfter: 2 * time.Second,
	})
	s.IdentityEstablished(0, incarnation, 100, previous)
	return s
}

// replyOf returns the reply of d1, d2 or d3 to the last query of s.
func replyOf(s *StateMachine, from int, phase Phase) *messaging.Message {
	return &messaging.Message{
		Kind: messaging.Reply, From: s.config.Members[from], Incarnation: 1, Nonce: uint64(from),
		Number: s.peers.members[from].query.number, Phase: uint8(phase), Parts: 1,
	}
}

func TestNothingIsSentBeforeTheIncarnationIsStored(t *testing.T) {
	s := New(Config{Members: []string{"d0", "d1"}, QueryInterval: 100 * ms, IdentityTimeout: time.Second})
	s.Tick(500 * ms)
	s.Receive(600*ms, 1, &messaging.Message{Kind: messaging.Query, From: "d1", Incarnation: 1, Number: 1})
	actions := s.TakeActions()
	assert.Empty(t, actions.Messages)
	assert.Empty(t, actions.Queries)
	s.IdentityEstablished(700*ms, 1, 2, PreviousIncarnation{})
	assert.Len(t, s.TakeActions().Messages, 1)
}

func TestOutageFollowsFromReplies(t *testing.T) {
	for _, c := range []struct {
		name   string
		phases []Phase // of d1, d2 and d3; a missing entry means no reply
		want   Outage
	}{
		{"all serve", []Phase{Serving, Serving, Serving}, ThisDispatcherOnly},
		{"one of three recovers", []Phase{Serving, QueryingPeers, Serving}, Partial},
		{"all recover", []Phase{QueryingPeers, AwaitingEndpoints, SlowStart}, FleetWide},
		{"two serve, one is silent", []Phase{Serving, Serving}, Partial},
		{"one recovers, two are silent", []Phase{QueryingPeers}, FleetWide},
		{"all are silent", nil, FleetWide},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestMachine(2, PreviousIncarnation{Incarnation: 1})
			s.EndpointsReceived(ms)
			s.TakeActions()
			for n, phase := range c.phases {
				peer := n + 1
				for range 3 { // a serving peer is queried again about workers
					s.Receive(2*ms, peer, replyOf(s, peer, phase))
				}
			}
			if len(c.phases) < 3 {
				assert.Equal(t, QueryingPeers, s.Phase(), "must wait for the silent peers")
				assert.Equal(t, Undecided, s.Outage())
				s.Tick(ms + time.Second)
			}
			assert.Equal(t, c.want, s.Outage())
			assert.GreaterOrEqual(t, s.Phase(), Probing)
		})
	}
}

// The discovery service may recover last. Until then dispatchers with a stored endpoint list must continue with it.
func TestStoredListIsUsedIfDiscoveryDoesNotAnswer(t *testing.T) {
	s := newTestMachine(1, PreviousIncarnation{})
	s.Tick(2 * time.Second)
	assert.Equal(t, AwaitingEndpoints, s.Phase())
	s.EndpointsUnavailable(2 * time.Second)
	assert.Equal(t, AwaitingEndpoints, s.Phase(), "there is no endpoint list")
	s.StoredEndpointsLoaded(2 * time.Second)
	assert.Equal(t, QueryingPeers, s.Phase())
}
