package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// CPU time that one request takes.
const (
	admittedCost = 100 * time.Microsecond
	rejectedCost = 25 * time.Microsecond
)

// simulateCore simulates a core that serves one queue. Requests arrive at rate per second until the time end. It returns
// the number of admitted requests and the longest delay, both counted from the time measureFrom.
func simulateCore(c *Controller, rate float64, measureFrom, end time.Duration) (admitted int, longest time.Duration) {
	idleAt := time.Duration(0)
	gap := time.Duration(float64(time.Second) / rate)
	sampleAt := SampleInterval
	for now := time.Duration(0); now < end; now += gap {
		for ; sampleAt <= now; sampleAt += SampleInterval {
			c.ObserveDelay(sampleAt, max(idleAt-sampleAt, 0))
		}
		cost := rejectedCost
		if c.Admit() {
			cost = admittedCost
			if now >= measureFrom {
				admitted++
			}
		}
		idleAt = max(idleAt, now) + cost
		if now >= measureFrom {
			longest = max(longest, idleAt-now)
		}
	}
	return admitted, longest
}

func TestOverloadKeepsDelayShortAndCoreBusy(t *testing.T) {
	const capacity = 10_000 // requests per second, if all are admitted
	for _, factor := range []float64{1.5, 3} {
		t.Run(fmt.Sprintf("%v times the capacity", factor), func(t *testing.T) {
			admitted, longest := simulateCore(New(1), factor*capacity, 2*time.Second, 6*time.Second)
			assert.Less(t, longest, 50*time.Millisecond)
			// The number of requests that the core can admit in 4 s if it rejects all others.
			possible := 4 * (1 - factor*capacity*rejectedCost.Seconds()) / (admittedCost - rejectedCost).Seconds()
			assert.Greater(t, float64(admitted), 0.75*possible)
		})
	}
}

func TestAllRequestsAreAdmittedBelowCapacity(t *testing.T) {
	admitted, _ := simulateCore(New(1), 9000, 0, 2*time.Second)
	assert.InDelta(t, 18000, admitted, 1)
}

// While few requests arrive, pauses of the machine or a lack of CPU time must not cause load shedding.
func TestDelayWithFewRequestsIsIgnored(t *testing.T) {
	c := New(1)
	for sampleAt := SampleInterval; sampleAt < 5*time.Second; sampleAt += SampleInterval {
		c.ObserveDelay(sampleAt, 80*time.Millisecond)
		if sampleAt%(10*time.Millisecond) == 0 {
			assert.True(t, c.Admit())
		}
	}
	assert.Equal(t, 1.0, c.AdmittedShare())
}

func TestShortDelayWithinEachIntervalAdmitsAll(t *testing.T) {
	c := New(1)
	for sampleAt := SampleInterval; sampleAt < 2*time.Second; sampleAt += SampleInterval {
		delay := 90 * time.Millisecond
		if sampleAt%(20*time.Millisecond) == 0 {
			delay = time.Millisecond
		}
		c.ObserveDelay(sampleAt, delay)
		c.intervalRequests.Add(1000)
	}
	assert.Equal(t, 1.0, c.AdmittedShare())
}

func TestAdmittedRequestsAreSpreadEvenlyAndShareRecovers(t *testing.T) {
	c := New(1)
	simulateCore(c, 40000, 0, 2*time.Second)
	assert.Less(t, c.AdmittedShare(), 0.5)
	share := c.AdmittedShare()
	rejectedInARow, longest := 0, 0
	for range 1000 {
		rejectedInARow++
		if c.Admit() {
			longest = max(longest, rejectedInARow)
			rejectedInARow = 0
		}
	}
	assert.LessOrEqual(t, float64(longest), 1/share+1)
	c.intervalRequests.Store(0)
	for sampleAt := 3 * time.Second; sampleAt < 6*time.Second; sampleAt += SampleInterval {
		c.ObserveDelay(sampleAt, 0)
	}
	assert.Equal(t, 1.0, c.AdmittedShare())
}
