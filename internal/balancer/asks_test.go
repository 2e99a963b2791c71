package balancer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// queue is a list service of fixed capacity: it works through calls in turn, those given up as well, as it
// learns of that only when it answers.
type queue struct {
	each, patience Time
	freeAt         Time
}

// call tells when an answer comes, and whether it is the list.
func (q *queue) call(now Time) (at Time, list bool) {
	q.freeAt = max(q.freeAt, now) + q.each
	if q.freeAt > now+q.patience {
		return now + q.patience, false
	}
	return q.freeAt, true
}

// startTogether starts dispatchers in one tick and follows their calls; it returns when each has its list.
func startTogether(n int, numbers []int, q *queue) (have []Time, calls int) {
	type asker struct {
		d      *Balancer
		answer Time
		list   bool
	}
	var askers []*asker
	for _, number := range numbers {
		terms := testConfig
		terms.PollEndpoints, terms.Dispatchers, terms.Position = true, n, number
		d := New(terms, uint64(number), &recorder{})
		d.SetTime(100 * Second)
		d.UpdateEndpoints([]Endpoint{{ID: "w"}}, true, false)
		askers = append(askers, &asker{d: d, answer: never})
	}
	for now := Time(100 * Second); now < 160*Second && len(have) < len(askers); now += 20 {
		for _, a := range askers {
			switch d := a.d; {
			case a.answer <= now && a.list:
				d.UpdateEndpoints([]Endpoint{{ID: "w"}}, true, true)
				have, a.answer = append(have, now-100*Second), never
			case a.answer <= now:
				d.SetTime(now)
				d.EndpointsUnavailable()
				a.answer = never
			case a.answer == never && !d.discovery.watching && d.discovery.nextPoll <= now:
				calls++
				a.answer, a.list = q.call(now)
			}
		}
	}
	return have, calls
}

// Guards against a fleet that starts at once and asks at once, and whose repeats then keep the service busy
// with calls that nobody waits for any more.
func TestFleetThatStartsAtOnceLeavesTheListServiceTimeToAnswer(t *testing.T) {
	var everybody []int
	for number := range 80 {
		everybody = append(everybody, number)
	}
	for _, c := range []struct {
		each    Time // what a call takes the service
		numbers []int
		within  Time
	}{
		{630, everybody, 8 * Second},
		{800, everybody[:56], 8 * Second},
		{800, everybody, 15 * Second},  // more than the service can do in the time in which they spread
		{1250, everybody, 30 * Second}, // twice as much
	} {
		t.Run(fmt.Sprint(len(c.numbers), "x", c.each), func(t *testing.T) {
			have, calls := startTogether(80, c.numbers, &queue{each: c.each, patience: 2 * Second})
			if assert.Len(t, have, len(c.numbers), "all have the list") {
				assert.Less(t, slices.Max(have), c.within)
			}
			assert.Less(t, calls, 3*len(c.numbers))
		})
	}
}

func TestFewDispatchersAskForTheListAtOnce(t *testing.T) {
	have, calls := startTogether(2, []int{0, 1}, &queue{each: 600, patience: 2 * Second})
	assert.Equal(t, 2, calls)
	assert.Less(t, slices.Max(have), Time(Second/4))
}
