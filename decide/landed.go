package decide

import (
	"iter"
	"slices"
)

// landed keeps the invocations that are open in the order in which they landed. One that is over leaves a gap, and
// the gaps are closed once they are more than half: an end costs the same whatever is open beside it.
type landed struct {
	invs []Inv // with gaps
	live int
}

const gap = Inv(-1)

// leastGaps are never worth closing.
const leastGaps = 64

func (d *Dispatcher) addOpen(inv Inv) {
	o := &d.open
	if len(o.invs) > 2*o.live+leastGaps {
		o.invs = slices.DeleteFunc(o.invs, func(inv Inv) bool { return inv == gap })
		for n, inv := range o.invs {
			d.invs[inv].place = n
		}
	}
	d.invs[inv].place = len(o.invs)
	o.invs, o.live = append(o.invs, inv), o.live+1
}

func (d *Dispatcher) dropOpen(inv Inv) {
	d.open.invs[d.invs[inv].place] = gap
	d.open.live--
}

// latest goes through what is open, the latest landed first. What is gone through may end meanwhile.
func (o *landed) latest() iter.Seq[Inv] {
	return func(yield func(Inv) bool) {
		for n := len(o.invs) - 1; n >= 0; n-- {
			if o.invs[n] != gap && !yield(o.invs[n]) {
				return
			}
		}
	}
}

// letGo takes an invocation out of those that wait for a worker.
func (d *Dispatcher) letGo(inv Inv) {
	n := slices.Index(d.held, inv)
	d.held, d.invs[inv].held = slices.Delete(d.held, n, n+1), false
}
