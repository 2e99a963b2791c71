package store

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"
)

// Key records that a request with an idempotency key may have run in a dedup group of workers. The record is durable
// before the first byte is sent to the worker, because after a power loss it is the only evidence of the request.
type Key struct {
	Sum       uint64 `cbor:"1,keyasint"` // checksum of the operation and the key
	Worker    string `cbor:"2,keyasint"` // the worker to which the request was sent
	Zone      string `cbor:"3,keyasint"` // of that worker
	Cell      int    `cbor:"4,keyasint"` // of that worker
	SentAt    int64  `cbor:"5,keyasint"` // Unix time in ms
	ExpiresAt int64  `cbor:"6,keyasint"` // Unix time in ms at which workers stop dropping repeats
}

const (
	// segmentPrefix is the prefix of a segment's file name, which ends with the segment's number.
	segmentPrefix = "keys."
	// segmentMillis is the duration for which keys are appended to one segment.
	segmentMillis = 30_000
	// clockSlackMillis is the duration for which a segment is kept after its last key has expired, because the wall
	// clock may have been wrong.
	clockSlackMillis = 60_000
)

// keyBatch is a batch of keys that one sync makes durable.
type keyBatch struct {
	Incarnation uint64 `cbor:"1,keyasint"` // number of the incarnation that wrote the batch, before RaiseIncarnation
	First       uint64 `cbor:"2,keyasint"` // number of keys that the incarnation had persisted before this batch
	Keys        []Key  `cbor:"3,keyasint"`
}

// keyJournal stores keys in segments to which batches are appended. A batch that is truncated at the end of a segment
// may never have been acknowledged. A damaged batch before the end means that the disk has lost data.
type keyJournal struct {
	disk             Disk
	segment          int           // the segment to which the next batch is appended
	segmentStartedAt int64         // Unix time in ms of the segment's first batch, 0 if it has none
	expiry           map[int]int64 // by segment: Unix time in ms at which its last key expires
	incarnation      uint64        // of the keys being written, or of the last key that was read
	persistedCount   uint64        // keys persisted in that incarnation
}

// begin resets the key count for a new incarnation.
func (j *keyJournal) begin(incarnation uint64) {
	j.incarnation = incarnation
	j.persistedCount = 0
}

// keyCount returns the number of keys that an incarnation had persisted, up to the last key read. It returns 0 unless
// that key is of this incarnation.
func (j *keyJournal) keyCount(incarnation uint64) uint64 {
	if incarnation != j.incarnation {
		return 0
	}
	return j.persistedCount
}

func segmentName(number int) string { return segmentPrefix + strconv.Itoa(number) }

// segmentNumber returns the number of the segment that a file holds. isSegment is false if the file is not a segment.
func segmentNumber(file string) (number int, isSegment bool) {
	digits, found := strings.CutPrefix(file, segmentPrefix)
	number, err := strconv.Atoi(digits)
	return number, found && err == nil && number > 0
}

// read returns the keys of each segment up to its first damaged batch. The returned error lists the damaged or missing
// records.
func (j *keyJournal) read() (keys []Key, readErr error) {
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
		readErr = errors.Join(readErr, err)
	}
	j.segment++ // never append after a truncated batch
	return keys, readErr
}

// readSegment returns the keys of one segment up to the first damaged batch.
func (j *keyJournal) readSegment(segment int) (keys []Key, readErr error) {
	remaining, err := j.disk.Read(segmentName(segment))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	for err == nil && len(remaining) > 0 {
		var batch keyBatch
		if remaining, err = decodeRecord(remaining, kindKeys, &batch); err != nil {
			break
		}
		if batch.Incarnation == j.incarnation && batch.First > j.persistedCount {
			readErr = errors.Join(readErr, fmt.Errorf("%s: %w", segmentName(segment), ErrKeysMissing))
		}
		j.incarnation = batch.Incarnation
		j.persistedCount = batch.First + uint64(len(batch.Keys))
		keys = append(keys, batch.Keys...)
		j.extendExpiry(segment, batch.Keys)
	}
	if err != nil {
		readErr = errors.Join(readErr, fmt.Errorf("%s: %w", segmentName(segment), err))
	}
	return keys, readErr
}

// append persists a batch of keys. now is Unix time in ms. After an error, the next batch is written to a new segment,
// because the data appended since the last sync may be partly on disk.
func (j *keyJournal) append(keys []Key, now int64) error {
	if j.segmentStartedAt > 0 && now-j.segmentStartedAt > segmentMillis {
		j.removeExpired(now)
		j.startSegment()
	}
	record, err := encodeRecord(kindKeys, keyBatch{Incarnation: j.incarnation, First: j.persistedCount, Keys: keys})
	if err != nil {
		return err
	}
	newSegment := j.segmentStartedAt == 0
	if err := j.appendAndSync(segmentName(j.segment), record, newSegment); err != nil {
		err = fmt.Errorf("writing %s: %w", segmentName(j.segment), err)
		j.startSegment()
		return err
	}
	if newSegment {
		j.segmentStartedAt = now
	}
	j.persistedCount += uint64(len(keys))
	j.extendExpiry(j.segment, keys)
	return nil
}

// appendAndSync appends a record to a segment, and returns once it is durable.
func (j *keyJournal) appendAndSync(file string, record []byte, newSegment bool) error {
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

// startSegment selects a new segment for the next batch.
func (j *keyJournal) startSegment() {
	j.segment++
	j.segmentStartedAt = 0
}

// removeExpired removes the segments whose last key expired more than clockSlackMillis ago. now is Unix time in ms.
func (j *keyJournal) removeExpired(now int64) {
	for segment, expiry := range j.expiry {
		if expiry >= now-clockSlackMillis {
			continue
		}
		if err := j.disk.Remove(segmentName(segment)); err == nil || errors.Is(err, fs.ErrNotExist) {
			delete(j.expiry, segment) // after any other error, removal is retried when the next segment starts
		}
	}
}

// extendExpiry updates the expiry of a segment to which keys were added.
func (j *keyJournal) extendExpiry(segment int, keys []Key) {
	for _, key := range keys {
		j.expiry[segment] = max(j.expiry[segment], key.ExpiresAt)
	}
}
