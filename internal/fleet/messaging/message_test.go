package messaging

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSplitPartsFitDatagramAndKeepAllEntries(t *testing.T) {
	for _, size := range []int{0, 1, 40, 400} {
		t.Run(fmt.Sprint(size, " workers and keys"), func(t *testing.T) {
			var workers []Worker
			var keys []Key
			for n := range size {
				id := fmt.Sprintf("s-%08x", n)
				workers = append(workers, Worker{ID: id, StartedAt: 1 << 41, State: "Terminating", InFlight: 99})
				keys = append(keys, Key{
					Sum: ^uint64(0), Worker: id, Zone: "north", Cell: 1 << 20, SentAt: 1 << 41, ExpiresAt: 1 << 41,
				})
			}
			first := Message{
				Kind: Reply, From: "dispatcher-with-a-long-name", Incarnation: 1 << 60, Nonce: ^uint64(0),
				Number: 1 << 31, Phase: 5, UptimeMillis: 1 << 40, ReceiverIncarnation: 1 << 60, ReceiverNonce: ^uint64(0),
				ReceivedAgoMillis: 1 << 40, KeysSuspect: true, MaxObserved: map[string]float64{"std-3c": 3.1, "big-16c": 16.5},
			}
			var gotWorkers []Worker
			var gotKeys []Key
			parts := Split(first, workers, keys)
			for n, part := range parts {
				b, err := Encode(&part)
				assert.NoError(t, err, "part %d of %d", n, len(parts))
				msg, err := Decode(b)
				assert.NoError(t, err)
				assert.Equal(t, [2]uint16{uint16(n), uint16(len(parts))}, [2]uint16{msg.Part, msg.Parts})
				gotWorkers = append(gotWorkers, msg.Workers...)
				gotKeys = append(gotKeys, msg.Keys...)
			}
			assert.Equal(t, workers, gotWorkers)
			assert.Equal(t, keys, gotKeys)
		})
	}
}

func TestEncodeRejectsTooLongMessage(t *testing.T) {
	_, err := Encode(&Message{Kind: Reply, From: "d0", Parts: 1, Keys: make([]Key, MaxDatagramBytes)})
	assert.ErrorIs(t, err, ErrTooLong)
}

func TestDecodeRejectsMalformedMessages(t *testing.T) {
	complete, err := Encode(&Message{Kind: Query, From: "d0", Incarnation: 1, Nonce: 2, Number: 3})
	assert.NoError(t, err)
	for size := range complete {
		_, err := Decode(complete[:size])
		assert.ErrorIs(t, err, ErrMalformed, "truncated to %d bytes", size)
	}
	_, err = Decode(make([]byte, MaxDatagramBytes+1))
	assert.ErrorIs(t, err, ErrMalformed)
	for _, c := range []struct {
		name string
		msg  Message
	}{
		{"an empty message", Message{}},
		{"no sender", Message{Kind: Query}},
		{"an unknown kind", Message{Kind: 9, From: "d0"}},
		{"a reply without parts", Message{Kind: Reply, From: "d0"}},
		{"a part beyond the last", Message{Kind: Reply, From: "d0", Part: 2, Parts: 2}},
		{"a negative uptime", Message{Kind: Query, From: "d0", UptimeMillis: -1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, err := Encode(&c.msg)
			assert.NoError(t, err)
			_, err = Decode(b)
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}
