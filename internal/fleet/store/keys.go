package store

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"
)

// Key tells that an invocation under a key may have run in a group of workers. It is on disk before the
// first byte leaves for the worker: rule 2 needs it, since after a power loss nobody else knows.
type Key struct {
	Sum       uint64 `cbor:"1,keyasint"` // of the operation's name and the key
	Worker    string `cbor:"2,keyasint"` // the worker that it went to
	Zone      string `cbor:"3,keyasint"`
	Cell      int    `cbor:"4,keyasint"`
	SentAt    int64  `cbor:"5,keyasint"` // Unix time in ms, when it went out
	ExpiresAt int64  `cbor:"6,keyasint"` // and when workers no longer drop its repeats
}

const keysName = "keys."

// batch is keys that became durable at once.
type batch struct {
	Life  uint64 `cbor:"1,keyasint"`
	First uint64 `cbor:"2,keyasint"` // keys acknowledged in that life before
	Keys  []Key  `cbor:"3,keyasint"`
}

// journal is the keys on disk: segments that are only added to. What was cut off at the end of one was never
// acknowledged; a break before the end is a disk that has lost something.
type journal struct {
	disk    Disk
	segment int
	began   int64 // Unix time in ms of the first key in the segment, 0 for none
	untils  map[int]int64
	life    uint64 // in which keys are written, or the newest that was read
	count   uint64 // keys acknowledged in it
}

// errGap is a part of the keys that is not there.
var errGap = errors.New("keys that had been acknowledged are missing")

func segmentOf(name string) (n int, ok bool) {
	digits, found := strings.CutPrefix(name, keysName)
	n, err := strconv.Atoi(digits)
	return n, found && err == nil && n > 0
}

func (j *journal) file(n int) string { return keysName + strconv.Itoa(n) }

// read takes all keys that are whole; wrong tells of breaks and gaps.
func (j *journal) read() (keys []Key, wrong error) {
	names, err := j.disk.Names()
	if err != nil {
		return nil, err
	}
	var segments []int
	for _, name := range names {
		if n, ok := segmentOf(name); ok {
			segments = append(segments, n)
		}
	}
	slices.Sort(segments)
	j.untils = map[int]int64{}
	for _, n := range segments {
		j.segment = max(j.segment, n)
		b, err := j.disk.Read(j.file(n))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		for err == nil && len(b) > 0 {
			var some batch
			if b, err = unseal(b, kindKeys, &some); err != nil {
				break
			}
			if some.Life == j.life && some.First > j.count {
				wrong = errors.Join(wrong, fmt.Errorf("%s: %w", j.file(n), errGap))
			}
			j.life, j.count = some.Life, some.First+uint64(len(some.Keys))
			keys = append(keys, some.Keys...)
			for _, k := range some.Keys {
				j.untils[n] = max(j.untils[n], k.ExpiresAt)
			}
		}
		if err != nil {
			wrong = errors.Join(wrong, fmt.Errorf("%s: %w", j.file(n), err))
		}
	}
	j.segment++ // what was cut off stays as it is: nothing is added behind it
	return keys, wrong
}

// countIn is how many of a life's keys were read.
func (j *journal) countIn(life uint64) uint64 {
	if life != j.life {
		return 0
	}
	return j.count
}

// segmentFor is how long one segment is added to, in ms.
const segmentFor = 30_000

// write adds keys, all or none of them acknowledged, and returns once they are durable. After a failure the
// next ones go to a segment of their own: what was written since the last sync is not believed.
func (j *journal) write(keys []Key, now int64) error {
	if j.began > 0 && now-j.began > segmentFor {
		j.next(now)
	}
	b, err := seal(nil, kindKeys, batch{j.life, j.count, keys})
	if err != nil {
		return err
	}
	name, first := j.file(j.segment), j.began == 0
	err = j.disk.Append(name, b)
	if err == nil {
		err = j.disk.Sync(name)
	}
	if err == nil && first {
		err = j.disk.SyncNames()
	}
	if err != nil {
		j.segment, j.began = j.segment+1, 0
		return fmt.Errorf("writing %s: %w", name, err)
	}
	if first {
		j.began = now
	}
	j.count += uint64(len(keys))
	for _, k := range keys {
		j.untils[j.segment] = max(j.untils[j.segment], k.ExpiresAt)
	}
	return nil
}

// next begins a new segment, and takes away those that hold nothing that still counts.
func (j *journal) next(now int64) {
	for n, until := range j.untils {
		if until < now-clockSlack {
			if err := j.disk.Remove(j.file(n)); err == nil || errors.Is(err, fs.ErrNotExist) {
				delete(j.untils, n)
			}
		}
	}
	j.segment, j.began = j.segment+1, 0
}

// clockSlack is by how much, in ms, a clock may have been off while keys were written: they are kept so much
// longer.
const clockSlack = 60_000
