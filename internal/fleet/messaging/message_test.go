package messaging

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPartsFitAPacketAndTogetherSayAll(t *testing.T) {
	for _, size := range []int{0, 1, 40, 400} {
		var workers []Worker
		var keys []Key
		for n := range size {
			workers = append(workers, Worker{ID: fmt.Sprintf("s-%08x", n), StartedAt: 1 << 41, State: "Terminating", InFlight: 99})
			keys = append(keys, Key{
				Sum: ^uint64(0), Worker: fmt.Sprintf("s-%08x", n), Zone: "north", Cell: 1 << 20,
				SentAt: 1 << 41, ExpiresAt: 1 << 41,
			})
		}
		first := Message{
			Kind: Reply, From: "dispatcher-with-a-long-name", Incarnation: 1 << 60, Nonce: ^uint64(0),
			Number: 1 << 31, Phase: 5, UptimeMillis: 1 << 40, YourIncarnation: 1 << 60, YourNonce: ^uint64(0), HeardAgoMillis: 1 << 40,
			KeysSuspect: true, MaxObserved: map[string]float64{"std-3c": 3.1, "big-16c": 16.5},
		}
		var gotWorkers []Worker
		var gotKeys []Key
		parts := Split(first, workers, keys)
		for n, p := range parts {
			b, err := Encode(&p)
			assert.NoError(t, err, "part %d of %d", n, len(parts))
			m, err := Decode(b)
			assert.NoError(t, err)
			assert.Equal(t, [2]uint16{uint16(n), uint16(len(parts))}, [2]uint16{m.Part, m.Parts})
			gotWorkers, gotKeys = append(gotWorkers, m.Workers...), append(gotKeys, m.Keys...)
		}
		assert.Equal(t, workers, gotWorkers)
		assert.Equal(t, keys, gotKeys)
	}
}

func TestWhatIsNoMessageIsTurnedDown(t *testing.T) {
	whole, err := Encode(&Message{Kind: Query, From: "d0", Incarnation: 1, Nonce: 2, Number: 3})
	assert.NoError(t, err)
	for cut := range whole {
		_, err := Decode(whole[:cut])
		assert.ErrorIs(t, err, ErrMalformed, "cut at %d", cut)
	}
	for _, m := range []Message{
		{},
		{Kind: Query},
		{Kind: 9, From: "d0"},
		{Kind: Reply, From: "d0"},
		{Kind: Reply, From: "d0", Part: 2, Parts: 2},
		{Kind: Query, From: "d0", UptimeMillis: -1},
	} {
		b, err := Encode(&m)
		assert.NoError(t, err)
		_, err = Decode(b)
		assert.ErrorIs(t, err, ErrMalformed, "%+v", m)
	}
	_, err = Decode(make([]byte, MaxDatagramBytes+1))
	assert.ErrorIs(t, err, ErrMalformed)
}
