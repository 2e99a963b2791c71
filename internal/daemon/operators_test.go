package daemon

import (
	"bytes"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/hotrestart"
	"canvasroute/internal/protocol"
	"canvasroute/internal/proxy"
)

// configWithEachKey is a configuration with each key that is read beside those of package settings, and no default among its values.
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

// TestEachKeyOfTheConfiguration pins the keys of the configuration file.
func TestEachKeyOfTheConfiguration(t *testing.T) {
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
			DialTimeout: 200 * time.Millisecond, MaxRetryAfter: 2 * time.Second, DiscoveryAddress: "127.0.0.1:8500",
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
	d := read.Balancer
	assert.Equal(t, []any{int64(70_000), int64(60_000), true, true},
		[]any{int64(d.MaxPollInterval), int64(d.EndpointChangeDeadline), d.DeliveryNotices, d.PollEndpoints})
	want.Balancer, want.keys, want.settingsHash = d, read.keys, read.settingsHash
	assert.Equal(t, want, read)
	unset := []string{}
	v := reflect.ValueOf(*read)
	for n := range v.NumField() {
		if v.Field(n).IsZero() {
			unset = append(unset, v.Type().Field(n).Name)
		}
	}
	assert.Equal(t, []string{"Fleet"}, unset, "it has a file of its own")
}

// TestSettingsHash pins the hash that the folder on disk holds: with another one, what was learnt is not believed.
func TestSettingsHash(t *testing.T) {
	read, err := parseConfig([]byte(configWithEachKey), fakeEnv())
	assert.NoError(t, err)
	assert.Equal(t, "8aeee8ff73cee782", read.settingsHash)
}

// TestEachVariableOfTheEnvironment pins the variables, which go before the file.
func TestEachVariableOfTheEnvironment(t *testing.T) {
	dir := t.TempDir()
	config, fleetPath := filepath.Join(dir, "config.json"), filepath.Join(dir, "fleet.toml")
	assert.NoError(t, os.WriteFile(config, []byte(testConfiguration), 0o600))
	assert.NoError(t, os.WriteFile(fleetPath, []byte(strings.Replace(testFleetFile, `"n3"`, `"n9"`, 1)), 0o600))
	variables := fakeEnv("LB_CONFIG", config, "LB_FLEET", fleetPath, "LB_NAME", "n9", "LB_LISTEN", "127.0.0.9:1",
		"LB_DISCOVERY", "127.0.0.9:2", "LB_MGMT", "127.0.0.9:3")
	read, err := ReadConfig(variables)
	assert.NoError(t, err)
	assert.Equal(t, []string{"n9", "127.0.0.9:1", "127.0.0.9:2", "127.0.0.9:3", "/tmp/canvasroute-state"},
		[]string{read.Name, read.Listen, read.Proxy.DiscoveryAddress, read.AdminListen, read.Fleet.State.Folder})
	again, err := ReloadConfig(variables)
	assert.NoError(t, err)
	assert.Equal(t, "127.0.0.1:8500", again.Proxy.DiscoveryAddress, "a running dispatcher takes the file's list service")
	assert.Equal(t, "127.0.0.9:3", again.AdminListen)
}

// TestProcessExitCodes pins the codes that a service manager sees.
func TestProcessExitCodes(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer taken.Close()
	write := func(listen string) string {
		path := filepath.Join(t.TempDir(), "config.json")
		text := strings.NewReplacer("127.0.0.1:8080", listen, "127.0.0.1:8500", "127.0.0.1:9", `"peers":true`,
			`"peers":false`).Replace(testConfiguration)
		assert.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	free := freeAddress(t)
	for _, c := range []struct {
		name, config string
		want         int
	}{
		{"no configuration", "", 2},
		{"a configuration that is not there", filepath.Join(t.TempDir(), "none"), 2},
		{"an address that another program has", write(taken.Addr().String()), 1},
		{"stopped by SIGTERM", write(free), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Setenv("LB_CONFIG", c.config)
			ended := make(chan int, 1)
			go func() { ended <- Main() }()
			if c.want == 0 {
				serves := func() bool {
					conn, err := net.Dial("tcp", free)
					if err == nil {
						conn.Close()
					}
					return err == nil
				}
				assert.Eventually(t, serves, 5*time.Second, time.Millisecond)
				assert.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
			}
			select {
			case code := <-ended:
				assert.Equal(t, c.want, code)
			case <-time.After(10 * time.Second):
				t.Fatal("it does not end")
			}
		})
	}
	var stdout, stderr bytes.Buffer
	assert.Equal(t, 1, RunCommand([]string{"serve"}, &stdout, &stderr), "an unknown command")
	assert.Equal(t, 0, RunCommand([]string{"--help"}, &stdout, &stderr))
}

// TestStateShowOfEarlierRelease reads the folder that an earlier release wrote, with the snapshot in it, and compares what
// operators are shown with what that release showed.
func TestStateShowOfEarlierRelease(t *testing.T) {
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

// TestStateShowOfTornFolder pins the key under which faults are shown, and the exit code.
func TestStateShowOfTornFolder(t *testing.T) {
	folder := t.TempDir()
	assert.NoError(t, os.WriteFile(filepath.Join(folder, "life.a"), []byte("x"), 0o600))
	var stdout, stderr bytes.Buffer
	assert.Equal(t, 1, RunCommand([]string{"state", "show", folder, "--json"}, &stdout, &stderr))
	assert.Contains(t, stdout.String(), "\n \"not_believed\": [\n  \"life.a: ")
}

// TestRendezvousOfHotRestart pins by what the processes of one dispatcher find each other: another release has to look
// in the same place.
func TestRendezvousOfHotRestart(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	config, err := parseConfig([]byte(configWithEachKey), fakeEnv())
	assert.NoError(t, err)
	assert.Equal(t, hotrestart.RendezvousFor(dir, "n3", "127.0.0.1:8080", "127.0.0.1:7946"), newHotRestart(config, nopLog).rendezvous)
	config.AdminListen = ""
	assert.Nil(t, newHotRestart(config, nopLog), "without an address for operators there is no hot restart")
}
