package workload

import (
	"encoding/binary"
	"slices"
	"time"

	"canvasroute/internal/testbed/unit"
)

// Arrival is one invocation that a client means to hand in.
type Arrival struct {
	At                  time.Duration // from the start of the experiment
	Operation, Customer int
	Work, Hint          time.Duration // Hint 0: none is given
	Key                 uint64        // of a deduplicated operation
	Retry               bool          // a trace says that this is a client's retry already
}

// Plan is all that a schedule follows from, but for the seed.
type Plan struct {
	Segments   []Segment
	Operations []Operation
	Customers  []Customer
	Extras     []Extra
}

// Extra is load on top for a while: a burst of everything, or one customer far beyond its share.
type Extra struct {
	From, To time.Duration
	Factor   float64 // of the load at that time that comes on top
	Customer int     // its own, or -1 for all
}

// Make draws the schedule, in the order of time.
func (p *Plan) Make(seed uint64) []Arrival {
	out := p.draw(p.Segments, seed, "load", -1)
	for n, e := range p.Extras {
		factor := e.Factor
		if e.Customer >= 0 {
			factor *= p.share(e.Customer)
		}
		extra := Within(p.Segments, e.From, e.To, factor)
		out = append(out, p.draw(extra, seed, "extra "+string(rune('a'+n)), e.Customer)...)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out
}

func (p *Plan) share(c int) float64 {
	sum := 0.0
	for _, other := range p.Customers {
		sum += other.Share
	}
	return p.Customers[c].Share / sum
}

func (p *Plan) draw(segments []Segment, seed uint64, stream string, customer int) []Arrival {
	operations := newPicker(p.Operations, func(o Operation) float64 { return o.Share })
	customers := newPicker(p.Customers, func(c Customer) float64 { return c.Share })
	mix := unit.Chance(seed, stream+" mix")
	var out []Arrival
	for _, at := range arrivals(segments, unit.Chance(seed, stream+" times")) {
		a := Arrival{At: at, Operation: operations.draw(mix), Customer: customers.draw(mix)}
		if customer >= 0 {
			a.Customer = customer
		}
		o := &p.Operations[a.Operation]
		a.Work = o.draw(mix)
		a.Hint = o.hint(a.Work, mix)
		a.Key = mix.Uint64()
		out = append(out, a)
	}
	return out
}

// Bytes writes a schedule in a fixed form, by which two can be compared or told apart by a hash.
func Bytes(schedule []Arrival) (b []byte) {
	for _, a := range schedule {
		b = binary.BigEndian.AppendUint64(b, uint64(a.At))
		b = binary.BigEndian.AppendUint32(b, uint32(a.Operation))
		b = binary.BigEndian.AppendUint32(b, uint32(a.Customer))
		b = binary.BigEndian.AppendUint64(b, uint64(a.Work))
		b = binary.BigEndian.AppendUint64(b, uint64(a.Hint))
		b = binary.BigEndian.AppendUint64(b, a.Key)
		retry := byte(0)
		if a.Retry {
			retry = 1
		}
		b = append(b, retry)
	}
	return b
}
