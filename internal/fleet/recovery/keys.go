package recovery

import (
	"errors"
	"time"

	"canvasroute/internal/fleet/messaging"
)

// Keys are where invocations may have run before this life, as the disk and others tell, and those that go out in
// it, for others. The two are kept apart: what this life sends changes nothing for it.
type Keys struct {
	window      time.Duration // the longest of a dedup group
	before, own map[uint64]messaging.Key
	mine        map[uint64]messaging.Key // of before, those of this dispatcher's own disk
}

// NewKeys makes an empty one.
func NewKeys(window time.Duration) *Keys {
	return &Keys{
		window: window, before: map[uint64]messaging.Key{}, own: map[uint64]messaging.Key{},
		mine: map[uint64]messaging.Key{},
	}
}

// Restore takes a key of before this life from this dispatcher's own disk.
func (k *Keys) Restore(key messaging.Key) {
	k.mine[key.Sum] = key
	k.AddFromPeer(key)
}

// AddFromPeer takes a key of before this life. The latest counts; one that went to two groups is known for neither.
func (k *Keys) AddFromPeer(key messaging.Key) {
	was, known := k.before[key.Sum]
	switch {
	case !known:
	case was.Zone != key.Zone || was.Cell != key.Cell:
		key.Worker, key.ExpiresAt = "", max(key.ExpiresAt, was.ExpiresAt)
	case was.ExpiresAt > key.ExpiresAt:
		return
	}
	k.before[key.Sum] = key
}

// AddSent takes a key of this life.
func (k *Keys) AddSent(key messaging.Key) { k.own[key.Sum] = key }

// Count is how many of before there are.
func (k *Keys) Count() int { return len(k.before) }

// ForPeers are those of this dispatcher's own disk and life whose window may not be over: one who asks, asks all, and
// what others have told would come to it once from each. It forgets the rest. Until a window after this process's start the
// clock is not believed to say that one is over: it may have jumped. now is Unix time in ms.
func (k *Keys) ForPeers(now int64, lived time.Duration) (keys []messaging.Key) {
	for _, all := range []map[uint64]messaging.Key{k.mine, k.own} {
		for sum, key := range all {
			if key.ExpiresAt < now && lived > k.window {
				delete(all, sum)
				continue
			}
			keys = append(keys, key)
		}
	}
	return keys
}

// The ways that nobody can tell where an invocation under a key may have run.
var (
	ErrNotTold = errors.New("not all have told what they sent before")
	ErrClock   = errors.New("the clock does not fit the time at which it was sent")
	ErrGroups  = errors.New("it went to two groups")
)

// Find finds where an invocation under a key may have run before this life; found is false for nowhere. again is
// its client's mark of a repeat, open whether keys may have run that nobody here knows of. It fails where it may
// have run and nobody can tell where, or whether its window is over.
func (k *Keys) Find(sum uint64, again, open bool, now int64, lived time.Duration) (key messaging.Key, found bool,
	err error,
) {
	key, found = k.before[sum]
	left := key.ExpiresAt - now
	switch {
	case !found && again && open:
		return key, false, ErrNotTold
	case !found:
		return key, false, nil
	case left <= 0 && lived > k.window:
		delete(k.before, sum)
		return key, false, nil
	case key.Worker == "":
		return key, true, ErrGroups
	case left <= 0, left > key.ExpiresAt-key.SentAt:
		return key, true, ErrClock
	}
	return key, true, nil
}
