package command

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/testbed/fault"
)

// powerLossExperiment is the format of an experiment file in which four dispatchers, nine workers and the discovery
// service lose power at the same time. Its arguments are additional keys of the dispatchers and of the fault.
var powerLossExperiment = `name = "lost"
[dispatchers]
count = 4
recovery = true
state-interval = "200ms"
%s
[fleet]
zones = ["north", "south", "east"]
warmup-initial-share = 0.12
warmup-duration = "3s"
list-lag = "100ms"
[[fleet.kind]]
name = "std"
cores = 3
queue = 3
count = 9
` + operationTable("safe", "idempotent", "80ms", "") +
	operationTable("keyed", "deduplicated", "80ms", "dedup-scope = \"zone\"\ndedup-window = \"20s\"\n") +
	operationTable("once", "non-idempotent", "80ms", "") + `[load]
retries = 2
retry-wait = "300ms"
[[load.phase]]
shape = "poisson"
rate = 50
for = "7s"
[[fault]]
kind = "power-loss"
at = "3500ms"
restore-after = "200ms"
workers-restore-after = "300ms"
list-restore-after = "700ms"
spread = "300ms"
%s
`

// All dispatchers lose power at the same time and restart with each disk state, while messages between them are lost,
// duplicated and delayed. No rule may be violated; the test asserts no durations.
func TestFleetThatLosesPowerKeepsTheRulesWithEachKindOfDisk(t *testing.T) {
	const lossyLink = "link-loss = 0.2\nlink-jitter = \"30ms\"\nlink-duplicates = 0.2\n"
	for _, disk := range fault.DiskStates {
		t.Run(disk, func(t *testing.T) {
			t.Parallel()
			result := runExperiment(t, fmt.Sprintf(powerLossExperiment, lossyLink, fmt.Sprintf("disk = %q", disk)))
			assert.Empty(t, result.Violations)
			serving := map[int]bool{}
			for _, phase := range result.Phases {
				switch phase.Phase {
				case "identity":
					serving[phase.Dispatcher] = false
				case "trickle":
					serving[phase.Dispatcher] = true
				}
			}
			assert.Equal(t, map[int]bool{0: true, 1: true, 2: true, 3: true}, serving, "not all dispatchers serve again after the power loss")
		})
	}
}

func TestFleetThatLosesPowerKeepsTheRulesWithFaultsBetweenItsProcesses(t *testing.T) {
	for name, keys := range map[string]string{
		"one dispatcher never returns": "never-restored = 1",
		"three power losses":           "times = 3\nevery = \"1200ms\"",
		"one receives nothing from the others": "[[fault]]\nkind = \"link-cut\"\nat = \"3s\"\nfor = \"2s\"\n" +
			"dispatchers = 1\nway = \"hear\"",
		"two send nothing to the others": "[[fault]]\nkind = \"link-cut\"\nat = \"3s\"\nfor = \"2s\"\n" +
			"dispatchers = 2\nway = \"heard\"",
		"a partition into halves":         "[[fault]]\nkind = \"link-cut\"\nat = \"3s\"\nfor = \"4s\"\ndispatchers = 2",
		"a power loss in one zone":        "zone = \"south\"",
		"an upgrade after the power loss": "[[fault]]\nkind = \"upgrade\"\nat = \"4300ms\"\ngap = \"200ms\"",
		"a drain by an operator before":   "[[fault]]\nkind = \"leave\"\nat = \"1s\"\nfor = \"5s\"\ndispatchers = 2",
		"a clock an hour ahead":           "clock = \"1h\"",
		"a clock an hour behind":          "clock = \"-1h\"",
		"without persisted state":         "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := fmt.Sprintf(powerLossExperiment, "", keys)
			if name == "without persisted state" {
				text = strings.Replace(text, "recovery = true\n", "", 1)
			}
			result := runExperiment(t, text)
			assert.Empty(t, result.Violations)
		})
	}
}
