package decide

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// instancesOf has n instances in the second of two processes, and workers that all of them know.
func instancesOf(t Terms, n, workers int) *Instances {
	now := Time(100 * Second)
	t.Dispatchers, t.Position = 2, 1
	s := NewInstances(t, n, 1, func() Time { return now }, func(string) {})
	var list []Entry
	for w := range workers {
		list = append(list, Entry{Tgt: Worker(w), ID: fmt.Sprintf("w%d", w), Zone: Zone(w % 2), Cell: Cell(w)})
	}
	s.ReportList(list, true, true)
	return s
}

func TestInstancesAreDispatchersAmongAllOfAllProcesses(t *testing.T) {
	terms := someTerms
	terms.Peers = true
	s := instancesOf(terms, 3, 4)
	for j, f := range s.each {
		assert.Equal(t, []int{6, 3 + j}, []int{f.d.dispatchers, f.d.position})
		assert.Equal(t, 1.0/6, f.d.share, "budgets and shares are cut into as many parts")
		assert.True(t, f.d.peers)
	}
	alone := instancesOf(someTerms, 1, 4)
	assert.Equal(t, []int{2, 1}, []int{alone.each[0].d.dispatchers, alone.each[0].d.position})
	assert.False(t, alone.each[0].d.peers, "one instance is as it was")
	for range 6 {
		s.Land(Landing{Grace: 3 * Second})
	}
	for _, f := range s.each {
		assert.Equal(t, 2, f.Open())
	}
	assert.Equal(t, 6, s.Open())
}

func TestInstancesTellOneAnotherInMemory(t *testing.T) {
	for _, outside := range []bool{false, true} {
		terms := someTerms
		terms.Peers = outside
		s := instancesOf(terms, 2, 1)
		ticket := s.each[0].Land(Landing{Grace: 3 * Second})
		c := pick(t, ticket)
		s.each[0].with(func(d *Dispatcher) { d.tell() }) // as its time comes
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		news, err := s.PickNews(ctx, 0)
		cancel()
		assert.Equal(t, 1, s.each[1].d.others[c.Tgt], "heard within the process")
		assert.Equal(t, 0, s.each[0].d.others[c.Tgt], "not by the one that told")
		if !outside {
			assert.Error(t, err, "nothing may leave the process")
			continue
		}
		for _, n := range news {
			assert.Less(t, int(n.To), 2, "an instance of the other process")
		}
		assert.Len(t, news, 2)
	}
}

func TestOneCallForTheListServesAllInstances(t *testing.T) {
	terms := someTerms
	terms.AskForList = true
	s := instancesOf(terms, 3, 1)
	for _, f := range s.each {
		f.with(func(d *Dispatcher) { d.askAt = 0 }) // their turn has come
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	assert.NoError(t, s.PickWatch(ctx))
	assert.Error(t, s.PickWatch(ctx), "the others want it by the same call")
	s.ReportList([]Entry{{Tgt: 0, ID: "w0", State: Draining}}, true, false)
	for _, f := range s.each {
		assert.True(t, f.d.subscribed)
		assert.Equal(t, Draining, f.d.state[0], "a drain holds for all")
	}
}

// Guards against two instances that tell each other at once and wait for each other's lock.
func TestInstancesThatTellEachOtherAtOnceDoNotWait(t *testing.T) {
	terms := someTerms
	terms.Granularity = 0
	s := instancesOf(terms, 4, 8)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for j := range s.Count() {
		go func() { _, _ = s.PickNews(ctx, j) }()
	}
	var lives sync.WaitGroup
	for range 8 {
		lives.Go(func() {
			for range 300 {
				ticket := s.Land(Landing{Grace: 3 * Second, Hint: 10})
				c, err := ticket.Pick(ctx)
				if !assert.NoError(t, err) {
					return
				}
				ticket.f.with(func(d *Dispatcher) { d.tell() })
				ticket.ReportStart(c.N)
				ticket.Report(c.N, Succeeded)
				_, err = ticket.Pick(ctx)
				assert.NoError(t, err)
			}
		})
	}
	lives.Wait()
	assert.Zero(t, s.Open())
}

// Guards against a fleet that restarts at once and greets all with all: it is charged for each message.
func TestNeighboursAreThoseWhoShareWorkers(t *testing.T) {
	terms := someTerms
	terms.Dispatchers, terms.Peers, terms.TellCost = 80, true, 0.000625
	fleet := make([]*Instances, 80)
	for n := range fleet {
		terms.Position = n
		fleet[n] = NewInstances(terms, 1, 1, func() Time { return 0 }, func(string) {})
		assert.Len(t, fleet[n].Neighbours(), 79, "all, before there is a list")
		var list []Entry
		for w := range 60 {
			list = append(list, Entry{Tgt: Worker(w), ID: fmt.Sprintf("w%d", w)})
		}
		fleet[n].ReportList(list, true, true)
	}
	for n, s := range fleet {
		near := s.Neighbours()
		assert.Less(t, len(near), 30)
		d := s.each[0].d
		for _, w := range d.parts[both] {
			for p := d.keep[w][0]; p < d.keep[w][1]; p++ {
				if p%80 != n {
					assert.Contains(t, near, p%80, "told of worker %d", w)
				}
			}
		}
		for _, p := range near {
			assert.Contains(t, fleet[p].Neighbours(), n, "each of the other")
		}
	}
}
