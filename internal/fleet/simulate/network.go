package simulate

import (
	"time"

	"canvasroute/internal/fleet/messaging"
)

// link is a direction between two dispatchers.
type link struct{ from, to int }

// network is how messages are carried.
type network struct {
	loss, duplication float64 // probabilities of each message
	delay, maxJitter  time.Duration
	cut               map[link]bool
}

// newNetwork returns a network without faults.
func newNetwork() network {
	return network{delay: 2 * time.Millisecond, cut: map[link]bool{}}
}

// send carries a message, encoded, to another dispatcher.
func (w *world) send(from, to int, msg *messaging.Message) {
	b, err := messaging.Encode(msg)
	if err != nil {
		w.violation("%d: %v", from, err)
		return
	}
	w.nodes[from].messages++
	w.result.Messages++
	w.result.Bytes += len(b)
	copies := 1
	if w.happens(w.network.duplication) {
		copies = 2
	}
	for range copies {
		if w.happens(w.network.loss) || w.network.cut[link{from, to}] {
			continue
		}
		w.after(w.network.delay+w.between(0, w.network.maxJitter), func() { w.deliver(from, to, b) })
	}
}

// deliver hands a message to a dispatcher that is up.
func (w *world) deliver(from, to int, b []byte) {
	msg, err := messaging.Decode(b)
	if err != nil {
		w.violation("%d: %v", to, err)
		return
	}
	if n := w.nodes[to]; n.up {
		n.receive(from, msg)
	}
}

// drawNetworkFaults draws faults of the network, and schedules their end.
func (w *world) drawNetworkFaults() {
	if w.happens(0.4) {
		w.network.loss = 0.4 * w.rng.Float64()
	}
	if w.happens(0.4) {
		w.network.duplication = 0.3 * w.rng.Float64()
	}
	if w.happens(0.5) {
		w.network.maxJitter = w.between(0, 300*time.Millisecond)
	}
	if w.happens(0.4) {
		w.cutLinks()
	}
	if w.happens(0.2) {
		w.partition()
	}
	heal := dedupWindow + w.between(5*time.Second, 25*time.Second)
	w.at(heal, func() { w.network = newNetwork() })
	w.lastFaultAt = max(w.lastFaultAt, heal)
}

// cutLinks cuts some links in one direction.
func (w *world) cutLinks() {
	for range 1 + w.rng.IntN(len(w.nodes)) {
		from := w.rng.IntN(len(w.nodes))
		to := w.rng.IntN(len(w.nodes))
		w.network.cut[link{from, to}] = true
	}
}

// partition cuts the fleet into two parts.
func (w *world) partition() {
	size := w.rng.IntN(len(w.nodes)) + 1
	for from := range w.nodes {
		for to := range w.nodes {
			if from < size != (to < size) {
				w.network.cut[link{from, to}] = true
			}
		}
	}
}
