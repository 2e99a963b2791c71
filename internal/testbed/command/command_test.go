package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/daemon"
	"canvasroute/internal/testbed/experiment"
	"canvasroute/internal/testbed/history"
)

// The test binary also serves as both programs: as testbed with the arguments after "testbed", and as canvasroute if
// LB_CONFIG is set.
func TestMain(m *testing.M) {
	switch {
	case len(os.Args) > 1 && os.Args[1] == "stand-in":
		os.Exit(Main(os.Args[1:]))
	case os.Getenv("LB_CONFIG") != "":
		os.Exit(daemon.Main())
	case len(os.Args) > 2 && os.Args[1] == "testbed":
		os.Exit(Main(os.Args[2:]))
	}
	os.Exit(m.Run())
}

// shortExperiment takes three seconds, in which a worker drains and another one starts and warms up.
const shortExperiment = `name = "short"
[dispatchers]
count = 2
policy = %q
fault = %q
[fleet]
zones = ["north", "south"]
warmup-initial-share = 0.1
warmup-duration = "8s"
list-lag = "100ms"
[[fleet.kind]]
name = "std"
cores = 2
queue = 4
count = 6
[[operation]]
name = "safe"
idempotency = "idempotent"
objective = "500ms"
stretch = 2
timeout = "3s"
work = "50ms"
tail = "exponential"
share = 1
value = 1
[[operation]]
name = "once"
idempotency = "non-idempotent"
objective = "500ms"
stretch = 2
timeout = "3s"
work = "50ms"
tail = "exponential"
share = 1
value = 1
[load]
retries = 1
[[load.phase]]
shape = "poisson"
rate = 60
for = "3s"
[[fault]]
kind = "drain"
at = "200ms"
for = "2500ms"
workers = 1
[[fault]]
kind = "grow"
at = "500ms"
workers = 1
`

func playPolicy(t *testing.T, policy, fault string) *experiment.Result {
	t.Helper()
	return playFile(t, fmt.Sprintf(shortExperiment, policy, fault))
}

// scratch returns a folder in memory if possible: the latency of a disk that a dozen parallel experiments write to, up to
// seconds, is not what they test. Experiments simulate faults of disks themselves.
func scratch(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("/dev/shm", "testbed-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

func playFile(t *testing.T, text string) *experiment.Result {
	t.Helper()
	p, err := experiment.Parse("short.toml", []byte(text), func(key experiment.RenamedKey) { t.Error(key) })
	assert.NoError(t, err)
	self, err := os.Executable()
	assert.NoError(t, err)
	r, err := p.Run(context.Background(), 3, experiment.Options{
		Folder: scratch(t), Programs: experiment.Programs{Dispatcher: self, Self: self},
	})
	assert.NoError(t, err)
	if r == nil {
		t.FailNow()
	}
	assert.Empty(t, r.Failures)
	assert.EqualValues(t, r.Planned, r.Calls.Total.Calls)
	return r
}

// violatedRules returns the rules that were violated.
func violatedRules(r *experiment.Result) (rules []history.Rule) {
	for _, rule := range history.Rules {
		if r.Rules[string(rule)] > 0 {
			rules = append(rules, rule)
		}
	}
	return rules
}

func TestFaultyBaselinesViolateTheirRule(t *testing.T) {
	for fault, rule := range map[string]history.Rule{
		"double-forward": history.RuleNoDoubleEffect,
		"lost-answer":    history.RuleNoRequestLost, "drain-ignored": history.RuleDrainsRespected,
		"cold-push": history.RuleWarmupBudget,
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			r := playPolicy(t, "round-robin", fault)
			assert.Equal(t, []history.Rule{rule}, violatedRules(r), r.Violations)
			for _, b := range r.Violations {
				assert.NotEmpty(t, b.ID, "the request is named")
				if fault == "double-forward" {
					assert.Equal(t, "once", b.Operation)
				}
			}
		})
	}
}

// A sound dispatcher must not be reported.
func TestSoundDispatchersViolateNoRule(t *testing.T) {
	for _, policy := range []string{experiment.Canvasroute, "round-robin", "least-outstanding", "random"} {
		t.Run(policy, func(t *testing.T) {
			t.Parallel()
			r := playPolicy(t, policy, "")
			assert.Empty(t, r.Violations)
			assert.Greater(t, r.Calls.Total.Answers["succeeded"], r.Calls.Total.Calls*8/10)
		})
	}
}

// Several shards in each of two processes keep drains and the warm-up budget in common, also if datagrams between
// processes are not allowed or are lost.
func TestShardsOfSeveralProcessesKeepTheRules(t *testing.T) {
	for name, peers := range map[string]string{"peers": "", "lossy peers": "peer-loss = 0.5\n", "no peers": "peers = false\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := fmt.Sprintf(shortExperiment, experiment.Canvasroute, "")
			r := playFile(t, strings.Replace(text, "count = 2\n", "count = 2\ncores = 3\n"+peers, 1))
			assert.Empty(t, r.Violations)
			assert.Greater(t, r.Calls.Total.Answers["succeeded"], r.Calls.Total.Calls*8/10)
		})
	}
}

// testbed returns a command that runs the program as a process of its own.
func testbed(t *testing.T, args ...string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	self, err := os.Executable()
	assert.NoError(t, err)
	out := &bytes.Buffer{}
	cmd := exec.Command(self, append([]string{"testbed"}, args...)...)
	cmd.Stdout, cmd.Stderr = out, out
	return cmd, out
}

func exitStatus(t *testing.T, err error) int {
	t.Helper()
	var ended *exec.ExitError
	if errors.As(err, &ended) {
		return ended.ExitCode()
	}
	assert.NoError(t, err)
	return 0
}

func TestInterruptLeavesNoProcessAndAReadablePartialResult(t *testing.T) {
	t.Parallel()
	folder, self := filepath.Join(t.TempDir(), "out"), os.Args[0]
	cmd, out := testbed(t, "demo", "-q", "-o", folder, "--dispatcher", self)
	assert.NoError(t, cmd.Start())
	var listen string
	assert.Eventually(t, func() bool {
		var config struct{ Listen string }
		b, err := os.ReadFile(filepath.Join(folder, "d0.json"))
		if err != nil || json.Unmarshal(b, &config) != nil {
			return false
		}
		c, err := net.Dial("tcp", config.Listen)
		if err == nil {
			c.Close()
		}
		listen = config.Listen
		return err == nil
	}, 10*time.Second, 10*time.Millisecond)
	time.Sleep(1500 * time.Millisecond)
	assert.NoError(t, cmd.Process.Signal(syscall.SIGINT))
	assert.Equal(t, exitSignal, exitStatus(t, cmd.Wait()), out)
	_, err := net.Dial("tcp", listen)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	r, err := experiment.ReadResult(folder)
	assert.NoError(t, err)
	assert.True(t, r.Partial)
	assert.Positive(t, r.Calls.Total.Answers["succeeded"])
	assert.Empty(t, r.Violations)
	assert.FileExists(t, filepath.Join(folder, "report.html"))
}

func TestExitCodesAndMessages(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "x.toml")
	write := func(text string) { assert.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	good := fmt.Sprintf(shortExperiment, experiment.Canvasroute, "")
	for _, c := range []struct {
		text, want string
		args       []string
		code       int
	}{
		{good, "x.toml: good; ", []string{"check", file}, 0},
		{strings.Replace(good, "queue", "cue", 1), "x.toml:14: unknown key fleet.kind.cue", []string{"check", file}, 2},
		{strings.Replace(good, `"500ms"`, `"soon"`, 1), `"soon" is not a time`, []string{"run", file}, 2},
		{strings.Replace(good, "cores = 2", "cores = 0", 1), "x.toml: fleet.kind[0]", []string{"run", file}, 2},
		{strings.Replace(good, "workers = 1", "workers = 9", 1), "x.toml: fault[0].workers: 9", []string{"run", file}, 2},
		{good, "no dispatcher to start", []string{"run", file, "--dispatcher", "/nowhere"}, 2},
		{good, "unknown flag: --fast", []string{"run", file, "--fast"}, 2},
		{good, `dispatchers.policy: "best"`, []string{"run", file, "--policy", "best"}, 2},
		{good, "holds no result", []string{"compare", filepath.Dir(file), filepath.Dir(file)}, 2},
		{"", "no such file", []string{"check", file + "x"}, 2},
		{
			strings.ReplaceAll(good, "[[fault]]", "[[trouble]]"),
			"testbed: warning: " + file + ":42: key trouble is now called fault: please rename it\n" + file + ": good; ",
			[]string{"check", file}, 0,
		},
		{strings.Replace(good, "[[fault]]", "[[trouble]]", 1), "trouble, and fault in line 47", []string{"run", file}, 2},
	} {
		write(c.text)
		cmd, out := testbed(t, c.args...)
		assert.Equal(t, c.code, exitStatus(t, cmd.Run()), c.want)
		assert.Contains(t, out.String(), c.want)
	}
}

// The two processes of an upgrade count as one dispatcher. Without an upgrade the testbed also compares the dispatcher's
// counters with what clients observed.
func TestOperatorActionsUnderLoadViolateNoRule(t *testing.T) {
	r := playFile(t, fmt.Sprintf(shortExperiment, "canvasroute", "")+`[[fault]]
kind = "upgrade"
at = "500ms"
gap = "700ms"
[[fault]]
kind = "new-settings"
at = "1800ms"
max-attempts = 1
[[fault]]
kind = "leave"
at = "2s"
for = "600ms"
dispatchers = 1
[[fault]]
kind = "piecemeal-clients"
at = "100ms"
for = "2s"
connections = 40
`)
	assert.Empty(t, r.Violations)
	assert.Equal(t, 2, r.Dispatchers[0].Incarnations)
	assert.Greater(t, float64(r.Calls.Total.Answers["succeeded"]), 0.95*float64(r.Planned))
}

// If the old process of an upgrade is killed, the new one has the listener and goes on alone.
func TestNewProcessOfAnUpgradeSurvivesAKilledOldOne(t *testing.T) {
	dir, self := t.TempDir(), os.Args[0]
	listen, path := freeAddress(t), filepath.Join(dir, "c.json")
	assert.NoError(t, os.WriteFile(path, fmt.Appendf(nil, `{"name":"n","listen":%q,"discovery":"127.0.0.1:9",
"seed":"1",
"known":{"seq":1,"whole":true,"hosts":[{"host":"w","dial":"127.0.0.1:9","health":"Ready"}]},
"settings":{"balancers":1,"policyLimits":{"maxForwards":1},
"operations":[{"name":"a","repeat":"idempotent"}]}}`, listen),
		0o600))
	says := func(mgmt, want string) {
		assert.Eventually(t, func() bool {
			c, err := net.Dial("tcp", mgmt)
			if err != nil {
				return false
			}
			defer c.Close()
			fmt.Fprintln(c, "HEALTH")
			b, _ := io.ReadAll(c)
			return strings.HasPrefix(string(b), want)
		}, 5*time.Second, 5*time.Millisecond, want)
	}
	start := func() (cmd *exec.Cmd, mgmt string) {
		mgmt = freeAddress(t)
		cmd = exec.Command(self)
		cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "LB_MGMT="+mgmt, "TMPDIR="+dir)
		assert.NoError(t, cmd.Start())
		t.Cleanup(func() { _ = cmd.Process.Kill() })
		says(mgmt, "done")
		return cmd, mgmt
	}
	old, first := start()
	next, second := start()
	says(first, "error takes no clients: relieved")
	assert.NoError(t, old.Process.Kill())
	_ = old.Wait() // reports that it was killed
	for range 20 {
		a, err := http.Get("http://" + listen + "/_health")
		if assert.NoError(t, err) {
			a.Body.Close()
			assert.Equal(t, 200, a.StatusCode)
		}
	}
	third, _ := start()
	says(second, "error takes no clients: relieved")
	for _, cmd := range []*exec.Cmd{next, third} {
		assert.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		assert.NoError(t, cmd.Wait())
	}
}
