package workload

import (
	"encoding/binary"
	"slices"
	"time"

	"canvasroute/internal/testbed/unit"
)

// Arrival is a request of a schedule, which a client sends at a scheduled time.
type Arrival struct {
	At        time.Duration // since the start of the experiment
	Operation int           // index into Plan.Operations
	Tenant    int           // index into Plan.Tenants, 0 if there are none
	Work      time.Duration // core time on a worker of standard speed
	Hint      time.Duration // the client's estimate of Work; 0: the client sends no hint
	Key       uint64        // idempotency key, for operations that use one
	Retry     bool          // the trace marks the request as a client's retry
}

// Plan contains all parameters of a schedule except the seed.
type Plan struct {
	Segments   []Segment // the base load, in order
	Operations []Operation
	Tenants    []Tenant
	ExtraLoads []ExtraLoad // added to the base load
}

// ExtraLoad adds arrivals during an interval: a burst of all tenants, or of one tenant that far exceeds its share.
type ExtraLoad struct {
	Start  time.Duration // since the start of the experiment
	End    time.Duration // since the start of the experiment
	Factor float64       // multiple of the current base rate that is added to it
	Tenant int           // index of the sending tenant, or AllTenants
}

// AllTenants is the ExtraLoad.Tenant of a load that all tenants send, each with its share.
const AllTenants = -1

// Schedule draws the arrivals for a seed and returns them ordered by time.
func (p *Plan) Schedule(seed uint64) []Arrival {
	schedule := p.drawArrivals(p.Segments, seed, "load", AllTenants)
	for n, load := range p.ExtraLoads {
		factor := load.Factor
		if load.Tenant != AllTenants {
			factor *= p.tenantShare(load.Tenant)
		}
		extra := ScaleWithin(p.Segments, load.Start, load.End, factor)
		stream := "extra " + string(rune('a'+n))
		schedule = append(schedule, p.drawArrivals(extra, seed, stream, load.Tenant)...)
	}
	slices.SortStableFunc(schedule, func(a, b Arrival) int { return int(a.At - b.At) })
	return schedule
}

// tenantShare returns the fraction of the base load that a tenant sends.
func (p *Plan) tenantShare(tenant int) float64 {
	sum := 0.0
	for _, other := range p.Tenants {
		sum += other.Share
	}
	return p.Tenants[tenant].Share / sum
}

// drawArrivals draws arrivals at the rates of the segments, from random streams whose names begin with stream. All
// arrivals belong to the given tenant, unless it is AllTenants. The tenant is drawn in both cases, so that the other
// draws do not depend on it.
func (p *Plan) drawArrivals(segments []Segment, seed uint64, stream string, tenant int) (arrivals []Arrival) {
	operations := newWeightedChoice(p.Operations, func(o Operation) float64 { return o.Share })
	tenants := newWeightedChoice(p.Tenants, func(t Tenant) float64 { return t.Share })
	mix := unit.RandomStream(seed, stream+" mix")
	for _, at := range drawTimes(segments, unit.RandomStream(seed, stream+" times")) {
		arrival := Arrival{At: at, Operation: operations.draw(mix), Tenant: tenants.draw(mix)}
		if tenant != AllTenants {
			arrival.Tenant = tenant
		}
		operation := &p.Operations[arrival.Operation]
		arrival.Work = operation.drawWork(mix)
		arrival.Hint = operation.drawHint(arrival.Work, mix)
		arrival.Key = mix.Uint64()
		arrivals = append(arrivals, arrival)
	}
	return arrivals
}

// Encode returns a canonical binary encoding of a schedule, for comparison and hashing.
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
