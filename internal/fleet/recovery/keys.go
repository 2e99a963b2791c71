package recovery

import (
	"errors"
	"time"

	"canvasroute/internal/fleet/messaging"
)

// Keys are the idempotency keys under which requests may have run. Those of previous incarnations, from this dispatcher's
// disk and from peers, decide where a repeat goes. Keys that this incarnation sends are only reported to peers.
type Keys struct {
	dedupWindow time.Duration
	previous    map[uint64]messaging.Key // by checksum, of all dispatchers
	restored    map[uint64]messaging.Key // of previous, those of this dispatcher's own disk
	sent        map[uint64]messaging.Key // by checksum, in this incarnation
}

// noSingleWorker is the worker of a key that was sent to several dedup groups, so that nobody knows where it ran.
const noSingleWorker = ""

// NewKeys returns an empty set of keys. dedupWindow is the longest time in which workers drop the repeats of a key.
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

// AddFromPeer adds a key of a previous incarnation of any dispatcher. Of two records of a key the one that expires later
// counts; a key that went to two dedup groups counts as sent to neither.
func (k *Keys) AddFromPeer(key messaging.Key) {
	previous, known := k.previous[key.Sum]
	switch {
	case !known:
	case previous.Zone != key.Zone || previous.Cell != key.Cell:
		key.Worker = noSingleWorker
		key.ExpiresAt = max(key.ExpiresAt, previous.ExpiresAt)
	case previous.ExpiresAt > key.ExpiresAt:
		return
	}
	k.previous[key.Sum] = key
}

// AddSent adds a key that this incarnation sends.
func (k *Keys) AddSent(key messaging.Key) { k.sent[key.Sum] = key }

// Count returns how many keys of previous incarnations are known.
func (k *Keys) Count() int { return len(k.previous) }

// ForPeers returns the keys of this dispatcher's own disk and incarnation that may not have expired, and forgets the
// others. Keys from peers are left out: a dispatcher that recovers asks all members.
//
// now is Unix time in ms, and uptime the time since the process started. The wall clock may have jumped, so it expires no
// key before the process has run for a whole dedup window.
func (k *Keys) ForPeers(now int64, uptime time.Duration) (keys []messaging.Key) {
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

// The reasons for which nobody can tell where a request under a key may have run.
var (
	ErrKeysPending      = errors.New("peers that may know the key have not answered")
	ErrClockImplausible = errors.New("the wall clock does not fit the time at which the key was sent")
	ErrSeveralGroups    = errors.New("the key went to two dedup groups")
)

// KeyLookup is a request whose key is looked up.
type KeyLookup struct {
	Sum          uint64        // checksum of the operation and the key
	MarkedRepeat bool          // the client marks the request as a repeat
	KeysPending  bool          // requests may have run under keys that are unknown here
	Now          int64         // Unix time in ms
	Uptime       time.Duration // since the process started
}

// Find returns where a request under a key may have run in a previous incarnation, nil for nowhere. It fails where the
// request may have run and nobody can tell where, or whether the key has expired: with ErrKeysPending,
// ErrClockImplausible or ErrSeveralGroups.
func (k *Keys) Find(lookup KeyLookup) (*messaging.Key, error) {
	key, known := k.previous[lookup.Sum]
	if !known {
		if lookup.MarkedRepeat && lookup.KeysPending {
			return nil, ErrKeysPending
		}
		return nil, nil
	}
	window := key.ExpiresAt - key.SentAt
	remaining := key.ExpiresAt - lookup.Now
	switch {
	case remaining <= 0 && lookup.Uptime > k.dedupWindow:
		delete(k.previous, lookup.Sum)
		return nil, nil
	case key.Worker == noSingleWorker:
		return nil, ErrSeveralGroups
	case remaining <= 0, remaining > window:
		return nil, ErrClockImplausible
	}
	return &key, nil
}
