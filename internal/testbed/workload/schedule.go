package workload

import (
	"encoding/binary"
	"slices"
	"time"

	"canvasroute/internal/testbed/unit"
)

// Arrival is one request that a client is due to send.
type Arrival struct {
	At                time.Duration // since the start of the experiment
	Operation, Tenant int
	Work, Hint        time.Duration // Hint 0: the client sends none
	Key               uint64        // idempotency key, for operations that use one
	Retry             bool          // the trace marks it as a client's retry
}

// Plan is everything that determines a schedule except the seed.
type Plan struct {
	Segments   []Segment
	Operations []Operation
	Tenants    []Tenant
	ExtraLoads []ExtraLoad
}

// ExtraLoad adds arrivals for a while: a burst over all tenants, or one tenant far above its share.
type ExtraLoad struct {
	From, To time.Duration
	Factor   float64 // of the base rate at that time, added to it
	Tenant   int     // index of the tenant that sends it, or AllTenants
}

// AllTenants stands for all tenants together, each with its share.
const AllTenants = -1

// Schedule draws the arrivals for a seed, ordered by time.
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

// Encode writes a schedule in a canonical binary form, for comparing and hashing.
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
