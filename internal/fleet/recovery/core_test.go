package recovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/fleet/messaging"
)

const ms = time.Millisecond

// core is d0 of four, which has just been told its life.
func core(life uint64, was PreviousIncarnation) *StateMachine {
	c := New(Config{
		Members: []string{"d0", "d1", "d2", "d3"}, IdentityTimeout: 2 * time.Second,
		EndpointsTimeout: 3 * time.Second, PeersTimeout: time.Second, ProbeTimeout: 2 * time.Second,
		SlowStartDuration: 13 * time.Second, QueryInterval: 100 * ms, DedupWindow: 40 * time.Second, MaxRetryAfter: 2 * time.Second,
	})
	c.IdentityStored(0, life, 100, was)
	return c
}

// answer is d1's, d2's or d3's to the question that was asked last.
func answer(c *StateMachine, from int, phase Phase) *messaging.Message {
	return &messaging.Message{
		Kind: messaging.Reply, From: c.terms.Members[from], Incarnation: 1, Nonce: uint64(from),
		Number: c.members[from].number, Phase: uint8(phase), Parts: 1,
	}
}

func TestNothingIsSaidBeforeTheLifeIsKnown(t *testing.T) {
	c := New(Config{Members: []string{"d0", "d1"}, QueryInterval: 100 * ms, IdentityTimeout: time.Second})
	c.Tick(500 * ms)
	c.Receive(600*ms, 1, &messaging.Message{Kind: messaging.Query, From: "d1", Incarnation: 1, Number: 1})
	out := c.TakeActions()
	assert.Empty(t, out.Messages)
	assert.Empty(t, out.Queries)
	c.IdentityStored(700*ms, 1, 2, PreviousIncarnation{})
	assert.Len(t, c.TakeActions().Messages, 1)
}

func TestCaseFollowsFromTheAnswers(t *testing.T) {
	for _, k := range []struct {
		phases []Phase // of d1, d2, d3, as far as they answer
		want   Outage
	}{
		{[]Phase{Serving, Serving, Serving}, OnlyThis},
		{[]Phase{Serving, QueryingPeers, Serving}, Partial},
		{[]Phase{QueryingPeers, AwaitingEndpoints, SlowStart}, FleetWide},
		{[]Phase{Serving, Serving}, Partial},
		{[]Phase{QueryingPeers}, FleetWide},
		{nil, FleetWide},
	} {
		c := core(2, PreviousIncarnation{Incarnation: 1})
		c.EndpointsReceived(ms, true)
		c.TakeActions()
		for n, p := range k.phases {
			for range 3 { // one that serves is asked again, for what it knows of workers
				c.Receive(2*ms, n+1, answer(c, n+1, p))
			}
		}
		if len(k.phases) < 3 {
			assert.Equal(t, QueryingPeers, c.Phase(), "it waits for the silent ones")
			assert.Equal(t, Undecided, c.Outage())
			c.Tick(ms + time.Second)
		}
		assert.Equal(t, k.want, c.Outage(), "%v", k.phases)
		assert.GreaterOrEqual(t, c.Phase(), Probing)
	}
}

// Guards against a list service that comes back last: those who have a list go on with it, under restrictions.
func TestWithoutAListServiceTheLastListServesOnceItWasAskedInVain(t *testing.T) {
	c := core(1, PreviousIncarnation{})
	c.Tick(2 * time.Second)
	assert.Equal(t, AwaitingEndpoints, c.Phase())
	c.EndpointsUnavailable(2 * time.Second)
	assert.Equal(t, AwaitingEndpoints, c.Phase(), "there is no list at all")
	c.EndpointsReceived(2*time.Second, false)
	assert.Equal(t, QueryingPeers, c.Phase())
}

func TestTrickleLetsAFewInUntilOneSucceeds(t *testing.T) {
	c := core(1, PreviousIncarnation{})
	ok, _ := c.Admit(0, 100*ms)
	assert.False(t, ok, "before it may serve")
	c.EndpointsReceived(0, true)
	c.Tick(time.Second)
	assert.Equal(t, Probing, c.Phase())
	c.SetCapacity(time.Second, Capacity{Workers: 1, Warm: 6, Now: 0.7})
	ok, _ = c.Admit(time.Second, 100*ms)
	assert.True(t, ok)
	backs := map[time.Duration]bool{}
	for range 20 {
		ok, back := c.Admit(time.Second, 100*ms)
		assert.False(t, ok)
		assert.True(t, back >= 500*ms && back <= 2*time.Second, "%v", back)
		backs[back] = true
	}
	assert.Len(t, backs, 20, "spread, so that clients do not return in step")
	c.RequestEnded(1100*ms, false)
	assert.Equal(t, Probing, c.Phase())
	ok, _ = c.Admit(1200*ms, 100*ms)
	assert.True(t, ok, "its place is free")
	c.RequestEnded(1300*ms, true)
	assert.Equal(t, SlowStart, c.Phase())
	c.SetCapacity(1400*ms, Capacity{Workers: 2, Warm: 6, Now: 3})
	assert.Equal(t, SlowStart, c.Phase())
	c.SetCapacity(6*time.Second, Capacity{Workers: 2, Warm: 6, Now: 5.5})
	assert.Equal(t, Serving, c.Phase())
}

func TestLifeIsRaisedAboveWhatOthersKnow(t *testing.T) {
	c := core(1, PreviousIncarnation{})
	c.TakeActions()
	m := answer(c, 1, Serving)
	m.YourIncarnation, m.YourNonce, m.HeardAgoMillis = 7, 55, longAgo
	c.Receive(10*ms, 1, m)
	out := c.TakeActions()
	assert.EqualValues(t, 8, out.RaiseIncarnation)
	assert.True(t, *out.SetKeysSuspect, "the disk is older than that")
	assert.True(t, c.PeerKeysPending(20*ms))
	c.IncarnationRaised(20*ms, 8)
	assert.EqualValues(t, 8, c.Incarnation())
	c.Tick(39 * time.Second)
	assert.Nil(t, c.TakeActions().SetKeysSuspect)
	c.Tick(40 * time.Second)
	assert.False(t, *c.TakeActions().SetKeysSuspect, "a window has been lived through")
	assert.False(t, c.PeerKeysPending(40*time.Second))
}

func TestDiskFromBeforeIsFoundOutByTheKeysThatOthersHeardOf(t *testing.T) {
	for kept, old := range map[uint64]bool{5: false, 6: true} {
		c := core(3, PreviousIncarnation{Incarnation: 2, PersistedKeys: 5})
		c.TakeActions()
		m := answer(c, 1, Serving)
		m.YourIncarnation, m.YourNonce, m.YourPersistedKeys, m.HeardAgoMillis = 2, 55, kept, longAgo
		c.Receive(10*ms, 1, m)
		assert.Equal(t, old, c.TakeActions().SetKeysSuspect != nil, "%d keys", kept)
	}
}

// Guards against two that go under one name: others hear both, and the lower one gives way.
func TestOneThatHearsOfAnotherUnderItsNameGivesWayIfItIsLower(t *testing.T) {
	for token, want := range map[uint64]Phase{99: AwaitingEndpoints, 101: Superseded} {
		c := core(4, PreviousIncarnation{Incarnation: 3})
		c.TakeActions()
		m := answer(c, 1, Serving)
		m.YourIncarnation, m.YourNonce, m.HeardAgoMillis = 4, token, 3
		c.Receive(10*ms, 1, m)
		assert.Equal(t, want, c.Phase(), "token %d", token)
	}
}

func TestWhatIsOfAnEndedLifeOrOfNoQuestionChangesNothing(t *testing.T) {
	c := core(1, PreviousIncarnation{Peers: map[string]PeerProgress{"d1": {Incarnation: 5, Nonce: 9, PersistedKeys: 3}}})
	c.TakeActions()
	forged := answer(c, 1, Serving)
	forged.Incarnation = 4
	c.Receive(ms, 1, forged)
	assert.Empty(t, c.TakeActions().Replies, "life 4 has ended")
	late := answer(c, 2, Serving)
	late.Number--
	c.Receive(ms, 2, late)
	assert.Empty(t, c.TakeActions().Replies, "an answer to another question")
	strange := answer(c, 3, Serving)
	strange.From = "d9"
	c.Receive(ms, 3, strange)
	assert.Empty(t, c.TakeActions().Replies)
	assert.Equal(t, PeerProgress{Incarnation: 5, Nonce: 9, PersistedKeys: 3}, c.Peers()["d1"], "and what was known is kept for others")
}

func TestPartsMayComeTwiceAndInAnyOrder(t *testing.T) {
	c := core(1, PreviousIncarnation{})
	c.TakeActions()
	part := func(n uint16) *messaging.Message {
		m := answer(c, 1, SlowStart)
		m.Part, m.Parts = n, 3
		return m
	}
	for _, n := range []uint16{2, 0, 2, 0} {
		c.Receive(ms, 1, part(n))
		whole, _ := c.PeersAnswered()
		assert.Zero(t, whole)
	}
	c.Receive(ms, 1, part(1))
	whole, of := c.PeersAnswered()
	assert.Equal(t, []int{1, 3}, []int{whole, of})
}

// Guards against two that ask one another for ever.
func TestQuestionsHeardAreNotAnsweredByQuestions(t *testing.T) {
	c := core(1, PreviousIncarnation{})
	c.TakeActions()
	for n := range 50 {
		c.Receive(time.Duration(n)*ms, 1, &messaging.Message{Kind: messaging.Query, From: "d1", Incarnation: 1, Nonce: 1, Number: uint32(n)})
	}
	out := c.TakeActions()
	assert.Len(t, out.Queries, 50)
	assert.Empty(t, out.Messages)
}

func TestRepeatsGoToTheirGroupOrAreErrorsForAWindow(t *testing.T) {
	k := NewKeys(40 * time.Second)
	now := int64(1_000_000)
	k.Restore(messaging.Key{Sum: 1, Worker: "w1", Zone: "a", SentAt: now - 10_000, ExpiresAt: now + 30_000})
	k.AddFromPeer(messaging.Key{Sum: 2, Worker: "w1", Zone: "a", SentAt: now - 10_000, ExpiresAt: now + 30_000})
	k.AddFromPeer(messaging.Key{Sum: 2, Worker: "w2", Zone: "b", SentAt: now - 9_000, ExpiresAt: now + 31_000})
	k.AddFromPeer(messaging.Key{Sum: 3, Worker: "w1", Zone: "a", SentAt: now - 90_000, ExpiresAt: now - 50_000})
	k.AddFromPeer(messaging.Key{Sum: 4, Worker: "w1", Zone: "a", SentAt: now + 5_000, ExpiresAt: now + 45_000})
	look := func(sum uint64, again, open bool, lived time.Duration) (bool, error) {
		_, found, err := k.Find(sum, again, open, now, lived)
		return found, err
	}
	found, err := look(1, false, false, 0)
	assert.True(t, found, "also where its client does not mark it")
	assert.NoError(t, err)
	_, err = look(2, true, false, 0)
	assert.ErrorIs(t, err, ErrGroups)
	_, err = look(3, true, false, time.Second)
	assert.ErrorIs(t, err, ErrClock, "that its window is over rests on the clock alone")
	_, err = look(4, true, false, time.Second)
	assert.ErrorIs(t, err, ErrClock, "sent in the future")
	_, err = look(9, true, true, time.Second)
	assert.ErrorIs(t, err, ErrNotTold)
	found, err = look(9, false, true, time.Second)
	assert.False(t, found || err != nil, "nothing says that it is a repeat")
	found, err = look(3, true, false, 41*time.Second)
	assert.False(t, found || err != nil, "a window has been lived through")
	assert.Len(t, k.ForPeers(now, time.Second), 1, "what others told is not told on")
}

func TestTrustFollowsAgeClockAndCase(t *testing.T) {
	for _, k := range []struct {
		fact Fact
		age  time.Duration
		who  Outage
		want bool
	}{
		{FactCapacity, time.Hour, FleetWide, true},
		{FactCapacity, 25 * time.Hour, FleetWide, false},
		{FactCapacity, -time.Minute, FleetWide, false},
		{FactBackoffs, time.Second, OnlyThis, true},
		{FactBackoffs, time.Second, FleetWide, false},
		{FactBackoffs, time.Minute, OnlyThis, false},
		{FactQuotas, 2 * time.Minute, Partial, false},
		{FactList, 1000 * time.Hour, FleetWide, true},
		{FactNonIdempotent, 0, OnlyThis, false},
		{FactWarmupSends, 0, OnlyThis, false},
		{FactManualDrain, 1000 * time.Hour, FleetWide, true},
	} {
		ok, why := IsTrusted(k.fact, RecordAgeOf(10_000_000, 10_000_000+k.age.Milliseconds()), k.who)
		assert.Equal(t, k.want, ok, "%s, %v, %v: %s", TrustRules[k.fact].Name, k.age, k.who, why)
		assert.Equal(t, ok, why == "")
	}
	for f, row := range TrustRules {
		assert.Equal(t, Fact(f), row.Fact)
		for _, text := range []string{row.Name, row.Stored, row.CheckedWith, row.Default, row.IfWrong} {
			assert.NotEmpty(t, text, row.Name)
		}
	}
}

// Guards against one who, by asking, makes those forget who could tell it that its disk is old.
func TestOneThatAsksIsToldOfItsLifeBefore(t *testing.T) {
	c := core(1, PreviousIncarnation{})
	c.Receive(ms, 1, &messaging.Message{Kind: messaging.Heartbeat, From: "d1", Incarnation: 4, Nonce: 44, PersistedKeys: 17})
	c.Receive(2*ms, 1, &messaging.Message{Kind: messaging.Query, From: "d1", Incarnation: 5, Nonce: 55, Number: 1})
	q := c.TakeActions().Queries[0]
	told := c.Reply(q, LocalKnowledge{})[0]
	assert.Equal(t, []uint64{4, 44, 17}, []uint64{told.YourIncarnation, told.YourNonce, told.YourPersistedKeys})
	assert.EqualValues(t, longAgo, told.HeardAgoMillis)
	assert.Equal(t, PeerProgress{Incarnation: 5, Nonce: 55, PreviousIncarnation: 4, PreviousNonce: 44, PreviousPersistedKeys: 17}, c.Peers()["d1"], "also after an end of this one")
}

// Guards against one that serves before those are back who would know its disk for old.
func TestKeysAreVouchedForByThoseWhoWereTold(t *testing.T) {
	c := core(2, PreviousIncarnation{Incarnation: 1})
	c.TakeActions()
	bad := func() bool { return c.Reply(Query{From: 3}, LocalKnowledge{})[0].KeysUnconfirmed }
	assert.True(t, bad())
	c.Receive(ms, 1, answer(c, 1, QueryingPeers))
	assert.True(t, bad(), "d2 was told too")
	c.Receive(ms, 2, answer(c, 2, QueryingPeers))
	assert.False(t, bad())
	c = core(2, PreviousIncarnation{Incarnation: 1})
	c.Tick(40 * time.Second)
	assert.False(t, bad(), "a window has been lived through")
}

// Guards against one that answers before it has heard how old its own disk is: it may have sent what it does not tell.
func TestKeysAreOpenUntilThoseWhoAnswerKnowTheirOwnDisks(t *testing.T) {
	c := core(2, PreviousIncarnation{Incarnation: 1})
	for n := range 3 {
		c.Receive(ms, n+1, answer(c, n+1, QueryingPeers))
	}
	assert.True(t, c.PeerKeysPending(2*ms))
	for n := range 3 {
		unsure := answer(c, n+1, Probing)
		unsure.KeysUnconfirmed = true
		c.Receive(3*ms, n+1, unsure)
	}
	assert.True(t, c.PeerKeysPending(4*ms), "nor while it cannot tell")
	for n := range 3 {
		c.Receive(5*ms, n+1, answer(c, n+1, Probing))
	}
	assert.False(t, c.PeerKeysPending(6*ms))
}
