package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	takes   = 100 * time.Microsecond // of the core for one that is taken
	refuses = 25 * time.Microsecond  // and for one that is not
)

// flooded plays a core with one queue for so many a second, and returns what was taken and the longest delay, both
// from a time on.
func flooded(d *Controller, rate float64, from, to time.Duration) (taken int, longest time.Duration) {
	free, gap := time.Duration(0), time.Duration(float64(time.Second)/rate)
	beat := SampleInterval
	for at := time.Duration(0); at < to; at += gap {
		for ; beat <= at; beat += SampleInterval {
			d.ObserveDelay(beat, max(free-beat, 0))
		}
		cost := refuses
		if d.Admit() {
			cost = takes
			if at >= from {
				taken++
			}
		}
		if free = max(free, at) + cost; at >= from {
			longest = max(longest, free-at)
		}
	}
	return taken, longest
}

func TestDoorKeepsTheDelayShortAndTheCoreBusyInAFlood(t *testing.T) {
	for _, times := range []float64{1.5, 3} { // of the 10,000 a second that the core can take
		taken, longest := flooded(New(1), times*10000, 2*time.Second, 6*time.Second)
		assert.Less(t, longest, 50*time.Millisecond, times)
		// The core can take what is left when all others are refused.
		most := 4 * (1 - times*10000*refuses.Seconds()) / (takes - refuses).Seconds()
		assert.Greater(t, float64(taken), 0.75*most, times)
	}
}

func TestDoorIsOpenBelowWhatTheCoreCanTake(t *testing.T) {
	taken, _ := flooded(New(1), 9000, 0, 2*time.Second)
	assert.InDelta(t, 18000, taken, 1)
}

// Guards against a door that closes for a machine that stands still now and then, or gives us too little: it would
// turn clients away while there is nothing to decide.
func TestLatenessWithoutManyHeadsClosesNothing(t *testing.T) {
	d := New(1)
	for beat := SampleInterval; beat < 5*time.Second; beat += SampleInterval {
		d.ObserveDelay(beat, 80*time.Millisecond)
		if beat%(10*time.Millisecond) == 0 {
			assert.True(t, d.Admit())
		}
	}
	assert.Equal(t, 1.0, d.AdmittedShare())
}

func TestShortMomentsInAnIntervalKeepTheDoorOpen(t *testing.T) {
	d := New(1)
	for beat := SampleInterval; beat < 2*time.Second; beat += SampleInterval {
		late := 90 * time.Millisecond
		if beat%(20*time.Millisecond) == 0 {
			late = time.Millisecond
		}
		d.ObserveDelay(beat, late)
		d.heads.Add(1000)
	}
	assert.Equal(t, 1.0, d.AdmittedShare())
}

func TestDoorOpensAgainAndSpreadsThoseThatItTakes(t *testing.T) {
	d := New(1)
	flooded(d, 40000, 0, 2*time.Second)
	assert.Less(t, d.AdmittedShare(), 0.5)
	run, longest, share := 0, 0, d.AdmittedShare()
	for range 1000 {
		if run++; d.Admit() {
			longest, run = max(longest, run), 0
		}
	}
	assert.LessOrEqual(t, float64(longest), 1/share+1)
	d.heads.Store(0)
	for beat := 3 * time.Second; beat < 6*time.Second; beat += SampleInterval {
		d.ObserveDelay(beat, 0)
	}
	assert.Equal(t, 1.0, d.AdmittedShare())
}
