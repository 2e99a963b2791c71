package recovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/fleet/messaging"
)

func TestMessagesOfEndedIncarnationsAndUnmatchedRepliesAreIgnored(t *testing.T) {
	known := PeerProgress{Incarnation: 5, Nonce: 9, PersistedKeys: 3}
	for _, c := range []struct {
		name   string
		from   int
		change func(reply *messaging.Message)
	}{
		{"an ended incarnation", 1, func(reply *messaging.Message) { reply.Incarnation = 4 }},
		{"a reply to another query", 2, func(reply *messaging.Message) { reply.Number-- }},
		{"a name that is not the sender's", 3, func(reply *messaging.Message) { reply.From = "d9" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestMachine(1, PreviousIncarnation{Peers: map[string]PeerProgress{"d1": known}})
			s.TakeActions()
			reply := replyOf(s, c.from, Serving)
			c.change(reply)
			s.Receive(ms, c.from, reply)
			assert.Empty(t, s.TakeActions().Replies)
			assert.Equal(t, known, s.Peers()["d1"], "the recorded progress must not change")
		})
	}
}

func TestReplyPartsMayArriveTwiceAndInAnyOrder(t *testing.T) {
	s := newTestMachine(1, PreviousIncarnation{})
	s.TakeActions()
	part := func(n uint16) *messaging.Message {
		reply := replyOf(s, 1, SlowStart)
		reply.Part, reply.Parts = n, 3
		return reply
	}
	for _, n := range []uint16{2, 0, 2, 0} {
		s.Receive(ms, 1, part(n))
		answered, _ := s.CountAnsweredPeers()
		assert.Zero(t, answered)
	}
	s.Receive(ms, 1, part(1))
	answered, total := s.CountAnsweredPeers()
	assert.Equal(t, []int{1, 3}, []int{answered, total})
}

// Two dispatchers that answered each query with a query would never stop.
func TestQueriesAreNotAnsweredByQueries(t *testing.T) {
	s := newTestMachine(1, PreviousIncarnation{})
	s.TakeActions()
	for n := range 50 {
		s.Receive(time.Duration(n)*ms, 1, &messaging.Message{
			Kind: messaging.Query, From: "d1", Incarnation: 1, Nonce: 1, Number: uint32(n),
		})
	}
	actions := s.TakeActions()
	assert.Len(t, actions.Queries, 50)
	assert.Empty(t, actions.Messages)
}
