package daemon

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/settings"
)

func TestConfigurationIsReadAndDefaulted(t *testing.T) {
	c, err := parseConfig([]byte(testConfiguration), fakeEnv("LB_NAME", "other"))
	assert.NoError(t, err)
	assert.Equal(t, "other", c.Name)
	assert.Equal(t, "127.0.0.1:8080", c.Listen)
	assert.Equal(t, "127.0.0.1:8500", c.Proxy.DiscoveryAddress)
	assert.Equal(t, uint64(0x8c1f30d27a5be964), c.Seed)
	assert.Equal(t, 8*time.Second, c.WorkerIdleTimeout)
	assert.Equal(t, 200*time.Millisecond, c.Proxy.DialTimeout)
	assert.Equal(t, 2500*time.Millisecond, c.MaxClientTimeout)
	assert.Equal(t, 2*time.Second, c.Proxy.UnavailableRetryAfter)
	assert.Len(t, c.Proxy.Peers, 2)
	assert.Equal(t, int64(41), c.Proxy.InitialEndpoints.Version)

	withoutOptional := strings.NewReplacer(`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, "", `"connIdleS":8,`, "",
		`"dialTimeoutS":0.2,`, "", `"clientTimeoutS":2.5,`, "").Replace(testConfiguration)
	c, err = parseConfig([]byte(withoutOptional), fakeEnv())
	assert.NoError(t, err)
	assert.Equal(t, workerIdleTimeoutKey.defaultValue, c.WorkerIdleTimeout)
	assert.Equal(t, dialTimeoutKey.defaultValue, c.Proxy.DialTimeout)
	assert.Equal(t, defaultClientTimeout, c.MaxClientTimeout)
	assert.Equal(t, int(socketsKey.defaultValue), c.Sockets)
	assert.Equal(t, int(memoryKey.defaultValue), c.MemoryMB)
}

func TestInvalidConfigurationIsRejectedWithKey(t *testing.T) {
	for _, c := range []struct{ name, old, invalid, want string }{
		{"name", `"name":"n3"`, `"name":7`, "name: must be a non-empty string"},
		{"listen", `"listen":"127.0.0.1:8080"`, `"listen":"here"`, `listen: "here" is not an address`},
		{"discovery", `"discovery":"127.0.0.1:8500",`, ``, "discovery: must be a non-empty string"},
		{"seed", `8c1f30d27a5be964`, `xyz`, `seed: "xyz", must be up to 16 hexadecimal digits`},
		{"memory", `"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb: 1, must be a number from 16 to"},
		{"descriptors", `"sockets":1024`, `"sockets":"many"`, `limits.sockets: "many"`},
		{"cores", `"cores":1.0`, `"cores":0`, "limits.cores: 0"},
		{"peer_listen", `"peer_listen":"127.0.0.1:7946"`, `"peer_listen":""`, "peer_listen: must be a non-empty string"},
		{"peer missing", `,"127.0.0.2:7946"`, ``, "peers: 1 addresses, but settings.balancers is 2"},
		{"peer", `,"127.0.0.2:7946"`, `,"x"`, `peers[1]: "x" is not`},
		{"initial endpoints", `"seq":41`, `"seq":"x"`, "known:"},
		{"idle timeout", `"connIdleS":8`, `"connIdleS":-1`, "settings.policyLimits.connIdleS: -1"},
		{"zone", `"zones":["a"]`, `"zones":[1]`, "settings.zones[0]: must be a string"},
		{"operation name", `"name":"render"`, `"name":""`, "settings.operations[0].name: must be a non-empty string"},
		{"repeat", `"repeat":"idempotent"`, `"repeat":"often"`, `settings: operations[0].repeat: "often", must be one of`},
		{"dispatchers", `"balancers":2`, `"balancers":0`, "settings: balancers: 0"},
		{"admin address", `"name":"n3"`, `"name":"n3","mgmt":"nowhere"`, `mgmt: "nowhere" is not an address`},
		{
			"client timeout of zero", `"clientTimeoutS":2.5`, `"clientTimeoutS":0`,
			"operations[0].clientTimeoutS: 0, must be a positive",
		},
		{
			"client timeout as a string", `"clientTimeoutS":2.5`, `"clientTimeoutS":"2"`,
			`operations[0].clientTimeoutS: "2", must be a positive`,
		},
		{"client timeout out of range", `"clientTimeoutS":2.5`, `"clientTimeoutS":1e999`, "operations[0].clientTimeoutS"},
		{"latency objective", `"latencyObjectiveS":1`, `"latencyObjectiveS":-1`, "latencyObjectiveS: -1"},
		{
			"attempts of zero", `"maxForwards":3`, `"maxForwards":0`,
			"settings.policyLimits.maxForwards: 0, must be a positive",
		},
		{"fractional attempts", `"maxForwards":3`, `"maxForwards":1.5`, "maxForwards: 1.5, must be a whole"},
		{
			"repeated operation", `"operations":[`, `"operations":[{"name":"render","repeat":"idempotent"},`,
			"operations[1].name: \"render\" is already the name of settings.operations[0]",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Contains(t, testConfiguration, c.old)
			_, err := parseConfig([]byte(strings.Replace(testConfiguration, c.old, c.invalid, 1)), fakeEnv())
			assert.ErrorContains(t, err, c.want)
			if c.name != "initial endpoints" { // an error of package protocol
				var keyError *settings.KeyError
				assert.ErrorAs(t, err, &keyError)
			}
		})
	}
}

func TestUnreadableConfigurationIsRejected(t *testing.T) {
	parseError := func(old, invalid string) error {
		_, err := parseConfig([]byte(strings.Replace(testConfiguration, old, invalid, 1)), fakeEnv())
		return err
	}
	err := parseError(`"settings":`, `"other":`)
	assert.ErrorIs(t, err, settings.ErrNotObject)
	assert.ErrorContains(t, err, "settings: not an object")
	assert.ErrorIs(t, parseError(`{"name"`, `["name"`), errNotJSON)
	_, err = parseConfig([]byte("[]"), fakeEnv())
	assert.ErrorIs(t, err, errNotObject)

	_, err = parseConfig([]byte(testConfiguration), fakeEnv("LB_LISTEN", "nowhere"))
	var keyError *settings.KeyError
	assert.ErrorAs(t, err, &keyError)
	assert.Equal(t, "LB_LISTEN", keyError.Key, "the variable, not the key in the file")
	_, err = ReadConfig(fakeEnv())
	assert.ErrorIs(t, err, errConfigNotSet)
	assert.ErrorContains(t, err, "LB_CONFIG: not set")
	_, err = ReadConfig(fakeEnv("LB_CONFIG", filepath.Join(t.TempDir(), "none")))
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// Each limit may be at its minimum, and one may allow many file descriptors while the other has too little memory for
// as many connections.
func TestResourceLimitsFollowFromMemoryAndDescriptors(t *testing.T) {
	for _, c := range []struct {
		name                                string
		memoryMB, sockets, clients, workers int
	}{
		{"defaults", 192, 1024, 600, 362},
		{"few descriptors", 32, 256, 139, 84},
		{"little memory", 32, 1024, 307, 185},
	} {
		t.Run(c.name, func(t *testing.T) {
			limits := (&Config{MemoryMB: c.memoryMB, Sockets: c.sockets}).resourceLimits()
			assert.Equal(t, c.clients, limits.clientConnections)
			assert.Equal(t, c.workers, limits.workerConnections)
			connections := limits.clientConnections*17/16 + limits.workerConnections
			assert.Less(t, connections*bytesPerConnection+int(limits.bodyBytes), c.memoryMB<<20*3/4)
		})
	}
}
