package balancer

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestProbesFollowLandings(t *testing.T) {
	d, b := newWarmBalancer(3, 1)
	d.config.probes = true
	for inv := range RequestID(5) {
		d.RequestArrived(inv, Arrival{Timeout: 10 * Second, SizeHint: 100})
		for range 3 {
			d.RunDueRules()
			d.now += Second / 100
		}
	}
	probes := slices.DeleteFunc(b.lines, func(l string) bool { return !strings.HasPrefix(l, "probe") })
	assert.Len(t, probes, 3, "the price is for each invocation, not for time")
}
