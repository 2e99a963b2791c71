package daemon

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/hotrestart"
	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
	"canvasroute/internal/proxy"
)

// configWithEachKey sets each key that this package reads to a value other than its default.
const configWithEachKey = `{"name":"n3","listen":"127.0.0.1:8080","discovery":"127.0.0.1:8500","mgmt":"127.0.0.1:8600",
"seed":"8c1f30d27a5be964","limits":{"cores":2.5,"memory_mb":200,"sockets":2048},
"peer_listen":"127.0.0.1:7946","peers":["127.0.0.1:7946","127.0.0.2:7946"],"peers_all":"127.3.255.1:7946",
"known":{"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.3:8080","site":"a","class":"m","block":3,
"health":"Ready","born_ms":5}]},
"settings":{"balancers":2,"position":1,"shapes":["m"],"zones":["a","b"],"report":{"names":["rif"]},
"rules":{"askWithinS":7},
"orgs":[{"name":"acme","quotaPerS":3}],
"operations":[{"name":"render","repeat":"deduplicated","dedupScope":"cell","dedupWindowS":60,"latencyObjectiveS":1,
"clientTimeoutS":2.5,"billedValue":1}],
"policyLimits":{"peers":true,"maxForwards":3,"mayCancel":true,"connIdleS":8,"dialTimeoutS":0.2,"retryAfter":true,
"maxRetryAfterS":2}}}`

// TestConfigurationReadsEachKey checks that the names of the keys in the configuration file do not change.
func TestConfigurationReadsEachKey(t *testing.T) {
	read, err := parseConfig([]byte(configWithEachKey), fakeEnv())
	assert.NoError(t, err)
	want := &Config{
		Name: "n3", Listen: "127.0.0.1:8080", PeerListen: "127.0.0.1:7946", AdminListen: "127.0.0.1:8600",
		Seed: 0x8c1f30d27a5be964, Cores: 2.5, MemoryMB: 200, Sockets: 2048, WorkerIdleTimeout: 8 * time.Second,
		MaxClientTimeout: 2500 * time.Millisecond,
		Proxy: proxy.Config{
			Operations: []proxy.Operation{{
				Name: "render", DefaultTimeout: 2500 * time.Millisecond, RequiresKey: true, DedupScope: 2,
				DedupWindow: time.Minute,
			}},
			Tenants: []string{"acme"}, Zones: []string{"a", "b"}, Kinds: []string{"m"}, ReportFields: []string{"rif"},
			DialTimeout: 200 * time.Millisecond, UnavailableRetryAfter: 2 * time.Second, DiscoveryAddress: "127.0.0.1:8500",
			Peers: []netip.AddrPort{
				netip.MustParseAddrPort("127.0.0.1:7946"),
				netip.MustParseAddrPort("127.0.0.2:7946"),
			},
			Position: 1,
			InitialEndpoints: &protocol.EndpointList{Version: 41, Complete: true, Endpoints: []protocol.Endpoint{{
				ID:      "s-1",
				Address: "127.0.0.3:8080", Zone: "a", Kind: "m", Cell: 3, State: "Ready", StartedAtMillis: 5,
			}}},
		},
	}
	balancing := read.Balancer
	assert.Equal(t, []any{int64(70_000), int64(60_000), true, true},
		[]any{int64(balancing.Discovery.MaxPollInterval), int64(balancing.Discovery.ChangeDeadline), balancing.Attempts.DeliveryNotices, balancing.Discovery.Poll})
	want.Balancer, want.keys, want.settingsHash = balancing, read.keys, read.settingsHash
	assert.Equal(t, want, read)
	unset := []string{}
	config := reflect.ValueOf(*read)
	for n := range config.NumField() {
		if config.Field(n).IsZero() {
			unset = append(unset, config.Type().Field(n).Name)
		}
	}
	assert.Equal(t, []string{"Fleet"}, unset, "the fleet settings are in a separate file")
}

// TestOperatingPageMatchesNumbersOfConfiguration checks that docs/operating.md has the same default and range of each
// number as config_table.go.
func TestOperatingPageMatchesNumbersOfConfiguration(t *testing.T) {
	page, err := os.ReadFile("../../docs/operating.md")
	assert.NoError(t, err)
	decimal := func(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }
	tableRow := func(key string) string {
		for line := range strings.Lines(string(page)) {
			if strings.HasPrefix(line, "| `"+key+"` |") {
				return line
			}
		}
		return ""
	}
	for _, key := range []numberKey{coresKey, memoryKey, socketsKey} {
		want := fmt.Sprintf("| %s | %s to %s |", decimal(key.defaultValue), decimal(key.min), decimal(key.max))
		assert.Contains(t, tableRow(key.path.String()), want)
	}
	for _, key := range []durationKey{workerIdleTimeoutKey, dialTimeoutKey, pollIntervalKey} {
		want := fmt.Sprintf("| seconds | %s, also for 0 | 0 to %d |", decimal(key.defaultValue.Seconds()), math.MaxInt32)
		assert.Contains(t, tableRow(key.path.String()), want)
	}
}

// TestSettingsHashIsStable checks that the settings hash in the state folder does not change. State with another hash
// was learned under other settings.
func TestSettingsHashIsStable(t *testing.T) {
	read, err := parseConfig([]byte(configWithEachKey), fakeEnv())
	assert.NoError(t, err)
	assert.Equal(t, "8aeee8ff73cee782", read.settingsHash)
}

// TestEnvironmentVariablesOverrideFile checks the environment variables, which override the file.
func TestEnvironmentVariablesOverrideFile(t *testing.T) {
	dir := t.TempDir()
	config := writeFile(t, filepath.Join(dir, "config.json"), testConfiguration)
	fleetPath := writeFile(t, filepath.Join(dir, "fleet.toml"), strings.Replace(testFleetFile, `"n3"`, `"n9"`, 1))
	variables := fakeEnv("LB_CONFIG", config, "LB_FLEET", fleetPath, "LB_NAME", "n9", "LB_LISTEN", "127.0.0.9:1",
		"LB_DISCOVERY", "127.0.0.9:2", "LB_MGMT", "127.0.0.9:3")
	read, err := ReadConfig(variables)
	assert.NoError(t, err)
	assert.Equal(t, []string{"n9", "127.0.0.9:1", "127.0.0.9:2", "127.0.0.9:3", "/tmp/canvasroute-state"},
		[]string{read.Name, read.Listen, read.Proxy.DiscoveryAddress, read.AdminListen, read.Fleet.State.Folder})
	reloaded, err := ReloadConfig(variables)
	assert.NoError(t, err)
	assert.Equal(t, "127.0.0.1:8500", reloaded.Proxy.DiscoveryAddress, "a running dispatcher uses the address in the file")
	assert.Equal(t, "127.0.0.9:3", reloaded.AdminListen)
}

// TestProcessExitCodes checks the exit codes that service managers rely on.
func TestProcessExitCodes(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer taken.Close()
	write := func(listen string) string {
		return writeFile(t, filepath.Join(t.TempDir(), "config.json"), standaloneConfiguration(listen))
	}
	free := peertest.ReserveAddress(t)
	for _, c := range []struct {
		name, config string
		want         int
	}{
		{"LB_CONFIG not set", "", 2},
		{"configuration file missing", filepath.Join(t.TempDir(), "none"), 2},
		{"address in use by another program", write(taken.Addr().String()), 1},
		{"stopped by SIGTERM", write(free), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Setenv("LB_CONFIG", c.config)
			ended := make(chan int, 1)
			go func() { ended <- Main() }()
			if c.want == 0 {
				listens := func() bool { return acceptsConnections(free) }
				assert.Eventually(t, listens, 5*time.Second, time.Millisecond)
				assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
			}
			select {
			case code := <-ended:
				assert.Equal(t, c.want, code)
			case <-time.After(10 * time.Second):
				t.Fatal("process did not exit in time")
			}
		})
	}
	var stdout, stderr bytes.Buffer
	assert.Equal(t, 1, RunCommand([]string{"serve"}, &stdout, &stderr), "unknown command")
	assert.Equal(t, 0, RunCommand([]string{"--help"}, &stdout, &stderr))
}

// TestStateShowOutputMatchesEarlierRelease reads a state folder, including its snapshot, that an earlier release wrote.
// The output must be the same as in that release.
func TestStateShowOutputMatchesEarlierRelease(t *testing.T) {
	const folder = "../fleet/store/testdata/folder"
	for golden, args := range map[string][]string{
		"state_show.json": {"state", "show", folder, "--json"},
		"state_show.txt":  {"state", "show", folder},
	} {
		want, err := os.ReadFile(filepath.Join("testdata", golden))
		assert.NoError(t, err)
		var stdout, stderr bytes.Buffer
		assert.Equal(t, 0, RunCommand(args, &stdout, &stderr), stderr.String())
		assert.Equal(t, string(want), stdout.String())
	}
}

// TestStateShowReportsCorruptFolder checks the key under which errors are shown, and the exit code.
func TestStateShowReportsCorruptFolder(t *testing.T) {
	folder := t.TempDir()
	writeFile(t, filepath.Join(folder, "life.a"), "x")
	var stdout, stderr bytes.Buffer
	assert.Equal(t, 1, RunCommand([]string{"state", "show", folder, "--json"}, &stdout, &stderr))
	assert.Contains(t, stdout.String(), "\n \"not_believed\": [\n  \"life.a: ")
}

// TestControlSocketIsDerivedFromConfiguration checks the path of the control socket. All releases must derive the same
// one.
func TestControlSocketIsDerivedFromConfiguration(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	config, err := parseConfig([]byte(configWithEachKey), fakeEnv())
	assert.NoError(t, err)
	assert.Equal(t, hotrestart.NewControlSocket(dir, "n3", "127.0.0.1:8080", "127.0.0.1:7946"), newHotRestart(config, nopLog).controlSocket)
	config.AdminListen = ""
	assert.Nil(t, newHotRestart(config, nopLog), "without an admin address there is no hot restart")
}
