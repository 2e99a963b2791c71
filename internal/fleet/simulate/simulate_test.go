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

// historyCount returns how many histories are run: the number in CANVASROUTE_HISTORIES, if that is set.
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
	histories.SetLimit(max(1, runtime.NumCPU()/2)) // tests of other packages, which run beside it, depend on times
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

func TestOneSeedGivesOneHistory(t *testing.T) {
	for _, c := range []struct {
		name string
		plan Plan
	}{
		{"seed 42", Plan{Dispatchers: 5, Workers: 15, Seed: 42}},
		// Parts of replies are lost: the result must not follow from the order of a map.
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
			t.Logf("%d messages and %d bytes each, most %d, all serve after %v, %d events",
				result.Messages/size, result.Bytes/size, result.MaxMessages, result.RecoveryTime, result.Events)
		})
	}
}
