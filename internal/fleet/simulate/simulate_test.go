package simulate

import (
	"fmt"
	"os"
	"reflect"
	"runtime"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"golang.org/x/sync/errgroup"
)

// historyCount returns the number of histories to run: the value of CANVASROUTE_HISTORIES if set, otherwise
// defaultCount.
func historyCount(t *testing.T, defaultCount int) int {
	t.Helper()
	setting := os.Getenv("CANVASROUTE_HISTORIES")
	if setting == "" {
		return defaultCount
	}
	count, err := strconv.Atoi(setting)
	assert.NoError(t, err)
	return count
}

func TestNoHistoryViolatesAnInvariant(t *testing.T) {
	var histories errgroup.Group
	histories.SetLimit(max(1, runtime.NumCPU()/2)) // leaves CPU time for timing-dependent tests of other packages
	for seed := range historyCount(t, 600) {
		histories.Go(func() error {
			plan := Plan{Dispatchers: 3 + seed%4, Workers: 15, Seed: uint64(seed)}
			if result := Run(plan); len(result.Violations) > 0 {
				t.Errorf("seed %d, %d dispatchers: %v", seed, plan.Dispatchers, result.Violations)
			}
			return nil
		})
	}
	assert.NoError(t, histories.Wait())
}

func TestSameSeedGivesSameResult(t *testing.T) {
	for _, c := range []struct {
		name string
		plan Plan
	}{
		{"seed 42", Plan{Dispatchers: 5, Workers: 15, Seed: 42}},
		// In this history parts of replies are lost. The result must not depend on the iteration order of a map.
		{"seed 170", Plan{Dispatchers: 5, Workers: 15, Seed: 170}},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := Run(c.plan)
			for range 10 {
				assert.True(t, reflect.DeepEqual(first, Run(c.plan)))
			}
		})
	}
}

func TestLargeFleetRecovers(t *testing.T) {
	for _, size := range []int{30, 100} {
		t.Run(fmt.Sprint(size, " dispatchers"), func(t *testing.T) {
			result := Run(Plan{Dispatchers: size, Workers: 200, Seed: 1, FleetOutageOnly: true})
			assert.Empty(t, result.Violations)
			t.Logf("%d messages and %d bytes per dispatcher, at most %d messages, all serve after %v, %d events",
				result.Messages/size, result.Bytes/size, result.MaxMessages, result.RecoveryTime, result.Events)
		})
	}
}
