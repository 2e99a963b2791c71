package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// checkIndexes checks the indexes against all that they stand for.
func checkIndexes(t *testing.T, balancer *Balancer) {
	for p := range balancer.subsetting.subsets {
		part := balancer.subsetting.subsets[p].workers
		own := 0
		for n, w := range part {
			own += balancer.workers[w].inFlight
			assert.EqualValues(t, n, balancer.subsetting.subsets[p].positions[w])
			if balancer.subsetting.subsets[p].maybeFree[n/64]>>(n%64)&1 == 0 {
				assert.True(t, balancer.isFull(w), "a worker that may have room is passed over")
				assert.False(t, balancer.isAvailable(w))
			}
		}
		assert.Equal(t, own, balancer.subsetting.subsets[p].inFlight)
		for w := range balancer.workers {
			assert.Equal(t, slices.Contains(part, WorkerID(w)), balancer.subsetting.inSubset(p, WorkerID(w)))
		}
	}
	assert.Equal(t, slices.ContainsFunc(balancer.subsetting.ring, balancer.isAvailable), balancer.anyAvailable())
	open := []RequestID{}
	for id := range balancer.requests.newestFirst() {
		assert.False(t, balancer.requests.byID[id].closed)
		open = append(open, id)
	}
	assert.Len(t, open, balancer.requests.openCount)
	for id := range balancer.requests.byID {
		assert.Equal(t, slices.Contains(balancer.pending.ids, RequestID(id)), balancer.requests.byID[id].queued)
	}
}

// randomLife drives a dispatcher by chance: requests land, start and end in every way, workers come, cool down, drain
// and go, peers tell of load, and time passes.
type randomLife struct {
	balancer *Balancer
	effects  *recorder
	rng      *rand.Rand
	out      map[RequestID][]int // attempts that have not ended
	seen     int
	free     []RequestID
	next     RequestID
}

func (l *randomLife) step() {
	balancer := l.balancer
	balancer.SetTime(balancer.now + Time(l.rng.IntN(300)))
	switch l.rng.IntN(10) {
	case 0, 1, 2:
		id := l.next
		if n := len(l.free); n > 0 {
			id, l.free = l.free[n-1], l.free[:n-1]
		} else {
			l.next++
		}
		balancer.RequestArrived(id, Arrival{
			Operation: OperationID(l.rng.IntN(len(balancer.operations.byID))), Timeout: Duration(2+l.rng.IntN(3)) * Second,
			Tenant: TenantID(l.rng.IntN(2)), SizeHint: Work(l.rng.IntN(9000)),
		})
	case 3, 4:
		if id, n, ok := l.pick(); ok {
			balancer.AttemptStarted(id, n)
		}
	case 5, 6, 7:
		if id, n, ok := l.pick(); ok {
			l.out[id] = slices.DeleteFunc(l.out[id], func(m int) bool { return m == n })
			outcome := Outcome(1 + l.rng.IntN(int(ConnectionStale)))
			balancer.AttemptEnded(id, n, outcome, answerOf(outcome == Succeeded && !balancer.requests.byID[id].closed))
		}
	case 8:
		balancer.ReceiveLoad(1, WorkerLoad{Worker: WorkerID(l.rng.IntN(len(balancer.workers))), InFlight: l.rng.IntN(6)})
	case 9:
		w := WorkerID(l.rng.IntN(len(balancer.workers)))
		e := Endpoint{Worker: w, ID: fmt.Sprintf("w%d", w), Zone: ZoneID(w % 2), Cell: CellID(w), State: WorkerState(l.rng.IntN(3))}
		if l.rng.IntN(2) == 0 {
			e.StartedAt = balancer.now
		}
		balancer.UpdateEndpoints([]Endpoint{e}, ChangedEndpoints, FromBeforeStart)
	}
	balancer.RunDueRules()
	l.follow()
}

// follow takes note of the attempts that the last step made, and frees the numbers of what is over.
func (l *randomLife) follow() {
	for _, line := range l.effects.lines[l.seen:] {
		var id, target int
		if n, _ := fmt.Sscanf(line, "attempt %d to %d", &id, &target); n == 2 {
			l.out[RequestID(id)] = append(l.out[RequestID(id)], len(l.balancer.requests.byID[id].attempts)-1)
		}
	}
	l.seen = len(l.effects.lines)
	for id := range l.next {
		if l.balancer.requests.byID[id].closed && len(l.out[id]) == 0 && !slices.Contains(l.free, id) {
			l.free = append(l.free, id)
		}
	}
}

func (l *randomLife) pick() (RequestID, int, bool) {
	for id := range l.next {
		if out := l.out[id]; len(out) > 0 && l.rng.IntN(3) == 0 {
			return id, out[l.rng.IntN(len(out))], true
		}
	}
	return 0, 0, false
}

// Regression test for an index that has missed a change: a worker with room would then get no more work.
func TestIndexesMatchTheirWorkersWhateverHappens(t *testing.T) {
	for seed := range uint64(8) {
		config := testConfig
		config.Gossip, config.ReportFree = seed%2 == 0, -1
		config.StartNotices = seed%3 != 0
		effects := &recorder{}
		balancer := New(config, seed, effects)
		balancer.SetTime(100 * Second)
		var list []Endpoint
		for w := range 70 { // more than one word of bits
			list = append(list, Endpoint{Worker: WorkerID(w), ID: fmt.Sprintf("w%d", w), Zone: ZoneID(w % 2), Cell: CellID(w)})
		}
		balancer.UpdateEndpoints(list, AllEndpoints, FromDiscovery)
		balancer.slots.kinds[0].Estimate = 1 // so that more are believed as work starts
		l := &randomLife{balancer: balancer, effects: effects, rng: rand.New(rand.NewPCG(seed, 1)), out: map[RequestID][]int{}}
		for n := 0; n < 1500 && !t.Failed(); n++ {
			l.step()
			if n%10 == 0 {
				checkIndexes(t, balancer)
			}
		}
		assert.Greater(t, l.seen, 500)
	}
}
