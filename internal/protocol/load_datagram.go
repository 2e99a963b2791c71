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

// A datagram holds the low bits of the time of sending in Unix milliseconds, then the sender's instance if its process
// has several, and for each worker the tag of its name and the number of its attempts in flight. One without workers
// says that its sender has just started. All numbers are big-endian.
const (
	timestampBytes = 2
	instanceBytes  = 1
	loadBytes      = 3
)

// maxInFlight is the largest number in a datagram; it stands for all beyond.
const maxInFlight = math.MaxUint8

// MaxLoads is how many loads one datagram holds.
const MaxLoads = (settings.MaxMessageBytes - timestampBytes - instanceBytes) / loadBytes

// ErrMalformedDatagram reports a datagram that is not of this protocol.
var ErrMalformedDatagram = errors.New("malformed datagram")

// Load is the number of attempts that a dispatcher has in flight at one worker.
type Load struct {
	Tag      uint16 // of the worker's name
	InFlight int
}

// WorkerTag shortens a worker's name. Of two workers with the same tag the receiver means the one it knew first.
func WorkerTag(name string) uint16 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return uint16(h.Sum32() ^ h.Sum32()>>16)
}

// AppendLoads appends a datagram of an instance, or NoInstance, with the first MaxLoads loads.
func AppendLoads(b []byte, timestamp uint16, instance int, loads []Load) []byte {
	b = binary.BigEndian.AppendUint16(b, timestamp)
	if instance != NoInstance {
		b = append(b, byte(instance))
	}
	for _, load := range loads[:min(len(loads), MaxLoads)] {
		b = binary.BigEndian.AppendUint16(b, load.Tag)
		b = append(b, byte(min(load.InFlight, maxInFlight)))
	}
	return b
}

// LoadDatagram is what a datagram between dispatchers says.
type LoadDatagram struct {
	Timestamp uint16 // when it was sent, in Unix milliseconds modulo 2^16
	Instance  int    // of its process that sent it, 0 where none is named
	Loads     []Load // none for a process that has just started
}

// ParseLoads parses a datagram. The error is ErrMalformedDatagram.
func ParseLoads(b []byte) (LoadDatagram, error) {
	if len(b) < timestampBytes || len(b) > settings.MaxMessageBytes {
		return LoadDatagram{}, ErrMalformedDatagram
	}
	datagram := LoadDatagram{Timestamp: binary.BigEndian.Uint16(b)}
	b = b[timestampBytes:]
	switch len(b) % loadBytes {
	case 0:
	case instanceBytes:
		datagram.Instance = int(b[0])
		b = b[instanceBytes:]
	default:
		return LoadDatagram{}, ErrMalformedDatagram
	}
	for ; len(b) > 0; b = b[loadBytes:] {
		datagram.Loads = append(datagram.Loads, Load{Tag: binary.BigEndian.Uint16(b), InFlight: int(b[2])})
	}
	return datagram, nil
}
