package protocol

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"math"

	"canvasroute/internal/settings"
)

// NoInstance is the instance number for the only instance of a process. It is omitted from datagrams.
const NoInstance = -1

// Lengths of the parts of a datagram, in bytes. All numbers are big-endian. A datagram without loads is the hello of a
// process that has just started.
const (
	timestampBytes = 2 // send time: the low bits of Unix milliseconds
	instanceBytes  = 1 // instance number of the sender, if its process has several
	tagBytes       = 2 // tag of a worker's name
	inFlightBytes  = 1 // number of attempts in flight at that worker
)

// LoadBytes is the length of one load in a datagram, in bytes.
const LoadBytes = tagBytes + inFlightBytes

// maxInFlight is the maximum number of attempts in a datagram. Larger numbers are sent as maxInFlight.
const maxInFlight = math.MaxUint8

// MaxLoads is the maximum number of loads in a datagram.
const MaxLoads = (settings.MaxMessageBytes - timestampBytes - instanceBytes) / LoadBytes

// ErrMalformedDatagram is returned for a datagram with an invalid length.
var ErrMalformedDatagram = errors.New("malformed datagram")

// Load is the number of attempts that a dispatcher has in flight at one worker.
type Load struct {
	Tag      uint16 // tag of the worker's name
	InFlight int
}

// tagBits is the length of a tag in bits.
const tagBits = 16

// WorkerTag returns the hash of a worker's name that identifies the worker in datagrams. Two names may have the same
// tag; the receiver then assigns the load to the worker that it learned of first.
func WorkerTag(name string) uint16 {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return uint16(hash.Sum32() ^ hash.Sum32()>>tagBits)
}

// AppendLoadDatagram appends a datagram with at most the first MaxLoads loads. timestamp is in Unix milliseconds modulo
// 2^16. instance is the number of the sender within its process, or NoInstance.
func AppendLoadDatagram(b []byte, timestamp uint16, instance int, loads []Load) []byte {
	b = binary.BigEndian.AppendUint16(b, timestamp)
	if instance != NoInstance {
		b = append(b, byte(instance))
	}
	for _, load := range loads[:min(len(loads), MaxLoads)] {
		b = AppendLoad(b, load)
	}
	return b
}

// AppendLoad appends one load, which takes LoadBytes. More than 255 attempts in flight are sent as 255.
func AppendLoad(b []byte, load Load) []byte {
	b = binary.BigEndian.AppendUint16(b, load.Tag)
	return append(b, byte(min(load.InFlight, maxInFlight)))
}

// DecodeLoad decodes the load in the first LoadBytes of b. It panics if b is shorter.
func DecodeLoad(b []byte) Load {
	return Load{Tag: binary.BigEndian.Uint16(b), InFlight: int(b[tagBytes])}
}

// LoadDatagram is the content of a datagram between dispatchers.
type LoadDatagram struct {
	Timestamp uint16 // send time, in Unix milliseconds modulo 2^16
	Instance  int    // number of the sender within its process, or 0 if omitted
	Loads     []Load // empty in the hello of a process that has just started
}

// ParseLoadDatagram parses a datagram. It returns ErrMalformedDatagram if the length is invalid.
func ParseLoadDatagram(b []byte) (LoadDatagram, error) {
	if len(b) < timestampBytes || len(b) > settings.MaxMessageBytes {
		return LoadDatagram{}, ErrMalformedDatagram
	}
	datagram := LoadDatagram{Timestamp: binary.BigEndian.Uint16(b)}
	b = b[timestampBytes:]
	switch len(b) % LoadBytes {
	case 0: // the instance is omitted
	case instanceBytes:
		datagram.Instance = int(b[0])
		b = b[instanceBytes:]
	default:
		return LoadDatagram{}, ErrMalformedDatagram
	}
	for ; len(b) > 0; b = b[LoadBytes:] {
		datagram.Loads = append(datagram.Loads, DecodeLoad(b))
	}
	return datagram, nil
}
