package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// A record is a header and a body in CBOR. The header has these fields, at these offsets in bytes; numbers are
// big-endian.
const (
	magic       = "cvrt"          // what each record begins with
	kindAt      = len(magic)      // a byte: the recordKind
	versionAt   = kindAt + 1      // a byte: the version of the format
	lengthAt    = versionAt + 1   // 4 bytes: the length of the body
	headerSumAt = lengthAt + 4    // 4 bytes: a checksum of the header up to here
	bodySumAt   = headerSumAt + 4 // 4 bytes: a checksum of the body
	headerBytes = bodySumAt + 4
)

// maxRecordBytes bounds the length of a body. A longer one is taken for a damaged header.
const maxRecordBytes = 64 << 20

// recordKind is what the body of a record holds.
type recordKind byte

const (
	kindIncarnation recordKind = iota + 1
	kindState
	kindKeys
)

// formatVersion of all records. A record with a higher one was written by a later release.
const formatVersion = 1

// The errors of a record that cannot be used.
var (
	ErrTruncated     = errors.New("torn: the record is cut off")
	ErrChecksum      = errors.New("damaged: the checksum does not match")
	ErrUnknownRecord = errors.New("not a record of this kind")
	ErrNewerVersion  = errors.New("written by a later release")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord returns a record that holds v.
func encodeRecord(kind recordKind, v any) ([]byte, error) {
	return encodeRecordAs(kind, formatVersion, v)
}

// encodeRecordAs returns a record of a version of the format.
func encodeRecordAs(kind recordKind, version byte, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encoding a record: %w", err)
	}
	b := append([]byte(magic), byte(kind), version)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(body, castagnoli))
	return append(b, body...), nil
}

// decodeRecord decodes the record that b begins with into v, and returns what follows it. It fails with ErrTruncated,
// ErrChecksum, ErrUnknownRecord or ErrNewerVersion.
func decodeRecord(b []byte, kind recordKind, v any) (remaining []byte, err error) {
	if len(b) < headerBytes || allZero(b) {
		return nil, ErrTruncated // a file may have grown before its contents were written
	}
	length := binary.BigEndian.Uint32(b[lengthAt:])
	switch {
	case string(b[:kindAt]) != magic:
		return nil, ErrUnknownRecord
	case binary.BigEndian.Uint32(b[headerSumAt:]) != crc32.Checksum(b[:headerSumAt], castagnoli), length > maxRecordBytes:
		return nil, ErrChecksum
	case b[kindAt] != byte(kind):
		return nil, ErrUnknownRecord
	case uint64(len(b)-headerBytes) < uint64(length):
		return nil, ErrTruncated
	}
	end := headerBytes + int(length)
	body := b[headerBytes:end]
	if binary.BigEndian.Uint32(b[bodySumAt:]) != crc32.Checksum(body, castagnoli) {
		return nil, ErrChecksum
	}
	if b[versionAt] > formatVersion {
		return nil, ErrNewerVersion
	}
	if err := cbor.Unmarshal(body, v); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrChecksum, err)
	}
	return b[end:], nil
}

func allZero(b []byte) bool {
	return !slices.ContainsFunc(b, func(c byte) bool { return c != 0 })
}
