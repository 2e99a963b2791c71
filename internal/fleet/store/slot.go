package store

import (
	"errors"
	"fmt"
	"io/fs"

	"github.com/fxamacker/cbor/v2"
)

// slot is one document in two files that are written in turn, each whole or not at all. It guards against a disk
// that says yes to a sync and loses what it was: the one before is still there.
type slot struct {
	disk   Disk
	name   string
	kind   byte
	number uint64 // of the newest one written or read
	often  bool   // it is written all the time, and the one before the last will do: written in place
	there  [2]bool
}

// numbered is a document with its place among all that were written.
type numbered struct {
	Number uint64          `cbor:"1,keyasint"`
	Body   cbor.RawMessage `cbor:"2,keyasint"`
}

func (s *slot) file(number uint64) string { return s.name + "." + string('a'+byte(number%2)) }

// read takes the newest one that is whole. wrong tells what of the two is not to be believed; it may come with
// one that was found.
func (s *slot) read(v any) (found bool, wrong error) {
	var newest numbered
	for n := range uint64(2) {
		b, err := s.disk.Read(s.file(n))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		s.there[n] = true
		var doc numbered
		if err == nil {
			_, err = unseal(b, s.kind, &doc)
		}
		if err != nil {
			wrong = errors.Join(wrong, fmt.Errorf("%s: %w", s.file(n), err))
			continue
		}
		if doc.Number > newest.Number {
			newest = doc
		}
	}
	if newest.Number == 0 {
		return false, wrong
	}
	s.number = newest.Number
	if err := cbor.Unmarshal(newest.Body, v); err != nil {
		return false, errors.Join(wrong, fmt.Errorf("%s: %w", s.file(newest.Number), err))
	}
	return true, wrong
}

// write puts one in the place of the older of the two, and returns once it is durable.
func (s *slot) write(v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("encoding %s: %w", s.name, err)
	}
	b, err := seal(nil, s.kind, numbered{s.number + 1, body})
	if err != nil {
		return err
	}
	if s.often {
		return s.overwrite(b)
	}
	fresh := s.name + ".new"
	for _, step := range []func() error{
		func() error { return s.disk.Write(fresh, b) },
		func() error { return s.disk.Sync(fresh) },
		func() error { return s.disk.Rename(fresh, s.file(s.number+1)) },
		s.disk.SyncNames,
	} {
		if err := step(); err != nil {
			return fmt.Errorf("writing %s: %w", s.name, err)
		}
	}
	s.number++
	return nil
}

// overwrite puts one over the older of the two files, and returns once it is durable. A file in another's place frees
// blocks: some file systems tell the device of each at once, and hold up all syncs, those of keys too, for so long.
func (s *slot) overwrite(b []byte) error {
	next := (s.number + 1) % 2
	name := s.file(s.number + 1)
	err := s.disk.Overwrite(name, b)
	if err == nil {
		err = s.disk.Sync(name)
	}
	if err == nil && !s.there[next] {
		err = s.disk.SyncNames()
	}
	if err != nil {
		return fmt.Errorf("writing %s: %w", s.name, err)
	}
	s.there[next] = true
	s.number++
	return nil
}
