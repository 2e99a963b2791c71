package recovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/fleet/messaging"
)

func TestIncarnationIsRaisedAboveWhatPeersKnow(t *testing.T) {
	s := newTestMachine(1, PreviousIncarnation{})
	s.TakeActions()
	reply := replyOf(s, 1, Serving)
	reply.ReceiverIncarnation, reply.ReceiverNonce, reply.ReceivedAgoMillis = 7, 55, receivedBeforeStartMillis
	s.Receive(10*ms, 1, reply)
	actions := s.TakeActions()
	assert.EqualValues(t, 8, actions.RaiseIncarnation)
	assert.Equal(t, MarkKeysSuspect, actions.KeysMark, "the disk is older than that")
	assert.True(t, s.PeerKeysPending(20*ms))
	s.IncarnationRaised(20*ms, 8)
	assert.EqualValues(t, 8, s.Incarnation())
	s.Tick(39 * time.Second)
	assert.Equal(t, KeepKeysMark, s.TakeActions().KeysMark)
	s.Tick(40 * time.Second)
	assert.Equal(t, ClearKeysSuspect, s.TakeActions().KeysMark, "a dedup window has passed")
	assert.False(t, s.PeerKeysPending(40*time.Second))
}

func TestResetDiskIsDetectedByTheKeysThatPeersKnow(t *testing.T) {
	for _, c := range []struct {
		name  string
		known uint64 // to the peer: keys of the previous incarnation, of which the disk holds 5
		want  KeysMark
	}{
		{"as many keys as on disk", 5, KeepKeysMark},
		{"more keys than on disk", 6, MarkKeysSuspect},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestMachine(3, PreviousIncarnation{Incarnation: 2, PersistedKeys: 5})
			s.TakeActions()
			reply := replyOf(s, 1, Serving)
			reply.ReceiverIncarnation, reply.ReceiverNonce, reply.ReceivedAgoMillis = 2, 55, receivedBeforeStartMillis
			reply.ReceiverPersistedKeys = c.known
			s.Receive(10*ms, 1, reply)
			assert.Equal(t, c.want, s.TakeActions().KeysMark)
		})
	}
}

// Peers receive messages of both processes that run under one name, and the lower one gives way.
func TestLowerOfTwoProcessesUnderOneNameGivesWay(t *testing.T) {
	for _, c := range []struct {
		name  string
		nonce uint64 // of the other process, where this one has 100
		want  Phase
	}{
		{"the other is lower", 99, AwaitingEndpoints},
		{"the other is higher", 101, Superseded},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestMachine(4, PreviousIncarnation{Incarnation: 3})
			s.TakeActions()
			reply := replyOf(s, 1, Serving)
			reply.ReceiverIncarnation, reply.ReceiverNonce, reply.ReceivedAgoMillis = 4, c.nonce, 3
			s.Receive(10*ms, 1, reply)
			assert.Equal(t, c.want, s.Phase())
		})
	}
}

// Two processes that both sent messages under one name would make peers drop the messages of the other one.
func TestSupersededProcessSendsAndAdmitsNothing(t *testing.T) {
	s := newTestMachine(4, PreviousIncarnation{Incarnation: 3})
	s.EndpointsReceived(ms)
	reply := replyOf(s, 1, Serving)
	reply.ReceiverIncarnation, reply.ReceiverNonce, reply.ReceivedAgoMillis = 5, 101, 3
	s.Receive(10*ms, 1, reply)
	s.TakeActions()
	for now := time.Second; now < time.Minute; now += time.Second {
		s.Tick(now)
		assert.False(t, s.Admit(now, 100*ms).Admitted)
	}
	assert.Equal(t, Superseded, s.Phase())
	assert.Empty(t, s.TakeActions().Messages)
}

// A query begins a new incarnation at the peer that receives it. That peer still has to report the one before, or a reset
// disk would not be detected.
func TestReplyReportsThePreviousIncarnationOfItsReceiver(t *testing.T) {
	s := newTestMachine(1, PreviousIncarnation{})
	s.Receive(ms, 1, &messaging.Message{Kind: messaging.Heartbeat, From: "d1", Incarnation: 4, Nonce: 44, PersistedKeys: 17})
	s.Receive(2*ms, 1, &messaging.Message{Kind: messaging.Query, From: "d1", Incarnation: 5, Nonce: 55, Number: 1})
	reply := s.Reply(s.TakeActions().Queries[0], LocalKnowledge{})[0]
	assert.Equal(t, []uint64{4, 44, 17}, []uint64{reply.ReceiverIncarnation, reply.ReceiverNonce, reply.ReceiverPersistedKeys})
	assert.EqualValues(t, receivedBeforeStartMillis, reply.ReceivedAgoMillis)
	assert.Equal(t, PeerProgress{
		Incarnation: 5, Nonce: 55,
		PreviousIncarnation: 4, PreviousNonce: 44, PreviousPersistedKeys: 17,
	}, s.Peers()["d1"], "also after a restart of this one")
}

// A dispatcher that serves before the receivers of its heartbeats are back cannot know whether its disk was reset.
func TestKeysAreConfirmedByTheReceiversOfHeartbeats(t *testing.T) {
	s := newTestMachine(2, PreviousIncarnation{Incarnation: 1})
	s.TakeActions()
	unconfirmed := func() bool { return s.Reply(Query{From: 3}, LocalKnowledge{})[0].KeysUnconfirmed }
	assert.True(t, unconfirmed())
	s.Receive(ms, 1, replyOf(s, 1, QueryingPeers))
	assert.True(t, unconfirmed(), "d2 receives heartbeats too")
	s.Receive(ms, 2, replyOf(s, 2, QueryingPeers))
	assert.False(t, unconfirmed())
	s = newTestMachine(2, PreviousIncarnation{Incarnation: 1})
	s.Tick(40 * time.Second)
	assert.False(t, unconfirmed(), "a dedup window has passed")
}

// A peer may answer before it knows whether its own disk was reset, and then lack keys that it has sent.
func TestKeysArePendingUntilPeersAreSureOfTheirOwnDisks(t *testing.T) {
	s := newTestMachine(2, PreviousIncarnation{Incarnation: 1})
	peers := []int{1, 2, 3}
	for _, peer := range peers {
		s.Receive(ms, peer, replyOf(s, peer, QueryingPeers))
	}
	assert.True(t, s.PeerKeysPending(2*ms))
	for _, peer := range peers {
		reply := replyOf(s, peer, Probing)
		reply.KeysUnconfirmed = true
		s.Receive(3*ms, peer, reply)
	}
	assert.True(t, s.PeerKeysPending(4*ms), "nor while they cannot tell")
	for _, peer := range peers {
		s.Receive(5*ms, peer, replyOf(s, peer, Probing))
	}
	assert.False(t, s.PeerKeysPending(6*ms))
}
