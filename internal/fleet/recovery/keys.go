package recovery

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"canvasroute/internal/fleet/messaging"
)

// Keys holds the idempotency keys under which requests may have run. Keys of this dispatcher's previous incarnations,
// read from its disk, and keys reported by peers decide where repeats are sent. Keys sent in this incarnation are only
// reported to peers.
type Keys struct {
	dedupWindow time.Duration
	previous    recordSet // records of previous incarnations and of peers
	restored    recordSet // the subset of previous from this dispatcher's own disk
	sent        recordSet // records of this incarnation
}

// recordSet is a set of records, by the checksum of their key. A key has a record for each attempt. Records arrive
// repeatedly and in any order, as several peers report them, so the set holds each of them once and keeps all.
type recordSet map[uint64][]messaging.Key

func (s recordSet) add(record messaging.Key) {
	if !slices.Contains(s[record.Sum], record) {
		s[record.Sum] = append(s[record.Sum], record)
	}
}

// deleteWhere deletes the records of a key for which isObsolete returns true, and returns those that remain.
func (s recordSet) deleteWhere(sum uint64, isObsolete func(messaging.Key) bool) []messaging.Key {
	remaining := slices.DeleteFunc(s[sum], isObsolete)
	if len(remaining) == 0 {
		delete(s, sum)
		return nil
	}
	s[sum] = remaining
	return remaining
}

// NewKeys returns an empty set of keys. dedupWindow is the longest duration for which workers drop repeats of a key.
func NewKeys(dedupWindow time.Duration) *Keys {
	return &Keys{dedupWindow: dedupWindow, previous: recordSet{}, restored: recordSet{}, sent: recordSet{}}
}

// Restore adds a key of a previous incarnation from this dispatcher's own disk.
func (k *Keys) Restore(key messaging.Key) {
	k.restored.add(key)
	k.previous.add(key)
}

// AddFromPeer adds a key that a peer reports.
func (k *Keys) AddFromPeer(key messaging.Key) { k.previous.add(key) }

// AddSent adds a key sent in this incarnation.
func (k *Keys) AddSent(key messaging.Key) { k.sent.add(key) }

// Count returns the number of keys of previous incarnations and of peers.
func (k *Keys) Count() int { return len(k.previous) }

// UnexpiredOwnKeys returns the unexpired keys of this dispatcher's own disk and incarnation, to be sent to peers, and
// deletes the expired ones. Keys from peers are omitted, because a recovering dispatcher queries all members.
//
// now is Unix time in ms, and uptime is the time since the process started. The wall clock may have jumped, so no key
// expires before the process has run for a whole dedup window.
func (k *Keys) UnexpiredOwnKeys(now int64, uptime time.Duration) (keys []messaging.Key) {
	isExpired := func(record messaging.Key) bool { return record.ExpiresAt < now && uptime > k.dedupWindow }
	for _, own := range []recordSet{k.restored, k.sent} {
		for sum := range own {
			keys = append(keys, own.deleteWhere(sum, isExpired)...)
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

// Find returns the first unexpired record of a request that may have run under a key, sent by a previous incarnation or
// a peer, or nil if there is none. It fails with ErrKeysIncomplete if a marked retry has no record, but keys may be
// missing; with ErrMultipleGroups if the records name several dedup groups; and with ErrExpiryUncertain if a record may
// or may not have expired.
func (k *Keys) Find(lookup KeyLookup) (*messaging.Key, error) {
	if len(k.previous[lookup.Sum]) == 0 {
		if lookup.MarkedRetry && lookup.KeysIncomplete {
			return nil, ErrKeysIncomplete
		}
		return nil, nil
	}
	records := k.previous.deleteWhere(lookup.Sum, func(record messaging.Key) bool {
		return record.ExpiresAt <= lookup.UnixMillis && lookup.Uptime > k.dedupWindow
	})
	if len(records) == 0 {
		return nil, nil
	}
	first := slices.MinFunc(records, compareRecords)
	switch {
	case slices.ContainsFunc(records, func(record messaging.Key) bool { return !isSameGroup(record, first) }):
		return nil, ErrMultipleGroups
	case slices.ContainsFunc(records, lookup.isExpiryUncertain):
		return nil, ErrExpiryUncertain
	}
	return &first, nil
}

// isSameGroup reports whether two attempts were sent to the same dedup group.
func isSameGroup(a, b messaging.Key) bool { return a.Zone == b.Zone && a.Cell == b.Cell }

// compareRecords orders the records of a key by the time at which their attempts were sent. The workers of a group drop
// repeats for a dedup window from the first one.
func compareRecords(a, b messaging.Key) int {
	return cmp.Or(cmp.Compare(a.SentAt, b.SentAt), cmp.Compare(a.ExpiresAt, b.ExpiresAt), cmp.Compare(a.Worker, b.Worker))
}

// isExpiryUncertain reports whether the clock shows that a record has expired, or that it is from the future.
func (l *KeyLookup) isExpiryUncertain(record messaging.Key) bool {
	remaining := record.ExpiresAt - l.UnixMillis
	return remaining <= 0 || remaining > record.ExpiresAt-record.SentAt
}
