package drill

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"slices"

	"canvasroute/decide"
)

// A message to peers holds three bytes a worker: the tag of its name, and how many forwards are out there.
// One message takes messageMost bytes at most.
const (
	loadBytes   = 3
	messageMost = 256
)

// tag shortens a worker's name. Two that share a tag are told apart by nobody: the first one known is meant.
func tag(name string) uint16 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return uint16(h.Sum32() ^ h.Sum32()>>16)
}

// Tell is part of decide.Link.
func (in *instance) Tell(loads []decide.Load) {
	for part := range slices.Chunk(loads, messageMost/loadBytes) {
		var text []byte
		for _, l := range part {
			text = append(binary.BigEndian.AppendUint16(text, in.tags[l.Tgt]), byte(min(l.InFlight, 255)))
		}
		in.reply.open("Signal", in.number)
		in.reply.number("dst", -1)
		in.reply.raw("octets", `"`+hex.EncodeToString(text)+`"`)
		in.reply.close()
	}
}

// loads reads a peer's message; workers that this instance was never told of are passed over.
func (in *instance) loads(digits []byte) ([]decide.Load, error) {
	text := make([]byte, hex.DecodedLen(len(digits)))
	if _, err := hex.Decode(text, digits); err != nil {
		return nil, fmt.Errorf("octets: %w", err)
	}
	var loads []decide.Load
	for ; len(text) >= loadBytes; text = text[loadBytes:] {
		if w := slices.Index(in.tags, binary.BigEndian.Uint16(text)); w >= 0 {
			loads = append(loads, decide.Load{Tgt: decide.Worker(w), InFlight: int(text[2])})
		}
	}
	return loads, nil
}
