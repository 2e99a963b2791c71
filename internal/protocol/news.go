package protocol

import (
	"encoding/binary"
	"errors"
	"hash/fnv"

	"canvasroute/internal/settings"
)

// NoInstance stands for the only instance of a process, which its datagrams need not name.
const NoInstance = -1

// A datagram holds the low bits of the time of sending in milliseconds, and for each worker that it tells of
// the tag of its name and how many forwards are out there. One that tells of none says that its sender has
// just started. Where a process has several instances, a byte after the time names the one that tells.
const (
	stampBytes    = 2
	loadBytes     = 3
	instanceBytes = 1
)

// MaxLoads is how many loads one datagram holds.
const MaxLoads = (settings.MaxMessageBytes - stampBytes - instanceBytes) / loadBytes

// ErrDatagram is a datagram that is not of this protocol.
var ErrDatagram = errors.New("malformed datagram")

// Load is what one datagram tells of one worker.
type Load struct {
	Tag      uint16
	InFlight int
}

// Tag shortens a worker's name. Two that share a tag are told apart by nobody: the first one known is meant.
func Tag(name string) uint16 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return uint16(h.Sum32() ^ h.Sum32()>>16)
}

// AppendLoads writes a datagram, of MaxLoads loads at most, of an instance or Alone.
func AppendLoads(b []byte, stamp uint16, instance int, loads []Load) []byte {
	b = binary.BigEndian.AppendUint16(b, stamp)
	if instance != NoInstance {
		b = append(b, byte(instance))
	}
	for _, l := range loads[:min(len(loads), MaxLoads)] {
		b = append(binary.BigEndian.AppendUint16(b, l.Tag), byte(min(l.InFlight, 255)))
	}
	return b
}

// ParseLoads reads a datagram. The instance is 0 where none is named.
func ParseLoads(b []byte) (stamp uint16, instance int, loads []Load, err error) {
	if len(b) < stampBytes || len(b) > settings.MaxMessageBytes || (len(b)-stampBytes)%loadBytes > instanceBytes {
		return 0, 0, nil, ErrDatagram
	}
	stamp, b = binary.BigEndian.Uint16(b), b[stampBytes:]
	if len(b)%loadBytes == instanceBytes {
		instance, b = int(b[0]), b[instanceBytes:]
	}
	for ; len(b) > 0; b = b[loadBytes:] {
		loads = append(loads, Load{binary.BigEndian.Uint16(b), int(b[2])})
	}
	return stamp, instance, loads, nil
}
