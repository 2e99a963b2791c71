package decide

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// sound checks the indexes against all that they stand for.
func sound(t *testing.T, d *Dispatcher) {
	for p, part := range d.parts {
		own := 0
		for n, w := range part {
			own += d.own[w]
			assert.EqualValues(t, n, d.seats[p].place[w])
			if d.seats[p].maybe[n/64]>>(n%64)&1 == 0 {
				assert.True(t, d.full(w), "a worker that may have room is passed over")
				assert.False(t, d.idle(w))
			}
		}
		assert.Equal(t, own, d.seats[p].own)
		for w := range d.hash {
			assert.Equal(t, slices.Contains(part, Worker(w)), d.within(p, Worker(w)))
		}
	}
	assert.Equal(t, slices.ContainsFunc(d.ring, d.idle), d.anyIdle())
	open := []Inv{}
	for inv := range d.open.latest() {
		assert.False(t, d.invs[inv].over)
		open = append(open, inv)
	}
	assert.Len(t, open, d.open.live)
	for inv := range d.invs {
		assert.Equal(t, slices.Contains(d.held, Inv(inv)), d.invs[inv].held)
	}
}

// life drives a dispatcher by chance: invocations land, start and end in every way, workers come, cool down, drain
// and go, peers tell of load, and time passes.
type life struct {
	d    *Dispatcher
	b    *book
	rng  *rand.Rand
	out  map[Inv][]int // forwards that have not ended
	seen int
	free []Inv
	next Inv
}

func (l *life) step() {
	d := l.d
	d.Clock(d.now + Time(l.rng.IntN(300)))
	switch l.rng.IntN(10) {
	case 0, 1, 2:
		inv := l.next
		if n := len(l.free); n > 0 {
			inv, l.free = l.free[n-1], l.free[:n-1]
		} else {
			l.next++
		}
		d.Landed(inv, Landing{
			Operation: Operation(l.rng.IntN(len(d.ops))), Grace: Time(2+l.rng.IntN(3)) * Second,
			Customer: Customer(l.rng.IntN(2)), Hint: Work(l.rng.IntN(9000)),
		})
	case 3, 4:
		if inv, n, ok := l.pick(); ok {
			d.Started(inv, n)
		}
	case 5, 6, 7:
		if inv, n, ok := l.pick(); ok {
			l.out[inv] = slices.DeleteFunc(l.out[inv], func(m int) bool { return m == n })
			how := Outcome(1 + l.rng.IntN(int(Stale)))
			d.Ended(inv, n, how, how == Succeeded && !d.invs[inv].over)
		}
	case 8:
		d.Heard(1, Load{Tgt: Worker(l.rng.IntN(len(d.hash))), InFlight: l.rng.IntN(6)})
	case 9:
		w := Worker(l.rng.IntN(len(d.hash)))
		e := Entry{Tgt: w, ID: fmt.Sprintf("w%d", w), Zone: Zone(w % 2), Cell: Cell(w), State: State(l.rng.IntN(3))}
		if l.rng.IntN(2) == 0 {
			e.Born = d.now
		}
		d.Listed([]Entry{e}, false, false)
	}
	d.Settle()
	l.follow()
}

// follow takes note of the forwards that the last step made, and frees the numbers of what is over.
func (l *life) follow() {
	for _, line := range l.b.lines[l.seen:] {
		var inv, tgt int
		if n, _ := fmt.Sscanf(line, "forward %d to %d", &inv, &tgt); n == 2 {
			l.out[Inv(inv)] = append(l.out[Inv(inv)], len(l.d.invs[inv].forwards)-1)
		}
	}
	l.seen = len(l.b.lines)
	for inv := range l.next {
		if l.d.invs[inv].over && len(l.out[inv]) == 0 && !slices.Contains(l.free, inv) {
			l.free = append(l.free, inv)
		}
	}
}

func (l *life) pick() (Inv, int, bool) {
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
		terms := someTerms
		terms.Peers, terms.ReportFree = seed%2 == 0, -1
		terms.StartNotes = seed%3 != 0
		b := &book{}
		d := New(terms, seed, b)
		d.Clock(100 * Second)
		var list []Entry
		for w := range 70 { // more than one word of bits
			list = append(list, Entry{Tgt: Worker(w), ID: fmt.Sprintf("w%d", w), Zone: Zone(w % 2), Cell: Cell(w)})
		}
		d.Listed(list, true, true)
		d.slots[0] = 1 // so that more are believed as work starts
		l := &life{d: d, b: b, rng: rand.New(rand.NewPCG(seed, 1)), out: map[Inv][]int{}}
		for n := 0; n < 1500 && !t.Failed(); n++ {
			l.step()
			if n%10 == 0 {
				sound(t, d)
			}
		}
		assert.Greater(t, l.seen, 500)
	}
}

// Guards against gaps that are never closed, and against a place that is wrong once they have been.
func TestOpenInvocationsKeepTheirOrderThroughGaps(t *testing.T) {
	d, _ := warmDispatcher(1, 1)
	d.invs = make([]invocation, 1000)
	for inv := range Inv(1000) {
		d.addOpen(inv)
		if inv >= 3 {
			d.dropOpen(inv - 2)
		}
	}
	assert.Equal(t, []Inv{999, 998, 0}, slices.Collect(d.open.latest()))
	assert.LessOrEqual(t, len(d.open.invs), 2*3+leastGaps+2)
	assert.Equal(t, 3, d.open.live)
}
