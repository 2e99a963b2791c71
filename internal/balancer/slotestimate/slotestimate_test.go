package slotestimate

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestEstimateAgreesWithMostVotes(t *testing.T) {
	kind := NewKind()
	for load := 1; load <= 3; load++ {
		for range 5 {
			kind.Estimate = kind.Vote(load, AtOnce)
		}
	}
	assert.EqualValues(t, 3, kind.MaxObserved)
	kind.Estimate = kind.Vote(4, Waited)
	assert.EqualValues(t, Initial, kind.Estimate, "one wait may be chance")
	kind.Estimate = kind.Vote(4, Waited)
	assert.EqualValues(t, 3, kind.Estimate)
}

func TestReportsAndSeedsRaiseMaxObserved(t *testing.T) {
	kind := NewKind()
	assert.False(t, kind.Seed(1), "every worker has a slot")
	assert.True(t, kind.Seed(5))
	assert.False(t, kind.Seed(7), "something was observed")
	assert.EqualValues(t, 6, kind.Report(5.6))
	assert.EqualValues(t, 6, kind.Report(2), "reports may be late")
}
