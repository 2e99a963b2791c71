package simadapter

import (
	"encoding/hex"
	"fmt"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// SendLoad implements balancer.Effects. A gossip message in the simulator encodes loads in the same form as a datagram
// between processes, but has neither a timestamp nor an instance number.
func (in *instance) SendLoad(to balancer.PeerID, load balancer.WorkerLoad) {
	message := protocol.AppendLoad(nil, protocol.Load{Tag: in.workers.tags[load.Worker], InFlight: load.InFlight})
	in.reply.open(commandGossip, in.number)
	in.reply.writeInt(keyPeerTo, int64(to))
	in.reply.writeJSON(keyGossipContent, `"`+hex.EncodeToString(message)+`"`)
	in.reply.close()
}

// handleGossip decodes a gossip message from hexadecimal digits, and passes its loads to the balancer. It ignores loads
// of workers that have not been in any endpoint list of this instance, and an incomplete load at the end.
func (in *instance) handleGossip(from balancer.PeerID, digits []byte) error {
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
