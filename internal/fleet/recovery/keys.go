package recovery

import (
	"errors"
	"time"

	"canvasroute/internal/fleet/messaging"
)

// Keys holds the idempotency keys under which requests may have run. Keys of this dispatcher's previous incarnations,
// read from its disk, and keys reported by peers decide where repeats are sent. Keys sent in this incarnation are only
// reported to peers.
type Keys struct {
	dedupWindow time.Duration
	previous    map[uint64]messaging.Key // by checksum; keys of previous incarnations and of peers
	restored    map[uint64]messaging.Key // by checksum; the subset of previous from this dispatcher's own disk
	sent        map[uint64]messaging.Key // by checksum; keys sent in this incarnation
}

// ambiguousWorker is the worker of a key that was sent to several dedup groups, so that the group that ran the request
// is unknown.
const ambiguousWorker = ""

// NewKeys returns an empty set of keys. dedupWindow is the longest duration for which workers drop repeats of a key.
func NewKeys(dedupWindow time.Duration) *Keys {
	return &Keys{
		dedupWindow: dedupWindow,
		previous:    map[uint64]messaging.Key{},
		restored:    map[uint64]messaging.Key{},
		sent:        map[uint64]messaging.Key{},
	}
}

// Restore adds a key of a previous incarnation from this dispatcher's own disk.
func (k *Keys) Restore(key messaging.Key) {
	k.restored[key.Sum] = key
	k.AddFromPeer(key)
}

// AddFromPeer adds a key that a peer reports. Restore also calls it, for keys from this dispatcher's own disk. If there
// are two records of a key, the one that expires later is kept. A key that was sent to two dedup groups is recorded
// with ambiguousWorker.
func (k *Keys) AddFromPeer(key messaging.Key) {
	previous, known := k.previous[key.Sum]
	switch {
	case !known:
	case previous.Zone != key.Zone || previous.Cell != key.Cell:
		key.Worker = ambiguousWorker
		key.ExpiresAt = max(key.ExpiresAt, previous.ExpiresAt)
	case previous.ExpiresAt > key.ExpiresAt:
		return
	}
	k.previous[key.Sum] = key
}

// AddSent adds a key sent in this incarnation.
func (k *Keys) AddSent(key messaging.Key) { k.sent[key.Sum] = key }

// Count returns the number of keys of previous incarnations and of peers.
func (k *Keys) Count() int { return len(k.previous) }

// UnexpiredOwnKeys returns the unexpired keys of this dispatcher's own disk and incarnation, to be sent to peers, and
// deletes the expired ones. Keys from peers are omitted, because a recovering dispatcher queries all members.
//
// now is Unix time in ms, and uptime is the time since the process started. The wall clock may have jumped, so no key
// expires before the process has run for a whole dedup window.
func (k *Keys) UnexpiredOwnKeys(now int64, uptime time.Duration) (keys []messaging.Key) {
	for _, own := range []map[uint64]messaging.Key{k.restored, k.sent} {
		for sum, key := range own {
			if key.ExpiresAt < now && uptime > k.dedupWindow {
				delete(own, sum)
				continue
			}
			keys = append(keys, key)
		}
	}
	return keys
}

// The reasons why Find cannot determine whether or where a request may have run.
var (
	ErrKeysIncomplete  = errors.New("the key is unknown, and keys of previous incarnations may be missing")
	ErrExpiryUncertain = errors.New("it is uncertain whether the key has expired, because the wall clock may have jumped")
	ErrMultipleGroups  = errors.New("the key was sent to two dedup groups")
)

// KeyLookup holds the parameters of Keys.Find.
type KeyLookup struct {
	Sum            uint64        // checksum of the operation and the key
	MarkedRetry    bool          // the client marked the request as a retry
	KeysIncomplete bool          // requests may have run under keys that this dispatcher does not have
	UnixMillis     int64         // current time as Unix time in ms
	Uptime         time.Duration // since the process started
}

// Find returns the unexpired record of a request that may have run under a key, sent by a previous incarnation or a
// peer, or nil if there is none. It fails with ErrKeysIncomplete if a marked retry has no record, but keys may be
// missing; with ErrMultipleGroups if the dedup group is unknown; and with ErrExpiryUncertain if the key may or may not
// have expired.
func (k *Keys) Find(lookup KeyLookup) (*messaging.Key, error) {
	key, known := k.previous[lookup.Sum]
	if !known {
		if lookup.MarkedRetry && lookup.KeysIncomplete {
			return nil, ErrKeysIncomplete
		}
		return nil, nil
	}
	window := key.ExpiresAt - key.SentAt
	remaining := key.ExpiresAt - lookup.UnixMillis
	switch {
	case remaining <= 0 && lookup.Uptime > k.dedupWindow:
		delete(k.previous, lookup.Sum)
		return nil, nil
	case key.Worker == ambiguousWorker:
		return nil, ErrMultipleGroups
	case remaining <= 0, remaining > window:
		return nil, ErrExpiryUncertain
	}
	return &key, nil
}
