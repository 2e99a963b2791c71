package simadapter

import (
	"encoding/hex"
	"fmt"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// SendLoad implements balancer.Effects. A gossip message in the simulator has loads as a datagram between processes has
// them, but neither time nor instance.
func (in *instance) SendLoad(to balancer.PeerID, l balancer.WorkerLoad) {
	message := protocol.AppendLoad(nil, protocol.Load{Tag: in.workers.tags[l.Worker], InFlight: l.InFlight})
	in.reply.open(commandGossip, in.number)
	in.reply.writeInt(keyPeerTo, int64(to))
	in.reply.writeRaw(keyGossipContent, `"`+hex.EncodeToString(message)+`"`)
	in.reply.close()
}

// receiveLoads reads a peer's message, which is in hexadecimal digits. Loads of workers that this instance's endpoint
// lists have not had so far are ignored.
func (in *instance) receiveLoads(from balancer.PeerID, digits []byte) error {
	message := make([]byte, hex.DecodedLen(len(digits)))
	if _, err := hex.Decode(message, digits); err != nil {
		return fmt.Errorf("%s: %w", keyGossipContent, err)
	}
	for ; len(message) >= protocol.LoadBytes; message = message[protocol.LoadBytes:] {
		load := protocol.DecodeLoad(message)
		if worker, known := in.workers.byTag[load.Tag]; known {
			in.balancer.ReceiveLoad(from, balancer.WorkerLoad{Worker: worker, InFlight: load.InFlight})
		}
	}
	return nil
}
