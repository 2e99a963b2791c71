package slotestimate

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestEstimateAgreesWithMostVotes(t *testing.T) {
	k := NewKind()
	for load := 1; load <= 3; load++ {
		for range 5 {
			k.Estimate = k.Vote(load, AtOnce)
		}
	}
	assert.EqualValues(t, 3, k.MaxObserved)
	k.Estimate = k.Vote(4, Waited)
	assert.EqualValues(t, Initial, k.Estimate, "one wait may be chance")
	k.Estimate = k.Vote(4, Waited)
	assert.EqualValues(t, 3, k.Estimate)
}

func TestReportsAndSeedsRaiseWhatWasObserved(t *testing.T) {
	k := NewKind()
	assert.False(t, k.Seed(1), "that is what is known of every worker")
	assert.True(t, k.Seed(5))
	assert.False(t, k.Seed(7), "something was observed")
	assert.EqualValues(t, 6, k.Report(5.6))
	assert.EqualValues(t, 6, k.Report(2), "reports may be late")
}
