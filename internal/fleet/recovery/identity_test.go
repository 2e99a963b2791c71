package recovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/fleet/messaging"
)

func TestIncarnationIsRaisedAboveTheOneReportedByPeers(t *testing.T) {
	s := newTestMachine(1, PreviousIncarnation{})
	s.TakeActions()
	reply := replyOf(s, 1, Serving)
	reply.ReceiverIncarnation, reply.ReceiverNonce, reply.ReceivedAgoMillis = 7, 55, receivedBeforeStartMillis
	s.Receive(10*ms, 1, reply)
	actions := s.TakeActions()
	assert.EqualValues(t, 8, actions.RaiseIncarnation)
	assert.Equal(t, MarkKeysSuspect, actions.KeysMarkChange, "the disk is older than the reported incarnation")
	assert.True(t, s.MayLackKeys(20*ms))
	s.IncarnationRaised(20*ms, 8)
	assert.EqualValues(t, 8, s.Incarnation())
	s.Tick(39 * time.Second)
	assert.Equal(t, KeysMarkUnchanged, s.TakeActions().KeysMarkChange)
	s.Tick(40 * time.Second)
	assert.Equal(t, ClearKeysSuspect, s.TakeActions().KeysMarkChange, "a dedup window has passed")
	assert.False(t, s.MayLackKeys(40*time.Second))
}

func TestResetDiskIsDetectedFromKeyCountsOfPeers(t *testing.T) {
	for _, c := range []struct {
		name  string
		known uint64 // keys of the previous incarnation received by the peer; the disk holds 5
		want  KeysMarkChange
	}{
		{"as many keys as on disk", 5, KeysMarkUnchanged},
		{"more keys than on disk", 6, MarkKeysSuspect},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestMachine(3, PreviousIncarnation{Incarnation: 2, PersistedKeys: 5})
			s.TakeActions()
			reply := replyOf(s, 1, Serving)
			reply.ReceiverIncarnation, reply.ReceiverNonce, reply.ReceivedAgoMillis = 2, 55, receivedBeforeStartMillis
			reply.ReceiverPersistedKeys = c.known
			s.Receive(10*ms, 1, reply)
			assert.Equal(t, c.want, s.TakeActions().KeysMarkChange)
		})
	}
}

// If two processes run under one name, peers receive messages from both, and the process with the lower nonce must
// stop.
func TestLowerOfTwoProcessesUnderOneNameIsSuperseded(t *testing.T) {
	for _, c := range []struct {
		name  string
		nonce uint64 // of the other process; this one has 100
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

// If two processes sent messages under one name, peers would drop the messages of one of them.
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

// The first query of a restarted dispatcher replaces its incarnation at the receiving peer. The reply must still report
// the previous incarnation, or a reset disk would not be detected.
func TestReplyReportsPreviousIncarnationOfQueryingPeer(t *testing.T) {
	s := newTestMachine(1, PreviousIncarnation{})
	s.Receive(ms, 1, &messaging.Message{Kind: messaging.Heartbeat, From: "d1", Incarnation: 4, Nonce: 44, PersistedKeys: 17})
	s.Receive(2*ms, 1, &messaging.Message{Kind: messaging.Query, From: "d1", Incarnation: 5, Nonce: 55, Number: 1})
	reply := s.Reply(s.TakeActions().Queries[0], LocalState{})[0]
	assert.Equal(t, []uint64{4, 44, 17}, []uint64{reply.ReceiverIncarnation, reply.ReceiverNonce, reply.ReceiverPersistedKeys})
	assert.EqualValues(t, receivedBeforeStartMillis, reply.ReceivedAgoMillis)
	assert.Equal(t, PeerProgress{
		Incarnation: 5, Nonce: 55,
		PreviousIncarnation: 4, PreviousNonce: 44, PreviousPersistedKeys: 17,
	}, s.Peers()["d1"], "the stored progress must include the previous incarnation")
}

// A dispatcher cannot detect that its disk was reset until the receivers of its heartbeats have answered.
func TestKeysAreConfirmedByTheReceiversOfHeartbeats(t *testing.T) {
	s := newTestMachine(2, PreviousIncarnation{Incarnation: 1})
	s.TakeActions()
	unconfirmed := func() bool { return s.Reply(Query{From: 3}, LocalState{})[0].KeysUnconfirmed }
	assert.True(t, unconfirmed())
	s.Receive(ms, 1, replyOf(s, 1, QueryingPeers))
	assert.True(t, unconfirmed(), "d2, which receives heartbeats too, has not answered")
	s.Receive(ms, 2, replyOf(s, 2, QueryingPeers))
	assert.False(t, unconfirmed())
	s = newTestMachine(2, PreviousIncarnation{Incarnation: 1})
	s.Tick(40 * time.Second)
	assert.False(t, unconfirmed(), "a dedup window has passed")
}

// A peer may reply before it has found out whether its own disk was reset. Its reply may then lack keys of its requests.
func TestKeysMayBeMissingUntilPeersConfirmTheirOwnKeys(t *testing.T) {
	s := newTestMachine(2, PreviousIncarnation{Incarnation: 1})
	peers := []int{1, 2, 3}
	for _, peer := range peers {
		s.Receive(ms, peer, replyOf(s, peer, QueryingPeers))
	}
	assert.True(t, s.MayLackKeys(2*ms))
	for _, peer := range peers {
		reply := replyOf(s, peer, Probing)
		reply.KeysUnconfirmed = true
		s.Receive(3*ms, peer, reply)
	}
	assert.True(t, s.MayLackKeys(4*ms), "keys of peers are still unconfirmed")
	for _, peer := range peers {
		s.Receive(5*ms, peer, replyOf(s, peer, Probing))
	}
	assert.False(t, s.MayLackKeys(6*ms))
}
