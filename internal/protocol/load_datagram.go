package protocol

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"math"

	"canvasroute/internal/settings"
)

// NoInstance stands for the only instance of a process, which its datagrams need not name.
const NoInstance = -1

// The parts of a datagram, in bytes. All numbers are big-endian. A datagram without loads says that its sender has just
// started.
const (
	timestampBytes = 2 // time of sending: the low bits of Unix milliseconds
	instanceBytes  = 1 // the sender's instance, where its process has several
	tagBytes       = 2 // the tag of a worker's name
	inFlightBytes  = 1 // attempts in flight at that worker
)

// LoadBytes is the length of one load in a datagram.
const LoadBytes = tagBytes + inFlightBytes

// maxInFlight is the largest number of attempts in a datagram. It stands for any larger one.
const maxInFlight = math.MaxUint8

// MaxLoads is the number of loads that a datagram holds at most.
const MaxLoads = (settings.MaxMessageBytes - timestampBytes - instanceBytes) / LoadBytes

// ErrMalformedDatagram reports a datagram that is not of this protocol.
var ErrMalformedDatagram = errors.New("malformed datagram")

// Load is the number of attempts that a dispatcher has in flight at one worker.
type Load struct {
	Tag      uint16 // of the worker's name
	InFlight int
}

// tagBits is the size of a tag.
const tagBits = 16

// WorkerTag returns the short form of a worker's name in datagrams. Two names may have the same tag: the receiver then
// counts the load for the worker that it knew first.
func WorkerTag(name string) uint16 {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return uint16(hash.Sum32() ^ hash.Sum32()>>tagBits)
}

// AppendLoads appends a datagram with the first MaxLoads loads. timestamp is in Unix milliseconds modulo 2^16. instance
// is the sender's number in its process, or NoInstance.
func AppendLoads(b []byte, timestamp uint16, instance int, loads []Load) []byte {
	b = binary.BigEndian.AppendUint16(b, timestamp)
	if instance != NoInstance {
		b = append(b, byte(instance))
	}
	for _, load := range loads[:min(len(loads), MaxLoads)] {
		b = AppendLoad(b, load)
	}
	return b
}

// AppendLoad appends one load, of LoadBytes. More than 255 attempts in flight are sent as 255.
func AppendLoad(b []byte, load Load) []byte {
	b = binary.BigEndian.AppendUint16(b, load.Tag)
	return append(b, byte(min(load.InFlight, maxInFlight)))
}

// DecodeLoad returns the load in the first LoadBytes of b, which has at least as many.
func DecodeLoad(b []byte) Load {
	return Load{Tag: binary.BigEndian.Uint16(b), InFlight: int(b[tagBytes])}
}

// LoadDatagram is the content of a datagram between dispatchers.
type LoadDatagram struct {
	Timestamp uint16 // of sending, in Unix milliseconds modulo 2^16
	Instance  int    // the sender's number in its process, 0 where none is named
	Loads     []Load // none for a process that has just started
}

// ParseLoads parses a datagram. The error is ErrMalformedDatagram.
func ParseLoads(b []byte) (LoadDatagram, error) {
	if len(b) < timestampBytes || len(b) > settings.MaxMessageBytes {
		return LoadDatagram{}, ErrMalformedDatagram
	}
	datagram := LoadDatagram{Timestamp: binary.BigEndian.Uint16(b)}
	b = b[timestampBytes:]
	switch len(b) % LoadBytes {
	case 0: // no instance is named
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
