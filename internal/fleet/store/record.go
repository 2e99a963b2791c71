package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// A record on disk: what it is, the version of its form, how long it is, a checksum over so much, one over what
// follows, and CBOR.
const (
	magic      = "cvrt"
	headBytes  = len(magic) + 2 + 4 + 4 + 4
	mostRecord = 64 << 20
)

// Kinds of record.
const (
	kindLife byte = iota + 1
	kindFacts
	kindKeys
)

// version of the form of all records. One that is newer was written by a later program.
const version = 1

// The ways that a record is not to be believed.
var (
	ErrTruncated     = errors.New("torn: it ends before its end")
	ErrChecksum      = errors.New("broken: its checksum is not that of what it holds")
	ErrUnknownRecord = errors.New("no record of this sort")
	ErrNewerVersion  = errors.New("written by a newer program")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// seal appends a record to b.
func seal(b []byte, kind byte, v any) ([]byte, error) { return sealAs(b, kind, version, v) }

func sealAs(b []byte, kind, version byte, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encoding a record: %w", err)
	}
	at := len(b)
	b = append(append(b, magic...), kind, version)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(b[at:], castagnoli))
	return append(binary.BigEndian.AppendUint32(b, crc32.Checksum(body, castagnoli)), body...), nil
}

// unseal reads the record that b begins with, and returns what follows it.
func unseal(b []byte, kind byte, v any) (rest []byte, err error) {
	if len(b) < headBytes || !slices.ContainsFunc(b, func(c byte) bool { return c != 0 }) {
		return nil, ErrTruncated // a file may also have been made longer before what it was to hold came
	}
	head, long := b[:headBytes-8], binary.BigEndian.Uint32(b[len(magic)+2:])
	switch {
	case string(b[:len(magic)]) != magic:
		return nil, ErrUnknownRecord
	case binary.BigEndian.Uint32(b[headBytes-8:]) != crc32.Checksum(head, castagnoli), long > mostRecord:
		return nil, ErrChecksum
	case b[len(magic)] != kind:
		return nil, ErrUnknownRecord
	case uint64(len(b)-headBytes) < uint64(long):
		return nil, ErrTruncated
	}
	body := b[headBytes : headBytes+int(long)]
	if binary.BigEndian.Uint32(b[headBytes-4:]) != crc32.Checksum(body, castagnoli) {
		return nil, ErrChecksum
	}
	if b[len(magic)+1] > version {
		return nil, ErrNewerVersion
	}
	if err := cbor.Unmarshal(body, v); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrChecksum, err)
	}
	return b[headBytes+int(long):], nil
}
