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
	"canvasroute/internal/peertest"
	"canvasroute/internal/testbed/baseline"
	"canvasroute/internal/testbed/experiment"
	"canvasroute/internal/testbed/history"
)

// TestMain lets the test binary act as the programs under test: as a baseline for "stand-in", as canvasroute if
// LB_CONFIG is set, and as testbed with the arguments that follow "testbed".
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

// shortExperiment is the format of an experiment file with a load of three seconds, during which one worker drains and
// another starts and warms up. Its arguments are the policy and the baseline's fault.
var shortExperiment = `name = "short"
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
` + operationTable("safe", "idempotent", "50ms", "") + operationTable("once", "non-idempotent", "50ms", "") + `[load]
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

// operationTable returns the table of an operation in an experiment file, with additional keys.
func operationTable(name, idempotency, work, keys string) string {
	return fmt.Sprintf(`[[operation]]
name = %q
idempotency = %q
work = %q
objective = "500ms"
stretch = 2
timeout = "3s"
tail = "exponential"
share = 1
value = 1
%s`, name, idempotency, work, keys)
}

// runShortExperiment runs shortExperiment. An empty fault means none.
func runShortExperiment(t *testing.T, policy, fault string) *experiment.Result {
	t.Helper()
	return runExperiment(t, fmt.Sprintf(shortExperiment, policy, fault))
}

// memoryFolder returns a temporary folder, in memory if possible. With a dozen parallel experiments, writes to a disk
// can take seconds. The tests do not cover slow disks, because experiments simulate disk faults themselves.
func memoryFolder(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp("/dev/shm", "testbed-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}

// runExperiment runs an experiment file given as text. It checks that all calls have ended and that no process failed.
func runExperiment(t *testing.T, text string) *experiment.Result {
	t.Helper()
	plan, err := experiment.Parse("short.toml", []byte(text), func(key experiment.RenamedKey) { t.Error(key) })
	assert.NoError(t, err)
	self, err := os.Executable()
	assert.NoError(t, err)
	result, err := plan.Run(context.Background(), 3, experiment.Options{
		Folder:   memoryFolder(t),
		Programs: experiment.Programs{Dispatcher: self, Self: self},
	})
	assert.NoError(t, err)
	if result == nil {
		t.FailNow()
	}
	assert.Empty(t, result.Failures)
	assert.EqualValues(t, result.Planned, result.Calls.Total.Calls)
	return result
}

// violatedRules returns the rules that a result reports as violated.
func violatedRules(result *experiment.Result) (rules []history.Rule) {
	for _, rule := range history.Rules {
		if result.Rules[string(rule)] > 0 {
			rules = append(rules, rule)
		}
	}
	return rules
}

func TestFaultyBaselinesViolateTheirRule(t *testing.T) {
	for fault, rule := range map[string]history.Rule{
		baseline.FaultRepeatedAttempt:  history.RuleNoDoubleEffect,
		baseline.FaultLostAnswer:       history.RuleNoRequestLost,
		baseline.FaultIgnoredDrain:     history.RuleDrainsRespected,
		baseline.FaultOverloadedWarmup: history.RuleWarmupBudget,
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			result := runShortExperiment(t, baseline.RoundRobin, fault)
			assert.Equal(t, []history.Rule{rule}, violatedRules(result), result.Violations)
			for _, violation := range result.Violations {
				assert.NotEmpty(t, violation.ID, "the violation has no request ID")
				if fault == baseline.FaultRepeatedAttempt {
					assert.Equal(t, "once", violation.Operation)
				}
			}
		})
	}
}

// Guards against false positives: a correct dispatcher must not be reported for a violation.
func TestCorrectDispatchersViolateNoRule(t *testing.T) {
	for _, policy := range []string{
		experiment.Canvasroute, baseline.RoundRobin, baseline.LeastOutstanding, baseline.Random,
	} {
		t.Run(policy, func(t *testing.T) {
			t.Parallel()
			result := runShortExperiment(t, policy, "")
			assert.Empty(t, result.Violations)
			assert.Greater(t, result.Calls.Total.Outcomes["succeeded"], result.Calls.Total.Calls*8/10)
		})
	}
}

// Two processes with several shards each must respect drains and the shared warm-up budget, also if datagrams between
// the processes are disabled or lost.
func TestShardsOfSeveralProcessesViolateNoRule(t *testing.T) {
	for name, peers := range map[string]string{"peers": "", "lossy peers": "peer-loss = 0.5\n", "no peers": "peers = false\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := fmt.Sprintf(shortExperiment, experiment.Canvasroute, "")
			result := runExperiment(t, strings.Replace(text, "count = 2\n", "count = 2\ncores = 3\n"+peers, 1))
			assert.Empty(t, result.Violations)
			assert.Greater(t, result.Calls.Total.Outcomes["succeeded"], result.Calls.Total.Calls*8/10)
		})
	}
}

// testbedCommand returns a command that runs the testbed program as a separate process, and the buffer for its output.
func testbedCommand(t *testing.T, args ...string) (cmd *exec.Cmd, output *bytes.Buffer) {
	t.Helper()
	self, err := os.Executable()
	assert.NoError(t, err)
	output = &bytes.Buffer{}
	cmd = exec.Command(self, append([]string{"testbed"}, args...)...)
	cmd.Stdout, cmd.Stderr = output, output
	return cmd, output
}

// exitStatus returns the exit code of a process from the error that Run or Wait returned.
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
	cmd, output := testbedCommand(t, "demo", "-q", "-o", folder, "--dispatcher", self)
	assert.NoError(t, cmd.Start())
	var listen string
	assert.Eventually(t, func() bool {
		var config struct{ Listen string }
		text, err := os.ReadFile(filepath.Join(folder, "d0.json"))
		if err != nil || json.Unmarshal(text, &config) != nil {
			return false
		}
		conn, err := net.Dial("tcp", config.Listen)
		if err == nil {
			conn.Close()
		}
		listen = config.Listen
		return err == nil
	}, 10*time.Second, 10*time.Millisecond)
	time.Sleep(1500 * time.Millisecond)
	assert.NoError(t, cmd.Process.Signal(syscall.SIGINT))
	assert.Equal(t, exitSignal, exitStatus(t, cmd.Wait()), output)
	_, err := net.Dial("tcp", listen)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	result, err := experiment.ReadResult(folder)
	assert.NoError(t, err)
	assert.True(t, result.Partial)
	assert.Positive(t, result.Calls.Total.Outcomes["succeeded"])
	assert.Empty(t, result.Violations)
	assert.FileExists(t, filepath.Join(folder, "report.html"))
}

func TestExitCodesAndMessages(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "x.toml")
	validFile := fmt.Sprintf(shortExperiment, experiment.Canvasroute, "")
	check, run := []string{"check", file}, []string{"run", file}
	for _, c := range []struct {
		name string
		text string // of the file
		args []string
		want string // in the output
		code int
	}{
		{"valid file", validFile, check, "x.toml: good; ", 0},
		{"unknown key", strings.Replace(validFile, "queue", "cue", 1), check, "x.toml:14: unknown key fleet.kind.cue", 2},
		{"not a duration", strings.Replace(validFile, `"500ms"`, `"soon"`, 1), run, `"soon" is not a time`, 2},
		{"worker without a core", strings.Replace(validFile, "cores = 2", "cores = 0", 1), run, "x.toml: fleet.kind[0]", 2},
		{"too many workers", strings.Replace(validFile, "workers = 1", "workers = 9", 1), run, "x.toml: fault[0].workers: 9", 2},
		{"no dispatcher", validFile, append(run, "--dispatcher", "/nowhere"), "no dispatcher to start", 2},
		{"unknown flag", validFile, append(run, "--fast"), "unknown flag: --fast", 2},
		{"unknown policy", validFile, append(run, "--policy", "best"), `dispatchers.policy: "best"`, 2},
		{"no result", validFile, []string{"compare", filepath.Dir(file), filepath.Dir(file)}, "holds no result", 2},
		{"no file", "", []string{"check", file + "x"}, "no such file", 2},
		{
			"former key", strings.ReplaceAll(validFile, "[[fault]]", "[[trouble]]"), check,
			"testbed: warning: " + file + ":42: key trouble is now called fault: please rename it\n" + file + ": good; ", 0,
		},
		{
			"both names of a key", strings.Replace(validFile, "[[fault]]", "[[trouble]]", 1), run,
			"trouble, and fault in line 47", 2,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.NoError(t, os.WriteFile(file, []byte(c.text), 0o600))
			cmd, output := testbedCommand(t, c.args...)
			assert.Equal(t, c.code, exitStatus(t, cmd.Run()), c.want)
			assert.Contains(t, output.String(), c.want)
		})
	}
}

// The two processes of an upgrade must count as one dispatcher. The testbed compares a dispatcher's counters with the
// outcomes that clients observed only if the dispatcher had a single process.
func TestOperatorActionsUnderLoadViolateNoRule(t *testing.T) {
	result := runExperiment(t, fmt.Sprintf(shortExperiment, experiment.Canvasroute, "")+`[[fault]]
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
	assert.Empty(t, result.Violations)
	assert.Equal(t, 2, result.Dispatchers[0].Incarnations)
	assert.Greater(t, float64(result.Calls.Total.Outcomes["succeeded"]), 0.95*float64(result.Planned))
}

// awaitHealth waits until the answer of an admin server to HEALTH has the wanted prefix.
func awaitHealth(t *testing.T, adminAddr, want string) {
	t.Helper()
	assert.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", adminAddr)
		if err != nil {
			return false
		}
		defer conn.Close()
		fmt.Fprintln(conn, "HEALTH")
		answer, _ := io.ReadAll(conn)
		return strings.HasPrefix(string(answer), want)
	}, 5*time.Second, 5*time.Millisecond, want)
}

// The new process of an upgrade owns the listener, so it must continue to serve after the old process is killed.
func TestUpgradedProcessServesAfterOldProcessIsKilled(t *testing.T) {
	const sockets = 512
	dispatcher := newTestDispatcher(t, sockets)
	start := func() (cmd *exec.Cmd, adminAddr string) {
		adminAddr = peertest.ReserveAddress(t)
		dispatcher.start(t, sockets, "LB_MGMT="+adminAddr)
		awaitHealth(t, adminAddr, "done")
		return dispatcher.cmd, adminAddr
	}
	const relieved = "error takes no clients: relieved"
	first, firstAdmin := start()
	second, secondAdmin := start()
	awaitHealth(t, firstAdmin, relieved)
	assert.NoError(t, first.Process.Kill())
	_ = first.Wait() // returns the error for a killed process
	for range 20 {
		response, err := http.Get("http://" + dispatcher.listen + "/_health")
		if assert.NoError(t, err) {
			response.Body.Close()
			assert.Equal(t, 200, response.StatusCode)
		}
	}
	third, _ := start()
	awaitHealth(t, secondAdmin, relieved)
	for _, cmd := range []*exec.Cmd{second, third} {
		assert.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		assert.NoError(t, cmd.Wait())
	}
}
