package store

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"
)

// Key tells that a request under an idempotency key may have run in a dedup group of workers. It is durable before the
// first byte is sent to the worker: after a loss of power nobody else knows of it.
type Key struct {
	Sum       uint64 `cbor:"1,keyasint"` // checksum of the operation and the key
	Worker    string `cbor:"2,keyasint"` // that the request was sent to
	Zone      string `cbor:"3,keyasint"`
	Cell      int    `cbor:"4,keyasint"`
	SentAt    int64  `cbor:"5,keyasint"` // Unix time in ms
	ExpiresAt int64  `cbor:"6,keyasint"` // Unix time in ms from which workers no longer drop repeats
}

const (
	// segmentPrefix is the beginning of a segment's file name; its number follows.
	segmentPrefix = "keys."
	// segmentMillis is how long keys are appended to one segment.
	segmentMillis = 30_000
	// clockSlackMillis is how much longer than its keys a segment is kept, since the wall clock may have been off.
	clockSlackMillis = 60_000
)

// keyBatch is the keys that became durable by one sync.
type keyBatch struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	First       uint64 `cbor:"2,keyasint"` // keys persisted before in that incarnation
	Keys        []Key  `cbor:"3,keyasint"`
}

// keyJournal holds keys in segments to which batches are appended. A batch that is cut off at the end of a segment was never
// acknowledged; a damaged one before the end means that the disk has lost something.
type keyJournal struct {
	disk             Disk
	segment          int           // to which the next batch goes
	segmentStartedAt int64         // Unix time in ms of its first batch, 0 for none
	expiry           map[int]int64 // by segment: Unix time in ms at which the last of its keys expires
	incarnation      uint64        // of the keys that are written, or of the last that was read
	count            uint64        // keys persisted in that incarnation
}

// begin starts counting the keys of an incarnation.
func (j *keyJournal) begin(incarnation uint64) {
	j.incarnation = incarnation
	j.count = 0
}

// countOf returns how many keys of an incarnation were read.
func (j *keyJournal) countOf(incarnation uint64) uint64 {
	if incarnation != j.incarnation {
		return 0
	}
	return j.count
}

func segmentName(n int) string { return segmentPrefix + strconv.Itoa(n) }

// segmentNumber returns the number of the segment in a file; ok is false for any other file.
func segmentNumber(file string) (n int, ok bool) {
	digits, found := strings.CutPrefix(file, segmentPrefix)
	n, err := strconv.Atoi(digits)
	return n, found && err == nil && n > 0
}

// read returns all keys that are complete. The error names what is lost.
func (j *keyJournal) read() (keys []Key, lost error) {
	files, err := j.disk.Names()
	if err != nil {
		return nil, err
	}
	var segments []int
	for _, file := range files {
		if n, ok := segmentNumber(file); ok {
			segments = append(segments, n)
		}
	}
	slices.Sort(segments)
	j.expiry = map[int]int64{}
	for _, n := range segments {
		j.segment = max(j.segment, n)
		found, err := j.readSegment(n)
		keys = append(keys, found...)
		lost = errors.Join(lost, err)
	}
	j.segment++ // nothing is appended behind a batch that was cut off
	return keys, lost
}

// readSegment returns the keys of one segment up to the first damaged batch.
func (j *keyJournal) readSegment(n int) (keys []Key, lost error) {
	b, err := j.disk.Read(segmentName(n))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	for err == nil && len(b) > 0 {
		var batch keyBatch
		if b, err = decodeRecord(b, kindKeys, &batch); err != nil {
			break
		}
		if batch.Incarnation == j.incarnation && batch.First > j.count {
			lost = errors.Join(lost, fmt.Errorf("%s: %w", segmentName(n), ErrKeysMissing))
		}
		j.incarnation = batch.Incarnation
		j.count = batch.First + uint64(len(batch.Keys))
		keys = append(keys, batch.Keys...)
		j.extendExpiry(n, batch.Keys)
	}
	if err != nil {
		lost = errors.Join(lost, fmt.Errorf("%s: %w", segmentName(n), err))
	}
	return keys, lost
}

// append persists a batch of keys. After a failure the next batch goes to a new segment: what was appended since the last
// sync may be on disk in part.
func (j *keyJournal) append(keys []Key, now int64) error {
	if j.segmentStartedAt > 0 && now-j.segmentStartedAt > segmentMillis {
		j.removeExpired(now)
		j.startSegment()
	}
	record, err := encodeRecord(kindKeys, keyBatch{Incarnation: j.incarnation, First: j.count, Keys: keys})
	if err != nil {
		return err
	}
	newSegment := j.segmentStartedAt == 0
	if err := j.write(segmentName(j.segment), record, newSegment); err != nil {
		err = fmt.Errorf("writing %s: %w", segmentName(j.segment), err)
		j.startSegment()
		return err
	}
	if newSegment {
		j.segmentStartedAt = now
	}
	j.count += uint64(len(keys))
	j.extendExpiry(j.segment, keys)
	return nil
}

// write appends a record to a segment, and returns once it is durable.
func (j *keyJournal) write(file string, record []byte, newSegment bool) error {
	if err := j.disk.Append(file, record); err != nil {
		return err
	}
	if err := j.disk.Sync(file); err != nil {
		return err
	}
	if !newSegment {
		return nil
	}
	return j.disk.SyncNames()
}

// startSegment makes the next batch go to a new segment.
func (j *keyJournal) startSegment() {
	j.segment++
	j.segmentStartedAt = 0
}

// removeExpired removes the segments of which no key counts any more.
func (j *keyJournal) removeExpired(now int64) {
	for n, expiry := range j.expiry {
		if expiry >= now-clockSlackMillis {
			continue
		}
		if err := j.disk.Remove(segmentName(n)); err == nil || errors.Is(err, fs.ErrNotExist) {
			delete(j.expiry, n) // else it is tried again with the next segment
		}
	}
}

// extendExpiry takes that a segment holds keys.
func (j *keyJournal) extendExpiry(segment int, keys []Key) {
	for _, k := range keys {
		j.expiry[segment] = max(j.expiry[segment], k.ExpiresAt)
	}
}
