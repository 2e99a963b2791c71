package workload

import (
	"encoding/binary"
	"slices"
	"time"

	"canvasroute/internal/testbed/unit"
)

// Arrival is one invocation that a client means to hand in.
type Arrival struct {
	At                time.Duration // from the start of the experiment
	Operation, Tenant int
	Work, Hint        time.Duration // Hint 0: none is given
	Key               uint64        // of a deduplicated operation
	Retry             bool          // a trace says that this is a client's retry already
}

// Plan is all that a schedule follows from, but for the seed.
type Plan struct {
	Segments   []Segment
	Operations []Operation
	Tenants    []Tenant
	ExtraLoads []ExtraLoad
}

// ExtraLoad is load on top for a while: a burst of everything, or one customer far beyond its share.
type ExtraLoad struct {
	From, To time.Duration
	Factor   float64 // of the load at that time that comes on top
	Tenant   int     // its own, or -1 for all
}

// Schedule draws the schedule, in the order of time.
func (p *Plan) Schedule(seed uint64) []Arrival {
	out := p.drawArrivals(p.Segments, seed, "load", -1)
	for n, e := range p.ExtraLoads {
		factor := e.Factor
		if e.Tenant >= 0 {
			factor *= p.tenantShare(e.Tenant)
		}
		extra := ScaleWithin(p.Segments, e.From, e.To, factor)
		out = append(out, p.drawArrivals(extra, seed, "extra "+string(rune('a'+n)), e.Tenant)...)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out
}

func (p *Plan) tenantShare(c int) float64 {
	sum := 0.0
	for _, other := range p.Tenants {
		sum += other.Share
	}
	return p.Tenants[c].Share / sum
}

func (p *Plan) drawArrivals(segments []Segment, seed uint64, stream string, tenant int) []Arrival {
	operations := newWeightedChoice(p.Operations, func(o Operation) float64 { return o.Share })
	tenants := newWeightedChoice(p.Tenants, func(c Tenant) float64 { return c.Share })
	mix := unit.RandomStream(seed, stream+" mix")
	var out []Arrival
	for _, at := range drawTimes(segments, unit.RandomStream(seed, stream+" times")) {
		a := Arrival{At: at, Operation: operations.draw(mix), Tenant: tenants.draw(mix)}
		if tenant >= 0 {
			a.Tenant = tenant
		}
		o := &p.Operations[a.Operation]
		a.Work = o.drawWork(mix)
		a.Hint = o.drawHint(a.Work, mix)
		a.Key = mix.Uint64()
		out = append(out, a)
	}
	return out
}

// Encode writes a schedule in a fixed form, by which two can be compared or told apart by a hash.
func Encode(schedule []Arrival) (b []byte) {
	for _, a := range schedule {
		b = binary.BigEndian.AppendUint64(b, uint64(a.At))
		b = binary.BigEndian.AppendUint32(b, uint32(a.Operation))
		b = binary.BigEndian.AppendUint32(b, uint32(a.Tenant))
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
