package store

import (
	"errors"
	"fmt"
	"io/fs"

	"github.com/fxamacker/cbor/v2"
)

// abSlot holds one document in two files, A and B, that are written in turn. A write that fails or that the disk loses
// after its sync leaves the document before it in the other file.
type abSlot struct {
	disk    Disk
	name    string // of the files, without ".a" and ".b"
	kind    recordKind
	inPlace bool   // files are overwritten in place, since the document is written often and may be lost for once
	number  uint64 // of the newest document that was read or written
	exists  [2]bool
}

// numberedDocument is a document and its place among all that were written to a slot.
type numberedDocument struct {
	Number uint64          `cbor:"1,keyasint"`
	Body   cbor.RawMessage `cbor:"2,keyasint"`
}

// file returns the name of the file that holds the document of a number.
func (s *abSlot) file(number uint64) string { return s.name + "." + string('a'+byte(number%2)) }

// read decodes the newer document of the two that is complete. The error names what is lost, and may come with a document
// that was found.
func (s *abSlot) read(v any) (found bool, lost error) {
	var newest numberedDocument
	for n := range uint64(2) {
		document, err := s.readFile(n)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		s.exists[n] = true
		if err != nil {
			lost = errors.Join(lost, fmt.Errorf("%s: %w", s.file(n), err))
			continue
		}
		if document.Number > newest.Number {
			newest = document
		}
	}
	if newest.Number == 0 {
		return false, lost
	}
	s.number = newest.Number
	if err := cbor.Unmarshal(newest.Body, v); err != nil {
		return false, errors.Join(lost, fmt.Errorf("%s: %w", s.file(newest.Number), err))
	}
	return true, lost
}

func (s *abSlot) readFile(n uint64) (document numberedDocument, err error) {
	b, err := s.disk.Read(s.file(n))
	if err != nil {
		return document, err
	}
	_, err = decodeRecord(b, s.kind, &document)
	return document, err
}

// write replaces the older document of the two, and returns once the new one is durable.
func (s *abSlot) write(v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("encoding %s: %w", s.name, err)
	}
	record, err := encodeRecord(s.kind, numberedDocument{Number: s.number + 1, Body: body})
	if err != nil {
		return fmt.Errorf("encoding %s: %w", s.name, err)
	}
	if s.inPlace {
		err = s.overwrite(record)
	} else {
		err = s.replace(record)
	}
	if err != nil {
		return fmt.Errorf("writing %s: %w", s.name, err)
	}
	s.number++
	return nil
}

// replace writes a record to a new file and renames that to the older of the two.
func (s *abSlot) replace(record []byte) error {
	fresh := s.name + ".new"
	if err := s.disk.Write(fresh, record); err != nil {
		return err
	}
	if err := s.disk.Sync(fresh); err != nil {
		return err
	}
	if err := s.disk.Rename(fresh, s.file(s.number+1)); err != nil {
		return err
	}
	return s.disk.SyncNames()
}

// overwrite writes a record over the older of the two files. Replacing a file would free blocks: some file systems pass each
// of these on to the device at once, which holds up all syncs, also those of the keys.
func (s *abSlot) overwrite(record []byte) error {
	next := (s.number + 1) % 2
	file := s.file(next)
	if err := s.disk.Overwrite(file, record); err != nil {
		return err
	}
	if err := s.disk.Sync(file); err != nil {
		return err
	}
	if !s.exists[next] {
		if err := s.disk.SyncNames(); err != nil {
			return err
		}
	}
	s.exists[next] = true
	return nil
}
