package store

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"
)

// Key records that a request under an idempotency key may have run in a dedup group of workers. It is durable before the
// first byte is sent to the worker, since after a loss of power nobody else knows that.
type Key struct {
	Sum       uint64 `cbor:"1,keyasint"` // checksum of the operation and the key
	Worker    string `cbor:"2,keyasint"` // to which the request was sent
	Zone      string `cbor:"3,keyasint"` // of that worker
	Cell      int    `cbor:"4,keyasint"` // of that worker
	SentAt    int64  `cbor:"5,keyasint"` // Unix time in ms
	ExpiresAt int64  `cbor:"6,keyasint"` // Unix time in ms from which workers no longer drop repeats
}

const (
	// segmentPrefix is the beginning of a segment's file name; its number follows.
	segmentPrefix = "keys."
	// segmentMillis is how long keys are appended to one segment.
	segmentMillis = 30_000
	// clockSlackMillis is how long a segment is kept after its last key has expired, since the wall clock may have been
	// off.
	clockSlackMillis = 60_000
)

// keyBatch is the keys that became durable by one sync.
type keyBatch struct {
	Incarnation uint64 `cbor:"1,keyasint"` // that wrote it
	First       uint64 `cbor:"2,keyasint"` // number of keys that the incarnation had persisted before
	Keys        []Key  `cbor:"3,keyasint"`
}

// keyJournal holds keys in segments to which batches are appended. A batch that is cut off at the end of a segment may
// never have been acknowledged. A damaged one before the end means that the disk has lost something.
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

func segmentName(number int) string { return segmentPrefix + strconv.Itoa(number) }

// segmentNumber returns the number of the segment in a file. isSegment is false for any other file.
func segmentNumber(file string) (number int, isSegment bool) {
	digits, found := strings.CutPrefix(file, segmentPrefix)
	number, err := strconv.Atoi(digits)
	return number, found && err == nil && number > 0
}

// read returns all keys that are complete. The error names what is lost.
func (j *keyJournal) read() (keys []Key, lost error) {
	files, err := j.disk.Names()
	if err != nil {
		return nil, err
	}
	var segments []int
	for _, file := range files {
		if segment, isSegment := segmentNumber(file); isSegment {
			segments = append(segments, segment)
		}
	}
	slices.Sort(segments)
	j.expiry = map[int]int64{}
	for _, segment := range segments {
		j.segment = max(j.segment, segment)
		found, err := j.readSegment(segment)
		keys = append(keys, found...)
		lost = errors.Join(lost, err)
	}
	j.segment++ // nothing is appended behind a batch that was cut off
	return keys, lost
}

// readSegment returns the keys of one segment up to the first damaged batch.
func (j *keyJournal) readSegment(segment int) (keys []Key, lost error) {
	remaining, err := j.disk.Read(segmentName(segment))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	for err == nil && len(remaining) > 0 {
		var batch keyBatch
		if remaining, err = decodeRecord(remaining, kindKeys, &batch); err != nil {
			break
		}
		if batch.Incarnation == j.incarnation && batch.First > j.count {
			lost = errors.Join(lost, fmt.Errorf("%s: %w", segmentName(segment), ErrKeysMissing))
		}
		j.incarnation = batch.Incarnation
		j.count = batch.First + uint64(len(batch.Keys))
		keys = append(keys, batch.Keys...)
		j.extendExpiry(segment, batch.Keys)
	}
	if err != nil {
		lost = errors.Join(lost, fmt.Errorf("%s: %w", segmentName(segment), err))
	}
	return keys, lost
}

// append persists a batch of keys. now is Unix time in ms. After a failure the next batch goes to a new segment: what was
// appended since the last sync may be on disk in part.
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

// removeExpired removes the segments whose keys have all expired.
func (j *keyJournal) removeExpired(now int64) {
	for segment, expiry := range j.expiry {
		if expiry >= now-clockSlackMillis {
			continue
		}
		if err := j.disk.Remove(segmentName(segment)); err == nil || errors.Is(err, fs.ErrNotExist) {
			delete(j.expiry, segment) // after another error it is removed with the next segment
		}
	}
}

// extendExpiry records that a segment holds keys.
func (j *keyJournal) extendExpiry(segment int, keys []Key) {
	for _, key := range keys {
		j.expiry[segment] = max(j.expiry[segment], key.ExpiresAt)
	}
}
