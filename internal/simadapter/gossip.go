package simadapter

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"canvasroute/internal/balancer"
)

// A message between dispatchers has three bytes a worker: the tag of its name in two, and the attempts in flight there.
const (
	loadBytes   = 3
	maxInFlight = 255 // more are sent as so many
)

// SendLoad implements balancer.Effects.
func (in *instance) SendLoad(to balancer.PeerID, l balancer.WorkerLoad) {
	message := binary.BigEndian.AppendUint16(nil, in.workers.tags[l.Worker])
	message = append(message, byte(min(l.InFlight, maxInFlight)))
	in.reply.open("Signal", in.number)
	in.reply.writeInt("dst", int64(to))
	in.reply.writeRaw("octets", `"`+hex.EncodeToString(message)+`"`)
	in.reply.close()
}

// receiveLoads reads a peer's message. Workers that are in none of this instance's lists so far are ignored.
func (in *instance) receiveLoads(from balancer.PeerID, digits []byte) error {
	message := make([]byte, hex.DecodedLen(len(digits)))
	if _, err := hex.Decode(message, digits); err != nil {
		return fmt.Errorf("octets: %w", err)
	}
	for ; len(message) >= loadBytes; message = message[loadBytes:] {
		if worker, known := in.workers.byTag[binary.BigEndian.Uint16(message)]; known {
			in.balancer.ReceiveLoad(from, balancer.WorkerLoad{Worker: worker, InFlight: int(message[2])})
		}
	}
	return nil
}
