package simadapter

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"

	"canvasroute/internal/balancer"
)

// The parts of a gossip message, in bytes. Numbers are big-endian.
const (
	tagBytes      = 2                        // the tag of a worker's name
	inFlightBytes = 1                        // attempts in flight at that worker
	loadBytes     = tagBytes + inFlightBytes // of one worker
)

// maxInFlight is the largest number of attempts in a message. It stands for any larger one.
const maxInFlight = math.MaxUint8

// SendLoad implements balancer.Effects.
func (in *instance) SendLoad(to balancer.PeerID, l balancer.WorkerLoad) {
	message := binary.BigEndian.AppendUint16(nil, in.workers.tags[l.Worker])
	message = append(message, byte(min(l.InFlight, maxInFlight)))
	in.reply.open(commandGossip, in.number)
	in.reply.writeInt(keyPeerTo, int64(to))
	in.reply.writeRaw(keyGossipContent, `"`+hex.EncodeToString(message)+`"`)
	in.reply.close()
}

// receiveLoads reads a peer's message, which is in hexadecimal digits. Loads of workers that this instance's endpoint lists
// have not had so far are ignored.
func (in *instance) receiveLoads(from balancer.PeerID, digits []byte) error {
	message := make([]byte, hex.DecodedLen(len(digits)))
	if _, err := hex.Decode(message, digits); err != nil {
		return fmt.Errorf("%s: %w", keyGossipContent, err)
	}
	for ; len(message) >= loadBytes; message = message[loadBytes:] {
		if worker, known := in.workers.byTag[binary.BigEndian.Uint16(message)]; known {
			in.balancer.ReceiveLoad(from, balancer.WorkerLoad{Worker: worker, InFlight: int(message[tagBytes])})
		}
	}
	return nil
}
