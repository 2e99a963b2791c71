package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// A record is a header followed by a body in CBOR. The constants are the byte offsets of the header's fields. Numbers
// are big-endian.
const (
	magic                = "cvrt"                   // the first bytes of each record
	kindOffset           = len(magic)               // 1 byte: the recordKind
	versionOffset        = kindOffset + 1           // 1 byte: the format version
	lengthOffset         = versionOffset + 1        // 4 bytes: the length of the body
	headerChecksumOffset = lengthOffset + 4         // 4 bytes: the checksum of the header fields before it
	bodyChecksumOffset   = headerChecksumOffset + 4 // 4 bytes: the checksum of the body
	headerBytes          = bodyChecksumOffset + 4
)

// maxBodyBytes limits the length of a body. A header with a greater length is treated as damaged.
const maxBodyBytes = 64 << 20

// recordKind is the type of the document in the body of a record.
type recordKind byte

const (
	kindIncarnation recordKind = iota + 1
	kindState
	kindKeys
)

// formatVersion is the format version of all records. A record with a higher version was written by a later release.
const formatVersion = 1

// The errors for records that cannot be used. Their texts are part of the output of `canvasroute state show`.
var (
	ErrTruncated     = errors.New("torn: the record is cut off")
	ErrChecksum      = errors.New("damaged: the checksum does not match")
	ErrUnknownRecord = errors.New("not a record of this kind")
	ErrNewerVersion  = errors.New("written by a later release")
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord returns a record of the current format version with v as its body.
func encodeRecord(kind recordKind, v any) ([]byte, error) {
	return encodeRecordVersion(kind, formatVersion, v)
}

// encodeRecordVersion returns a record of the given format version with v as its body.
func encodeRecordVersion(kind recordKind, version byte, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encoding record: %w", err)
	}
	b := append([]byte(magic), byte(kind), version)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoliTable))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(body, castagnoliTable))
	return append(b, body...), nil
}

// decodeRecord decodes the record at the start of b into v, and returns the bytes after it. It fails with ErrTruncated,
// ErrChecksum, ErrUnknownRecord or ErrNewerVersion.
func decodeRecord(b []byte, kind recordKind, v any) (remaining []byte, err error) {
	if len(b) < headerBytes || isAllZero(b) {
		return nil, ErrTruncated // the file system may have extended the file before it wrote the contents
	}
	length := binary.BigEndian.Uint32(b[lengthOffset:])
	switch {
	case string(b[:kindOffset]) != magic:
		return nil, ErrUnknownRecord
	case binary.BigEndian.Uint32(b[headerChecksumOffset:]) != crc32.Checksum(b[:headerChecksumOffset], castagnoliTable),
		length > maxBodyBytes:
		return nil, ErrChecksum
	case b[kindOffset] != byte(kind):
		return nil, ErrUnknownRecord
	case uint64(len(b)-headerBytes) < uint64(length):
		return nil, ErrTruncated
	}
	end := headerBytes + int(length)
	body := b[headerBytes:end]
	if binary.BigEndian.Uint32(b[bodyChecksumOffset:]) != crc32.Checksum(body, castagnoliTable) {
		return nil, ErrChecksum
	}
	if b[versionOffset] > formatVersion {
		return nil, ErrNewerVersion
	}
	if err := cbor.Unmarshal(body, v); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrChecksum, err)
	}
	return b[end:], nil
}

func isAllZero(b []byte) bool {
	return !slices.ContainsFunc(b, func(c byte) bool { return c != 0 })
}
