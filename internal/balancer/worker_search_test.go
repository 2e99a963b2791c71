package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression test for an index that missed a change: a worker with a free slot would get no more attempts.
func TestIndexesMatchTheirWorkersAfterRandomSteps(t *testing.T) {
	const (
		workers        = 70 // more workers than bits in one word
		steps          = 1500
		stepsPerCheck  = 10
		minEffects     = 500
		seeds          = 8
		startNoticeMod = 3 // every third seed has no start notices
	)
	for seed := range uint64(seeds) {
		config := testConfig
		config.Gossip.Enabled = seed%2 == 0
		config.LoadReports.FreeSlots = NotReported
		config.Attempts.StartNotices = seed%startNoticeMod != 0
		balancer, effects := newTestBalancer(config, seed, testEndpoints(workers))
		balancer.slots.kinds[0].Estimate = 1 // so that starts raise it
		driver := &randomDriver{
			balancer: balancer,
			effects:  effects,
			rng:      rand.New(rand.NewPCG(seed, 1)),
			inFlight: map[RequestID][]int{},
		}
		for n := 0; n < steps && !t.Failed(); n++ {
			driver.step()
			if n%stepsPerCheck == 0 {
				assertIndexesMatch(t, balancer)
			}
		}
		assert.Greater(t, driver.effectsSeen, minEffects)
	}
}

// randomDriver makes random calls to a Balancer: requests arrive, attempts start and end with any outcome, workers
// start, drain and are removed, peers send their load, and time passes.
type randomDriver struct {
	balancer    *Balancer
	effects     *recorder
	rng         *rand.Rand
	inFlight    map[RequestID][]int // numbers of the attempts that have not ended
	effectsSeen int                 // number of effect lines already processed
	freeIDs     []RequestID
	nextID      RequestID // the lowest ID that was never used
}

// step advances the time by up to 30 ms and makes one random call: an arrival, a start, an end, a load message or a
// change of an endpoint.
func (d *randomDriver) step() {
	d.balancer.SetTime(d.balancer.now + Time(d.rng.IntN(300)))
	switch d.rng.IntN(10) {
	case 0, 1, 2:
		d.arrive()
	case 3, 4:
		d.startAttempt()
	case 5, 6, 7:
		d.endAttempt()
	case 8:
		d.receiveLoad()
	case 9:
		d.changeEndpoint()
	}
	d.balancer.RunDueRules()
	d.recordAttempts()
	d.freeClosedIDs()
}

func (d *randomDriver) arrive() {
	operations := len(d.balancer.operations.byID)
	d.balancer.RequestArrived(d.takeID(), Arrival{
		Operation: OperationID(d.rng.IntN(operations)),
		Timeout:   Duration(2+d.rng.IntN(3)) * Second,
		Tenant:    TenantID(d.rng.IntN(2)),
		SizeHint:  Work(d.rng.IntN(9000)),
	})
}

// takeID returns the ID for a new request, reusing a free one if possible.
func (d *randomDriver) takeID() RequestID {
	if last := len(d.freeIDs) - 1; last >= 0 {
		id := d.freeIDs[last]
		d.freeIDs = d.freeIDs[:last]
		return id
	}
	id := d.nextID
	d.nextID++
	return id
}

func (d *randomDriver) startAttempt() {
	if id, number, ok := d.pickInFlight(); ok {
		d.balancer.AttemptStarted(id, number)
	}
}

func (d *randomDriver) endAttempt() {
	id, number, ok := d.pickInFlight()
	if !ok {
		return
	}
	d.inFlight[id] = slices.DeleteFunc(d.inFlight[id], func(other int) bool { return other == number })
	outcome := Outcome(1 + d.rng.IntN(int(ConnectionStale)))
	isAnswer := outcome == Succeeded && !d.balancer.requests.byID[id].closed
	d.balancer.AttemptEnded(id, number, outcome, answerOf(isAnswer))
}

// pickInFlight returns a random attempt in flight, and whether one was selected.
func (d *randomDriver) pickInFlight() (id RequestID, number int, ok bool) {
	for id := range d.nextID {
		numbers := d.inFlight[id]
		if len(numbers) > 0 && d.rng.IntN(3) == 0 {
			return id, numbers[d.rng.IntN(len(numbers))], true
		}
	}
	return 0, 0, false
}

func (d *randomDriver) receiveLoad() {
	workers := len(d.balancer.workers)
	d.balancer.ReceiveLoad(1, WorkerLoad{
		Worker:   WorkerID(d.rng.IntN(workers)),
		InFlight: d.rng.IntN(6),
	})
}

func (d *randomDriver) changeEndpoint() {
	changed := testEndpoint(WorkerID(d.rng.IntN(len(d.balancer.workers))))
	changed.State = WorkerState(d.rng.IntN(3))
	if d.rng.IntN(2) == 0 {
		changed.StartedAt = d.balancer.now
	}
	d.balancer.UpdateEndpoints([]Endpoint{changed}, ChangedEndpoints, NotFromDiscovery)
}

// recordAttempts records the attempts that were sent during the last step.
func (d *randomDriver) recordAttempts() {
	for _, line := range d.effects.lines[d.effectsSeen:] {
		var id, target int
		if fields, _ := fmt.Sscanf(line, "attempt %d to %d", &id, &target); fields == 2 {
			number := len(d.balancer.requests.byID[id].attempts) - 1
			d.inFlight[RequestID(id)] = append(d.inFlight[RequestID(id)], number)
		}
	}
	d.effectsSeen = len(d.effects.lines)
}

// freeClosedIDs frees the IDs of requests that are closed and whose attempts have all ended.
func (d *randomDriver) freeClosedIDs() {
	for id := range d.nextID {
		reusable := d.balancer.requests.byID[id].closed && len(d.inFlight[id]) == 0
		if reusable && !slices.Contains(d.freeIDs, id) {
			d.freeIDs = append(d.freeIDs, id)
		}
	}
}

// assertIndexesMatch compares each index with the state that it is derived from.
func assertIndexesMatch(t *testing.T, balancer *Balancer) {
	t.Helper()
	for number := range balancer.subsetting.subsets {
		assertSubsetMatches(t, balancer, number)
	}
	anyAvailable := slices.ContainsFunc(balancer.subsetting.ring, balancer.isAvailable)
	assert.Equal(t, anyAvailable, balancer.anyAvailable())
	assertRequestsMatch(t, balancer)
}

// assertSubsetMatches compares the positions, the maybeFree bits and the attempts in flight of a subset with its
// workers.
func assertSubsetMatches(t *testing.T, balancer *Balancer, number int) {
	t.Helper()
	set := &balancer.subsetting.subsets[number]
	inFlight := 0
	for position, id := range set.workers {
		inFlight += balancer.workers[id].inFlight
		assert.EqualValues(t, position, set.positions[id])
		maybeFree := set.maybeFree[position/wordBits]>>(position%wordBits)&1 == 1
		if !maybeFree {
			assert.True(t, balancer.isPersistentlyUnavailable(id), "a worker that may have a free slot is skipped")
			assert.False(t, balancer.isAvailable(id))
		}
	}
	assert.Equal(t, inFlight, set.inFlight)
	for id := range WorkerID(len(balancer.workers)) {
		assert.Equal(t, slices.Contains(set.workers, id), balancer.subsetting.inSubset(number, id))
	}
}

// assertRequestsMatch compares the lists of open and of pending requests with the request table.
func assertRequestsMatch(t *testing.T, balancer *Balancer) {
	t.Helper()
	open := []RequestID{}
	for id := range balancer.requests.newestFirst() {
		assert.False(t, balancer.requests.byID[id].closed)
		open = append(open, id)
	}
	assert.Len(t, open, balancer.requests.openCount)
	for id := range balancer.requests.byID {
		pending := slices.Contains(balancer.pending.ids, RequestID(id))
		assert.Equal(t, pending, balancer.requests.byID[id].queued)
	}
}
