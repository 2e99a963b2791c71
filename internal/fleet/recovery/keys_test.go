package recovery

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

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

// A record that arrives a second time must not hide that the key went to two groups: the repeat would be sent to the
// wrong one and run again.
func TestKeySentToTwoGroupsStaysAmbiguous(t *testing.T) {
	const now = int64(1_000_000)
	inZone := func(zone string, sentAt int64) messaging.Key {
		return messaging.Key{Sum: 1, Worker: "w-" + zone, Zone: zone, SentAt: sentAt, ExpiresAt: sentAt + 40_000}
	}
	keys := NewKeys(40 * time.Second)
	for _, record := range []messaging.Key{inZone("a", now-2), inZone("b", now-1), inZone("b", now-1)} {
		keys.AddFromPeer(record)
	}
	_, err := keys.Find(KeyLookup{Sum: 1, MarkedRetry: true, UnixMillis: now, Uptime: time.Second})
	assert.ErrorIs(t, err, ErrMultipleGroups)
}

// The workers of a group drop repeats for one dedup window from the first attempt, not from the last.
func TestDedupWindowBeginsWithTheFirstRecord(t *testing.T) {
	const now = int64(1_000_000)
	keys := NewKeys(40 * time.Second)
	for _, sentAt := range []int64{now - 10_000, now - 30_000, now - 20_000} {
		keys.Restore(messaging.Key{Sum: 1, Worker: "w", Zone: "a", SentAt: sentAt, ExpiresAt: sentAt + 40_000})
	}
	found, err := keys.Find(KeyLookup{Sum: 1, MarkedRetry: true, UnixMillis: now, Uptime: time.Second})
	assert.NoError(t, err)
	assert.Equal(t, now-30_000, found.SentAt)
	assert.Len(t, keys.UnexpiredOwnKeys(now, time.Second), 3, "peers get each record")
}

// Peers report the same records repeatedly and in any order, which must not change where a repeat is sent.
func TestFindDoesNotDependOnOrderOrRepetitionOfRecords(t *testing.T) {
	const now = int64(1_000_000)
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) messaging.Key {
			sentAt := now + rapid.Int64Range(-60_000, 1_000).Draw(t, "sent at")
			return messaging.Key{
				Sum:    1,
				Worker: rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(t, "worker"),
				Zone:   rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "zone"),
				Cell:   rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "cell"),
				SentAt: sentAt, ExpiresAt: sentAt + rapid.SampledFrom([]int64{20_000, 40_000}).Draw(t, "window"),
			}
		}), 1, 5).Draw(t, "records")
		uptime := rapid.SampledFrom([]time.Duration{time.Second, 41 * time.Second}).Draw(t, "uptime")
		find := func(arrivals []messaging.Key) (*messaging.Key, error) {
			keys := NewKeys(40 * time.Second)
			for _, record := range arrivals {
				keys.AddFromPeer(record)
			}
			return keys.Find(KeyLookup{Sum: 1, MarkedRetry: true, UnixMillis: now, Uptime: uptime})
		}
		repeated := slices.Concat(records, rapid.SliceOfN(rapid.SampledFrom(records), 0, 5).Draw(t, "repeated"))
		shuffled := rapid.Permutation(repeated).Draw(t, "arrivals")
		wantKey, wantErr := find(records)
		gotKey, gotErr := find(shuffled)
		assert.Equal(t, wantErr, gotErr)
		assert.Equal(t, wantKey, gotKey)
	})
}
