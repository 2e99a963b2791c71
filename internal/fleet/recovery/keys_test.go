package recovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/fleet/messaging"
)

func TestRepeatsGoToTheirGroupOrFailWithinDedupWindow(t *testing.T) {
	const now = int64(1_000_000)
	keys := NewKeys(40 * time.Second)
	keys.Restore(messaging.Key{Sum: 1, Worker: "w1", Zone: "a", SentAt: now - 10_000, ExpiresAt: now + 30_000})
	keys.AddFromPeer(messaging.Key{Sum: 2, Worker: "w1", Zone: "a", SentAt: now - 10_000, ExpiresAt: now + 30_000})
	keys.AddFromPeer(messaging.Key{Sum: 2, Worker: "w2", Zone: "b", SentAt: now - 9_000, ExpiresAt: now + 31_000})
	keys.AddFromPeer(messaging.Key{Sum: 3, Worker: "w1", Zone: "a", SentAt: now - 90_000, ExpiresAt: now - 50_000})
	keys.AddFromPeer(messaging.Key{Sum: 4, Worker: "w1", Zone: "a", SentAt: now + 5_000, ExpiresAt: now + 45_000})
	for _, c := range []struct {
		name      string
		lookup    KeyLookup
		wantFound bool
		wantErr   error
	}{
		{"a known key without the client's mark", KeyLookup{Sum: 1}, true, nil},
		{"a key sent to two groups", KeyLookup{Sum: 2, MarkedRetry: true}, false, ErrMultipleGroups},
		{"a key expired by the clock alone", KeyLookup{Sum: 3, MarkedRetry: true, Uptime: time.Second}, false, ErrExpiryUncertain},
		{"a key sent in the future", KeyLookup{Sum: 4, MarkedRetry: true, Uptime: time.Second}, false, ErrExpiryUncertain},
		{
			"an unknown key while keys may be missing",
			KeyLookup{Sum: 9, MarkedRetry: true, KeysIncomplete: true, Uptime: time.Second},
			false, ErrKeysIncomplete,
		},
		{"an unknown key without the client's mark", KeyLookup{Sum: 9, KeysIncomplete: true, Uptime: time.Second}, false, nil},
		{"an expired key after a dedup window", KeyLookup{Sum: 3, MarkedRetry: true, Uptime: 41 * time.Second}, false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.lookup.UnixMillis = now
			key, err := keys.Find(c.lookup)
			assert.ErrorIs(t, err, c.wantErr)
			assert.Equal(t, c.wantFound, key != nil)
		})
	}
	assert.Len(t, keys.UnexpiredOwnKeys(now, time.Second), 1, "keys from peers must not be forwarded")
}
