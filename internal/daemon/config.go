package daemon

import (
	"errors"
	"fmt"
	"os"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/fleet"
	"canvasroute/internal/proxy"
)

// Environment variables. LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_MGMT override keys of the configuration file.
const (
	envConfig    = "LB_CONFIG"    // path of the configuration file
	envFleet     = "LB_FLEET"     // path of the fleet file; empty if there is none
	envName      = "LB_NAME"      // overrides name
	envListen    = "LB_LISTEN"    // overrides listen
	envDiscovery = "LB_DISCOVERY" // overrides discovery, on startup only
	envAdmin     = "LB_MGMT"      // overrides mgmt
)

// errConfigNotSet is returned if LB_CONFIG is not set.
var errConfigNotSet = errors.New(envConfig + ": not set; must be the path of the configuration file")

// Config is the configuration of a dispatcher process. config_table.go lists the keys of its fields with their units,
// defaults and ranges. process.start sets the fields of Proxy that depend on the clock, the predecessor or the fleet
// node. After that the process does not modify its Config: a reload replaces it, see process.
type Config struct {
	Name              string          // unique among the dispatchers
	Listen            string          // address for clients
	PeerListen        string          // UDP address for gossip, "" if gossip is disabled
	AdminListen       string          // admin address, "" if there is none
	Seed              uint64          // seed of the balancer's random numbers
	Cores             float64         // CPU limit, in cores
	MemoryMB          int             // memory limit, in MiB
	Sockets           int             // limit on open file descriptors
	WorkerIdleTimeout time.Duration   // workers close connections that have been idle for this duration
	MaxClientTimeout  time.Duration   // longest default client timeout of all operations
	Balancer          balancer.Config // read by package settings, then adjusted by setProcessOptions
	Proxy             proxy.Config
	Fleet             *fleet.Settings // nil if LB_FLEET is not set

	settingsHash string   // identifies the settings under which the state on disk was learned
	keys         *keyTree // the keys in the file
}

// ReadConfig reads the configuration file that LB_CONFIG names. The other environment variables override the name and
// the addresses in the file. It returns a *settings.KeyError if the value of a key is invalid. Other errors are
// errConfigNotSet, errNotJSON, errNotObject, settings.ErrNotObject, and the errors of os.ReadFile, fleet.Read and
// protocol.ParseEndpointList.
func ReadConfig(getenv func(string) string) (*Config, error) {
	path := getenv(envConfig)
	if path == "" {
		return nil, errConfigNotSet
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", envConfig, err)
	}
	c, err := parseConfig(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if fleetPath := getenv(envFleet); fleetPath != "" {
		c.Fleet, err = fleet.Read(fleetPath, c.Name, c.Balancer.Position, c.Balancer.Dispatchers)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", envFleet, err)
		}
	}
	return c, nil
}

// ReloadConfig reads the configuration like ReadConfig, but for a dispatcher that is already running. It ignores
// LB_DISCOVERY, which still holds the address from startup: the discovery service may have moved since then.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	return ReadConfig(func(variable string) string {
		if variable == envDiscovery {
			return ""
		}
		return getenv(variable)
	})
}
