package store

import (
	"errors"
	"fmt"
	"io/fs"

	"github.com/fxamacker/cbor/v2"
)

// slotFiles is the number of files of an abSlot: document n is in file n modulo slotFiles.
const slotFiles = 2

// abSlot stores one document in two files, A and B, that are written alternately. If a write fails, or if the disk
// loses it after the sync, the other file still holds the previous document.
type abSlot struct {
	disk       Disk
	name       string // of the files, without the suffix ".a" or ".b"
	kind       recordKind
	inPlace    bool            // overwrite files in place: the document is written often and may lose its last write
	number     uint64          // of the newest document that was read or written, 0 if there is none
	fileExists [slotFiles]bool // by file; only used if inPlace is set
}

// numberedDocument is a document with its sequence number in the slot.
type numberedDocument struct {
	Number uint64          `cbor:"1,keyasint"`
	Body   cbor.RawMessage `cbor:"2,keyasint"`
}

// file returns the name of the file for the document with the given number.
func (s *abSlot) file(number uint64) string {
	return s.name + "." + string('a'+byte(number%slotFiles))
}

// read decodes the newest intact document into v. found is false if there is none. The returned error lists the damaged
// files; it can be non-nil even if found is true.
func (s *abSlot) read(v any) (found bool, readErr error) {
	var newest numberedDocument
	for file := range uint64(slotFiles) {
		document, err := s.readFile(file)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		s.fileExists[file] = true
		if err != nil {
			readErr = errors.Join(readErr, fmt.Errorf("%s: %w", s.file(file), err))
			continue
		}
		if document.Number > newest.Number {
			newest = document
		}
	}
	if newest.Number == 0 {
		return false, readErr
	}
	s.number = newest.Number
	if err := cbor.Unmarshal(newest.Body, v); err != nil {
		return false, errors.Join(readErr, fmt.Errorf("%s: %w", s.file(newest.Number), err))
	}
	return true, readErr
}

// readFile reads the document from the file for the given number.
func (s *abSlot) readFile(number uint64) (document numberedDocument, err error) {
	record, err := s.disk.Read(s.file(number))
	if err != nil {
		return document, err
	}
	_, err = decodeRecord(record, s.kind, &document)
	return document, err
}

// write replaces the older of the two documents, and returns once the new one is durable.
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

// replace writes a record to a new file, and renames it over the older of the two files.
func (s *abSlot) replace(record []byte) error {
	newName := s.name + ".new"
	if err := s.disk.Write(newName, record); err != nil {
		return err
	}
	if err := s.disk.Sync(newName); err != nil {
		return err
	}
	if err := s.disk.Rename(newName, s.file(s.number+1)); err != nil {
		return err
	}
	return s.disk.SyncNames()
}

// overwrite overwrites the older of the two files in place. Replacing the file would free its blocks, and some file
// systems discard freed blocks on the device immediately, which delays all syncs, including those of the key journal.
func (s *abSlot) overwrite(record []byte) error {
	next := (s.number + 1) % slotFiles
	file := s.file(next)
	if err := s.disk.Overwrite(file, record); err != nil {
		return err
	}
	if err := s.disk.Sync(file); err != nil {
		return err
	}
	if !s.fileExists[next] {
		if err := s.disk.SyncNames(); err != nil {
			return err
		}
	}
	s.fileExists[next] = true
	return nil
}
