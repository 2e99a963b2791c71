package simulate

import (
	"time"

	"canvasroute/internal/fleet/messaging"
)

// link is the direction from one dispatcher to another, by their positions.
type link struct {
	from int
	to   int
}

// network holds the current faults and delays of the simulated network.
type network struct {
	loss        float64       // probability that a message is lost
	duplication float64       // probability that a message is sent twice
	delay       time.Duration // of each message
	maxJitter   time.Duration // maximum random addition to the delay
	cut         map[link]bool // links that lose all messages
}

const networkDelay = 2 * time.Millisecond

// The probability of each network fault in a history, and its maximum value.
const (
	lossProbability        = 0.4
	maxLoss                = 0.4
	duplicationProbability = 0.4
	maxDuplication         = 0.3
	jitterProbability      = 0.5
	maxDrawnJitter         = 300 * time.Millisecond
	cutLinksProbability    = 0.4
	partitionProbability   = 0.2
	// The range of the time, after the first dedup window, at which all network faults end.
	minNetworkFaultTime = 5 * time.Second
	maxNetworkFaultTime = 25 * time.Second
)

// newNetwork returns a network without faults.
func newNetwork() network {
	return network{delay: networkDelay, cut: map[link]bool{}}
}

// send encodes a message and schedules its delivery to another dispatcher, subject to the faults of the network.
func (w *world) send(from, to int, msg *messaging.Message) {
	datagram, err := messaging.Encode(msg)
	if err != nil {
		w.reportViolation("%d: %v", from, err)
		return
	}
	w.nodes[from].messages++
	w.result.Messages++
	w.result.Bytes += len(datagram)
	copies := 1
	if w.drawBool(w.network.duplication) {
		copies = 2
	}
	for range copies {
		if w.drawBool(w.network.loss) || w.network.cut[link{from: from, to: to}] {
			continue
		}
		w.after(w.network.delay+w.drawDuration(0, w.network.maxJitter), func() { w.deliver(from, to, datagram) })
	}
}

// deliver decodes a message and passes it to a dispatcher, if that is up.
func (w *world) deliver(from, to int, datagram []byte) {
	msg, err := messaging.Decode(datagram)
	if err != nil {
		w.reportViolation("%d: %v", to, err)
		return
	}
	if n := w.nodes[to]; n.up {
		n.receive(from, msg)
	}
}

// drawNetworkFaults draws and applies network faults, and schedules their end.
func (w *world) drawNetworkFaults() {
	if w.drawBool(lossProbability) {
		w.network.loss = maxLoss * w.rng.Float64()
	}
	if w.drawBool(duplicationProbability) {
		w.network.duplication = maxDuplication * w.rng.Float64()
	}
	if w.drawBool(jitterProbability) {
		w.network.maxJitter = w.drawDuration(0, maxDrawnJitter)
	}
	if w.drawBool(cutLinksProbability) {
		w.cutLinks()
	}
	if w.drawBool(partitionProbability) {
		w.partition()
	}
	faultsEndAt := dedupWindow + w.drawDuration(minNetworkFaultTime, maxNetworkFaultTime)
	w.at(faultsEndAt, func() { w.network = newNetwork() })
	w.lastFaultAt = max(w.lastFaultAt, faultsEndAt)
}

// cutLinks cuts random links, each in one direction.
func (w *world) cutLinks() {
	for range 1 + w.rng.IntN(len(w.nodes)) {
		from := w.rng.IntN(len(w.nodes))
		to := w.rng.IntN(len(w.nodes))
		w.network.cut[link{from: from, to: to}] = true
	}
}

// partition splits the dispatchers by position into two groups of random size, and cuts all links between them.
func (w *world) partition() {
	size := w.rng.IntN(len(w.nodes)) + 1
	for from := range w.nodes {
		for to := range w.nodes {
			crosses := (from < size) != (to < size)
			if crosses {
				w.network.cut[link{from: from, to: to}] = true
			}
		}
	}
}
