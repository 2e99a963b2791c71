package experiment

import (
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/testbed/unit"
	"canvasroute/internal/tomlconfig"
)

// failOnRenamedKey returns a callback that fails the test for each former key in a file.
func failOnRenamedKey(t *testing.T) func(RenamedKey) {
	t.Helper()
	return func(key RenamedKey) { t.Error(key) }
}

// currentKeysFile sets every key that has a former name, by its current name and to a value other than the default.
const currentKeysFile = `name = "keys"
[dispatchers]
count = 3
poll-interval = "7s"
max-retry-after = "3s"
dial-timeout = "300ms"
max-attempts = 5
link-duplicates = 0.3
cancellation = false
failure-timeout = "4s"
hedging = false
state-interval = "5s"
over-quota-value = 0.6
value-by-count = true
[fleet]
warmup-initial-share = 0.7
overload-multiple = 6
warmup-duration = "11s"
overload-span = "8s"
announce-start-notes = false
[[fleet.kind]]
name = "std"
cores = 1
count = 3
[[operation]]
name = "status"
idempotency = "idempotent"
objective = "1s"
timeout = "2s"
work = "1ms"
tail = "constant"
share = 1
late-value = 0.8
[[tenants]]
name = "uni"
share = 1
[load]
max-open = 900
[[load.phase]]
shape = "poisson"
rate = 1
for = "10s"
[[fault]]
kind = "power-loss"
restore-after = "1s"
list-restore-after = "1200ms"
peers-restore-after = "1300ms"
workers-restore-after = "1400ms"
never-restored = 1
[[fault]]
kind = "flood"
for = "1s"
factor = 2
tenant = "uni"
[[fault]]
kind = "new-settings"
max-attempts = 9
`

// parseKeys parses the text of a file, and returns the plan and the former keys in the text.
func parseKeys(t *testing.T, text string) (plan *Plan, renamed []RenamedKey) {
	t.Helper()
	plan, err := Parse("keys.toml", []byte(text), func(key RenamedKey) { renamed = append(renamed, key) })
	assert.NoError(t, err)
	return plan, renamed
}

func TestCurrentKeysAreRead(t *testing.T) {
	plan, renamed := parseKeys(t, currentKeysFile)
	assert.Empty(t, renamed)
	dispatchers := defaults().Dispatchers
	dispatchers.Count = 3
	dispatchers.PollInterval = unit.Duration(7 * time.Second)
	dispatchers.MaxRetryAfter = unit.Duration(3 * time.Second)
	dispatchers.DialTimeout = unit.Duration(300 * time.Millisecond)
	dispatchers.MaxAttempts = 5
	dispatchers.LinkDuplicates = 0.3
	dispatchers.Cancellation = false
	dispatchers.FailureTimeout = unit.Duration(4 * time.Second)
	dispatchers.Hedging = false
	dispatchers.StateInterval = unit.Duration(5 * time.Second)
	dispatchers.OverQuotaValue = 0.6
	dispatchers.ValueByCount = true
	assert.Equal(t, dispatchers, plan.Dispatchers)
	fleet := plan.Fleet
	assert.Equal(t, []any{0.7, 6.0, 11 * time.Second, 8 * time.Second, false}, []any{
		fleet.InitialShare, fleet.OverloadMultiple, fleet.WarmupDuration.Std(), fleet.OverloadSpan.Std(),
		fleet.AnnounceStartNotes,
	})
	assert.Equal(t, []any{"idempotent", 0.8}, []any{plan.Operations[0].Idempotency, plan.Operations[0].LateShare})
	assert.Equal(t, "uni", plan.Tenants[0].Name)
	assert.Equal(t, 900, plan.Load.MaxOpen)
	loss := plan.Faults[0]
	assert.Equal(t, []any{time.Second, 1200 * time.Millisecond, 1300 * time.Millisecond, 1400 * time.Millisecond, 1}, []any{
		loss.RestoreAfter.Std(), loss.ListRestoreAfter.Std(), loss.PeersRestoreAfter.Std(), loss.WorkersRestoreAfter.Std(),
		loss.NeverRestored,
	})
	assert.Equal(t, "uni", plan.Faults[1].Tenant)
	assert.Equal(t, 9, plan.Faults[2].MaxAttempts)
}

// formerKey holds the former and the current path of a key, and its line in currentKeysFile with either name.
type formerKey struct {
	old, new         string // paths of the key
	oldLine, newLine string
}

var formerKeys = []formerKey{
	{"customer", "tenants", `[[customer]]`, `[[tenants]]`},
	{"trouble", "fault", `[[trouble]]`, `[[fault]]`},
	{"dispatchers.ask-within", "dispatchers.poll-interval", `ask-within = "7s"`, `poll-interval = "7s"`},
	{"dispatchers.come-back-most", "dispatchers.max-retry-after", `come-back-most = "3s"`, `max-retry-after = "3s"`},
	{"dispatchers.dial-within", "dispatchers.dial-timeout", `dial-within = "300ms"`, `dial-timeout = "300ms"`},
	{"dispatchers.forwards", "dispatchers.max-attempts", `forwards = 5`, `max-attempts = 5`},
	{"dispatchers.link-doubled", "dispatchers.link-duplicates", `link-doubled = 0.3`, `link-duplicates = 0.3`},
	{"dispatchers.may-cancel", "dispatchers.cancellation", `may-cancel = false`, `cancellation = false`},
	{"dispatchers.notice-after", "dispatchers.failure-timeout", `notice-after = "4s"`, `failure-timeout = "4s"`},
	{"dispatchers.second-copies", "dispatchers.hedging", `second-copies = false`, `hedging = false`},
	{"dispatchers.state-every", "dispatchers.state-interval", `state-every = "5s"`, `state-interval = "5s"`},
	{"dispatchers.surplus-value", "dispatchers.over-quota-value", `surplus-value = 0.6`, `over-quota-value = 0.6`},
	{"dispatchers.value-by-number", "dispatchers.value-by-count", `value-by-number = true`, `value-by-count = true`},
	{"fleet.cold-from", "fleet.warmup-initial-share", `cold-from = 0.7`, `warmup-initial-share = 0.7`},
	{"fleet.cold-multiple", "fleet.overload-multiple", `cold-multiple = 6`, `overload-multiple = 6`},
	{"fleet.cold-ramp", "fleet.warmup-duration", `cold-ramp = "11s"`, `warmup-duration = "11s"`},
	{"fleet.cold-span", "fleet.overload-span", `cold-span = "8s"`, `overload-span = "8s"`},
	{"fleet.tells-start", "fleet.announce-start-notes", `tells-start = false`, `announce-start-notes = false`},
	{"operation.repeat", "operation.idempotency", `repeat = "idempotent"`, `idempotency = "idempotent"`},
	{"operation.tardy-value", "operation.late-value", `tardy-value = 0.8`, `late-value = 0.8`},
	{"load.open-most", "load.max-open", `open-most = 900`, `max-open = 900`},
	{"fault.back", "fault.restore-after", `back = "1s"`, `restore-after = "1s"`},
	{"fault.customer", "fault.tenant", `customer = "uni"`, `tenant = "uni"`},
	{"fault.forwards", "fault.max-attempts", `forwards = 9`, `max-attempts = 9`},
	{"fault.list-back", "fault.list-restore-after", `list-back = "1200ms"`, `list-restore-after = "1200ms"`},
	{"fault.never", "fault.never-restored", `never = 1`, `never-restored = 1`},
	{"fault.peers-back", "fault.peers-restore-after", `peers-back = "1300ms"`, `peers-restore-after = "1300ms"`},
	{"fault.workers-back", "fault.workers-restore-after", `workers-back = "1400ms"`, `workers-restore-after = "1400ms"`},
}

func TestEachFormerKeyHasATestCase(t *testing.T) {
	var tested []string
	for _, key := range formerKeys {
		tested = append(tested, key.old)
	}
	assert.ElementsMatch(t, slices.Collect(maps.Keys(renamedKeys)), tested)
}

func TestFormerKeysAreReadWithAWarning(t *testing.T) {
	want, _ := parseKeys(t, currentKeysFile)
	for _, key := range formerKeys {
		t.Run(key.old, func(t *testing.T) {
			before, _, found := strings.Cut(currentKeysFile, "\n"+key.newLine+"\n")
			assert.True(t, found)
			plan, renamed := parseKeys(t, strings.ReplaceAll(currentKeysFile, "\n"+key.newLine+"\n", "\n"+key.oldLine+"\n"))
			assert.Equal(t, want, plan)
			line := strings.Count(before, "\n") + 2
			assert.Equal(t, []RenamedKey{{File: "keys.toml", Line: line, Old: key.old, New: key.new}}, renamed)
		})
	}
	t.Run("warning", func(t *testing.T) {
		key := RenamedKey{File: "keys.toml", Line: 7, Old: "dispatchers.forwards", New: "dispatchers.max-attempts"}
		assert.Equal(t, "keys.toml:7: key dispatchers.forwards is now called dispatchers.max-attempts: please rename it",
			key.String())
	})
}

func TestFileWithBothNamesOfAKeyIsRejected(t *testing.T) {
	for _, key := range formerKeys {
		t.Run(key.old, func(t *testing.T) {
			both := key.newLine + "\n" + key.oldLine
			_, err := Parse("keys.toml", []byte(strings.Replace(currentKeysFile, key.newLine, both, 1)), failOnRenamedKey(t))
			assert.ErrorIs(t, err, ErrBothNames)
			assert.ErrorContains(t, err, ": "+key.old+", and "+key.new+" in line ")
		})
	}
}

func TestFormerKeysAreFoundInEachFormOfATable(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"dotted", "fleet.cold-from = 0.5\n", "fleet.warmup-initial-share = 0.5\n"},
		{"quoted", "[fleet]\n\"cold-from\" = 0.5\n", "[fleet]\nwarmup-initial-share = 0.5\n"},
		{"inline", "fleet = {cold-from = 0.5}\n", "fleet = {warmup-initial-share = 0.5}\n"},
		{"inline in an array", `trouble = [{kind = "a"}, {customer = "b"}]`, `fault = [{kind = "a"}, {tenant = "b"}]`},
		{"same name elsewhere", "[load]\ncold-from = 1\ntrouble = 2\n", "[load]\ncold-from = 1\ntrouble = 2\n"},
		{"value or comment", "name = 'trouble' # forwards = 1\n", "name = 'trouble' # forwards = 1\n"},
		{"not TOML", "[[trouble]]\nkind =\n", "[[trouble]]\nkind =\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := replaceFormerKeys("keys.toml", []byte(c.text))
			assert.NoError(t, err)
			assert.Equal(t, c.want, string(got.text))
		})
	}
}

func TestUnknownKeyNextToFormerKeyIsRejectedWithItsLine(t *testing.T) {
	var renamed []RenamedKey
	_, err := Parse("keys.toml", []byte("[[trouble]]\nkind = \"crash\"\nworker = 1\n"), func(key RenamedKey) {
		renamed = append(renamed, key)
	})
	assert.ErrorIs(t, err, tomlconfig.ErrUnknownKey)
	assert.EqualError(t, err, "keys.toml:3: unknown key fault.worker")
	assert.Len(t, renamed, 1, "the former key was not reported, although the error contains its current name")
}

// formerKeyText returns the text of an experiment file with all keys replaced by their former names.
func formerKeyText(text string) string {
	for _, key := range formerKeys {
		oldName, _, _ := strings.Cut(key.oldLine, " =")
		newName, _, _ := strings.Cut(key.newLine, " =")
		line := regexp.MustCompile(`(?m)^( *)` + regexp.QuoteMeta(newName) + `( =|$)`)
		text = line.ReplaceAllString(text, "${1}"+oldName+"${2}")
	}
	return text
}

// Operators run the supplied experiment files without changes. The files must be valid, and must give the same plan
// with former keys.
func TestReadyExperimentFilesAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../../deploy/testbed/*.toml")
	assert.NoError(t, err)
	assert.NotEmpty(t, paths)
	for _, path := range append(paths, "../command/demo.toml") {
		t.Run(filepath.Base(path), func(t *testing.T) {
			text, err := os.ReadFile(path)
			assert.NoError(t, err)
			plan, err := Read(path, failOnRenamedKey(t))
			assert.NoError(t, err)
			warnings := 0
			former, err := Parse(path, []byte(formerKeyText(string(text))), func(RenamedKey) { warnings++ })
			assert.NoError(t, err)
			assert.Equal(t, plan, former)
			assert.Positive(t, warnings)
		})
	}
}
