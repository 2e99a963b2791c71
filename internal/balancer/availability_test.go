package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// sound checks the indexes against all that they stand for.
func sound(t *testing.T, d *Balancer) {
	for p := range d.subsetting.subsets {
		part := d.subsetting.subsets[p].workers
		own := 0
		for n, w := range part {
			own += d.workers[w].inFlight
			assert.EqualValues(t, n, d.subsetting.subsets[p].positions[w])
			if d.subsetting.subsets[p].maybeFree[n/64]>>(n%64)&1 == 0 {
				assert.True(t, d.isFull(w), "a worker that may have room is passed over")
				assert.False(t, d.isAvailable(w))
			}
		}
		assert.Equal(t, own, d.subsetting.subsets[p].inFlight)
		for w := range d.workers {
			assert.Equal(t, slices.Contains(part, WorkerID(w)), d.subsetting.inSubset(p, WorkerID(w)))
		}
	}
	assert.Equal(t, slices.ContainsFunc(d.subsetting.ring, d.isAvailable), d.anyAvailable())
	open := []RequestID{}
	for inv := range d.requests.newestFirst() {
		assert.False(t, d.requests.byID[inv].closed)
		open = append(open, inv)
	}
	assert.Len(t, open, d.requests.openCount)
	for inv := range d.requests.byID {
		assert.Equal(t, slices.Contains(d.pending.ids, RequestID(inv)), d.requests.byID[inv].queued)
	}
}

// life drives a dispatcher by chance: invocations land, start and end in every way, workers come, cool down, drain
// and go, peers tell of load, and time passes.
type life struct {
	d    *Balancer
	b    *recorder
	rng  *rand.Rand
	out  map[RequestID][]int // forwards that have not ended
	seen int
	free []RequestID
	next RequestID
}

func (l *life) step() {
	d := l.d
	d.SetTime(d.now + Time(l.rng.IntN(300)))
	switch l.rng.IntN(10) {
	case 0, 1, 2:
		inv := l.next
		if n := len(l.free); n > 0 {
			inv, l.free = l.free[n-1], l.free[:n-1]
		} else {
			l.next++
		}
		d.RequestArrived(inv, Arrival{
			Operation: OperationID(l.rng.IntN(len(d.operations.byID))), Timeout: Time(2+l.rng.IntN(3)) * Second,
			Tenant: TenantID(l.rng.IntN(2)), SizeHint: Work(l.rng.IntN(9000)),
		})
	case 3, 4:
		if inv, n, ok := l.pick(); ok {
			d.AttemptStarted(inv, n)
		}
	case 5, 6, 7:
		if inv, n, ok := l.pick(); ok {
			l.out[inv] = slices.DeleteFunc(l.out[inv], func(m int) bool { return m == n })
			how := Outcome(1 + l.rng.IntN(int(ConnectionStale)))
			d.AttemptEnded(inv, n, how, how == Succeeded && !d.requests.byID[inv].closed)
		}
	case 8:
		d.ReceiveLoad(1, Load{Worker: WorkerID(l.rng.IntN(len(d.workers))), InFlight: l.rng.IntN(6)})
	case 9:
		w := WorkerID(l.rng.IntN(len(d.workers)))
		e := Endpoint{Worker: w, ID: fmt.Sprintf("w%d", w), Zone: ZoneID(w % 2), Cell: CellID(w), State: WorkerState(l.rng.IntN(3))}
		if l.rng.IntN(2) == 0 {
			e.StartedAt = d.now
		}
		d.UpdateEndpoints([]Endpoint{e}, false, false)
	}
	d.RunDueRules()
	l.follow()
}

// follow takes note of the forwards that the last step made, and frees the numbers of what is over.
func (l *life) follow() {
	for _, line := range l.b.lines[l.seen:] {
		var inv, tgt int
		if n, _ := fmt.Sscanf(line, "forward %d to %d", &inv, &tgt); n == 2 {
			l.out[RequestID(inv)] = append(l.out[RequestID(inv)], len(l.d.requests.byID[inv].attempts)-1)
		}
	}
	l.seen = len(l.b.lines)
	for inv := range l.next {
		if l.d.requests.byID[inv].closed && len(l.out[inv]) == 0 && !slices.Contains(l.free, inv) {
			l.free = append(l.free, inv)
		}
	}
}

func (l *life) pick() (RequestID, int, bool) {
	for inv := range l.next {
		if out := l.out[inv]; len(out) > 0 && l.rng.IntN(3) == 0 {
			return inv, out[l.rng.IntN(len(out))], true
		}
	}
	return 0, 0, false
}

// Guards against an index that has missed a change: a worker with room would then get no more work.
func TestIndexesStandForAllThereIsWhateverHappens(t *testing.T) {
	for seed := range uint64(8) {
		terms := testConfig
		terms.Gossip, terms.ReportFree = seed%2 == 0, -1
		terms.StartNotices = seed%3 != 0
		b := &recorder{}
		d := New(terms, seed, b)
		d.SetTime(100 * Second)
		var list []Endpoint
		for w := range 70 { // more than one word of bits
			list = append(list, Endpoint{Worker: WorkerID(w), ID: fmt.Sprintf("w%d", w), Zone: ZoneID(w % 2), Cell: CellID(w)})
		}
		d.UpdateEndpoints(list, true, true)
		d.slots.kinds[0].estimate = 1 // so that more are believed as work starts
		l := &life{d: d, b: b, rng: rand.New(rand.NewPCG(seed, 1)), out: map[RequestID][]int{}}
		for n := 0; n < 1500 && !t.Failed(); n++ {
			l.step()
			if n%10 == 0 {
				sound(t, d)
			}
		}
		assert.Greater(t, l.seen, 500)
	}
}
