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
	assert.EqualValues(t, Initial, kind.Estimate, "a single wait is ignored")
	kind.Estimate = kind.Vote(4, Waited)
	assert.EqualValues(t, 3, kind.Estimate)
}

func TestReportsAndSeedsRaiseMaxObserved(t *testing.T) {
	kind := NewKind()
	assert.False(t, kind.Seed(1), "every worker has at least one slot")
	assert.True(t, kind.Seed(5))
	assert.False(t, kind.Seed(7), "MaxObserved is already set")
	assert.EqualValues(t, 6, kind.Report(5.6))
	assert.EqualValues(t, 6, kind.Report(2), "a lower report may be late")
}
