package command

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/testbed/fault"
)

// powerLossExperiment is an experiment in which four dispatchers, nine workers and the list service lose power at once.
const powerLossExperiment = `name = "lost"
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
[[operation]]
name = "safe"
idempotency = "idempotent"
objective = "500ms"
stretch = 2
timeout = "3s"
work = "80ms"
tail = "exponential"
share = 1
value = 1
[[operation]]
name = "keyed"
idempotency = "deduplicated"
dedup-scope = "zone"
dedup-window = "20s"
objective = "500ms"
stretch = 2
timeout = "3s"
work = "80ms"
tail = "exponential"
share = 1
value = 1
[[operation]]
name = "once"
idempotency = "non-idempotent"
objective = "500ms"
stretch = 2
timeout = "3s"
work = "80ms"
tail = "exponential"
share = 1
value = 1
[load]
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

// Several processes lose power at once and restart with each state of a disk, while messages between them are lost,
// duplicated and delayed. The rules must be kept; no time is asserted.
func TestFleetThatLosesPowerKeepsTheRulesWithEachKindOfDisk(t *testing.T) {
	const rough = "link-loss = 0.2\nlink-jitter = \"30ms\"\nlink-duplicates = 0.2\n"
	for _, disk := range fault.DiskStates {
		t.Run(disk, func(t *testing.T) {
			t.Parallel()
			r := playFile(t, fmt.Sprintf(powerLossExperiment, rough, fmt.Sprintf("disk = %q", disk)))
			assert.Empty(t, r.Violations)
			serving := map[int]bool{}
			for _, p := range r.Phases {
				switch p.Phase {
				case "identity":
					serving[p.Dispatcher] = false
				case "trickle":
					serving[p.Dispatcher] = true
				}
			}
			assert.Equal(t, map[int]bool{0: true, 1: true, 2: true, 3: true}, serving, "all serve again")
		})
	}
}

func TestFleetThatLosesPowerKeepsTheRulesWithFaultsBetweenItsProcesses(t *testing.T) {
	for name, more := range map[string]string{
		"one never returns": "never-restored = 1",
		"three times":       "times = 3\nevery = \"1200ms\"",
		"none hears the others": "[[fault]]\nkind = \"link-cut\"\nat = \"3s\"\nfor = \"2s\"\n" +
			"dispatchers = 1\nway = \"hear\"",
		"two are not heard": "[[fault]]\nkind = \"link-cut\"\nat = \"3s\"\nfor = \"2s\"\n" +
			"dispatchers = 2\nway = \"heard\"",
		"a split in halves":      "[[fault]]\nkind = \"link-cut\"\nat = \"3s\"\nfor = \"4s\"\ndispatchers = 2",
		"a zone alone":           "zone = \"south\"",
		"an upgrade meanwhile":   "[[fault]]\nkind = \"upgrade\"\nat = \"4300ms\"\ngap = \"200ms\"",
		"a drain by hand before": "[[fault]]\nkind = \"leave\"\nat = \"1s\"\nfor = \"5s\"\ndispatchers = 2",
		"a clock an hour ahead":  "clock = \"1h\"",
		"a clock an hour behind": "clock = \"-1h\"",
		"parts off":              "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := fmt.Sprintf(powerLossExperiment, "", more)
			if name == "parts off" {
				text = strings.Replace(text, "recovery = true\n", "", 1)
			}
			r := playFile(t, text)
			assert.Empty(t, r.Violations)
		})
	}
}
