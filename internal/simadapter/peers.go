package simadapter

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"canvasroute/internal/balancer"
)

// A message to peers holds three bytes a worker: the tag of its name, and how many forwards are out there.
const loadBytes = 3

// SendLoad is part of decide.Link.
func (in *instance) SendLoad(to balancer.PeerID, l balancer.Load) {
	text := append(binary.BigEndian.AppendUint16(nil, in.tags[l.Worker]), byte(min(l.InFlight, 255)))
	in.reply.open("Signal", in.number)
	in.reply.number("dst", int64(to))
	in.reply.raw("octets", `"`+hex.EncodeToString(text)+`"`)
	in.reply.close()
}

// heard reads a peer's message; workers that this instance was never told of are passed over.
func (in *instance) heard(from balancer.PeerID, digits []byte) error {
	text := make([]byte, hex.DecodedLen(len(digits)))
	if _, err := hex.Decode(text, digits); err != nil {
		return fmt.Errorf("octets: %w", err)
	}
	for ; len(text) >= loadBytes; text = text[loadBytes:] {
		if w, known := in.tagged[binary.BigEndian.Uint16(text)]; known {
			in.dispatcher.ReceiveLoad(from, balancer.Load{Worker: w, InFlight: int(text[2])})
		}
	}
	return nil
}
