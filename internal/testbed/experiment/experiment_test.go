package experiment

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/daemon"
)

// minimalFile is an experiment file with all required keys except those of the load.
const minimalFile = `[[fleet.kind]]
name = "std"
cores = 1
count = 3
[[operation]]
name = "safe"
idempotency = "idempotent"
objective = "1s"
timeout = "2s"
work = "1ms"
tail = "constant"
share = 1
`

// onePhase is a load to append to minimalFile.
const onePhase = "[[load.phase]]\nshape=\"poisson\"\nrate=1\nfor=\"1s\"\n"

// parseMinimal parses minimalFile followed by additional text.
func parseMinimal(t *testing.T, additional string) *Plan {
	t.Helper()
	plan, err := Parse("x.toml", []byte(minimalFile+additional), failOnRenamedKey(t))
	assert.NoError(t, err)
	return plan
}

func TestFailedStartIsReportedWithTheLog(t *testing.T) {
	plan, folder := parseMinimal(t, onePhase), t.TempDir()
	_, err := plan.Run(context.Background(), 1, Options{Folder: folder, Programs: Programs{Dispatcher: "/bin/false"}})
	assert.ErrorContains(t, err, "d0 did not become ready: see its log "+filepath.Join(folder, "d0.log"))
	assert.NoFileExists(t, filepath.Join(folder, resultName))
}

func TestFolderWithAResultIsNotOverwritten(t *testing.T) {
	plan, folder := parseMinimal(t, onePhase), t.TempDir()
	assert.NoError(t, os.WriteFile(filepath.Join(folder, resultName), []byte("{}"), 0o600))
	_, err := plan.Run(context.Background(), 1, Options{Folder: folder})
	assert.ErrorContains(t, err, "holds a result already")
	_, err = ReadResult(folder)
	assert.ErrorContains(t, err, "format 0, this program reads 1")
}

// A port that is in use by TCP or UDP must not be assigned, and no port may be assigned twice in a row.
func TestPortsInUseAreNotAssigned(t *testing.T) {
	for range maxPortAttempts {
		reserved, err := freePort()
		assert.NoError(t, err)
		ln, err := net.Listen("tcp", reserved.String())
		if err != nil {
			continue // another process has bound the port meanwhile
		}
		defer ln.Close()
		portsAssigned.Add(^uint32(0)) // so that freePort tries the reserved port again
		assigned, err := freePort()
		assert.NoError(t, err)
		assert.NotEqual(t, reserved, assigned)
		next, err := freePort()
		assert.NoError(t, err)
		assert.NotEqual(t, assigned, next, "a port was assigned twice in a row")
		return
	}
	t.Fatal("no port could be opened")
}

// Guards against a dispatcher that ignores settings of the testbed's configuration: an experiment would silently test
// the defaults.
func TestConfigurationIsReadByTheDispatcher(t *testing.T) {
	plan := parseMinimal(t, `[[operation]]
name = "keyed"
idempotency = "deduplicated"
dedup-scope = "zone"
dedup-window = "40s"
objective = "3s"
stretch = 1.5
timeout = "25s"
work = "1ms"
tail = "constant"
share = 1
value = 5
late-value = 0.25
[[tenants]]
name = "uni"
share = 1
quota = 7
[fleet]
zones = ["a", "b"]
warmup-initial-share = 0.12
warmup-duration = "24s"
start-notes = true
[dispatchers]
count = 3
cores = 0.5
memory-mb = 64
sockets = 384
[[load.phase]]
shape = "constant"
rate = 1
for = "1s"
`)
	path := filepath.Join(t.TempDir(), "c.json")
	addrs := dispatcherAddrs{listen: "127.0.0.1:8080", admin: "127.0.0.1:9", discovery: "127.0.0.1:8500"}
	config, err := plan.dispatcherConfig(1, dispatcherSeed(1, 1, 0), addrs,
		[]byte(`{"seq":1,"hosts":[]}`))
	assert.NoError(t, err)
	plan.Dispatchers.Peers = false
	withoutPeers, err := plan.dispatcherConfig(1, dispatcherSeed(1, 1, 0), addrs,
		[]byte(`{"seq":1,"hosts":[]}`))
	assert.NoError(t, err)
	assert.NotEqual(t, config, withoutPeers)
	assert.NoError(t, os.WriteFile(path, withoutPeers, 0o600))
	got, err := daemon.ReadConfig(func(variable string) string {
		return map[string]string{"LB_CONFIG": path}[variable]
	})
	assert.NoError(t, err)
	balancer := got.Balancer
	assert.Equal(t, []any{3, 1, 0.12, 4, 0.5, 64, 384, true, true}, []any{
		balancer.Dispatchers, balancer.Position, balancer.Warmup.InitialShare,
		balancer.Attempts.Max, got.Cores, got.MemoryMB, got.Sockets, balancer.Attempts.StartNotices, balancer.Attempts.Cancellation,
	})
	keyed := balancer.Operations[1]
	assert.Equal(t, []any{40 * time.Second, 3 * time.Second, 5.0, 0.25, 1.5}, []any{
		keyed.DedupWindow.Standard(),
		keyed.LatencyObjective.Standard(), keyed.Value, keyed.LateShare, keyed.Stretch,
	})
	assert.Equal(t, []string{"a", "b"}, got.Proxy.Zones)
	assert.Equal(t, 7.0, balancer.Quotas.Tenants[0].Quota)
	assert.Equal(t, 24*time.Second, balancer.Warmup.Duration.Standard())
}

func TestTraceIsReadRelativeToTheFileAndRejectedWithItsLine(t *testing.T) {
	folder := t.TempDir()
	file, trace := filepath.Join(folder, "x.toml"), filepath.Join(folder, "t.csv")
	assert.NoError(t, os.WriteFile(file, []byte(minimalFile+"[load]\ntrace=\"t.csv\"\n"), 0o600))
	_, err := Read(file, failOnRenamedKey(t))
	assert.ErrorContains(t, err, "load.trace: open "+trace)
	assert.NoError(t, os.WriteFile(trace, []byte("time,operation\n1,safe\n0.5,safe\n"), 0o600))
	_, err = Read(file, failOnRenamedKey(t))
	assert.ErrorContains(t, err, trace+":3: time: 0.5 comes after 1")
	assert.NoError(t, os.WriteFile(trace, []byte("time,operation\n1,safe\n1.5,safe\n"), 0o600))
	plan, err := Read(file, failOnRenamedKey(t))
	assert.NoError(t, err)
	assert.Len(t, plan.Schedule(1), 2)
	assert.Equal(t, 1501*time.Millisecond, plan.Duration())
}
