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

// Environment variables. LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_MGMT override the file's keys.
const (
	envConfig    = "LB_CONFIG"    // path of the configuration file
	envFleet     = "LB_FLEET"     // path of the fleet's file, empty for none
	envName      = "LB_NAME"      // overrides name
	envListen    = "LB_LISTEN"    // overrides listen
	envDiscovery = "LB_DISCOVERY" // overrides discovery, at the start only
	envAdmin     = "LB_MGMT"      // overrides mgmt
)

// errConfigNotSet is returned without LB_CONFIG.
var errConfigNotSet = errors.New(envConfig + ": not set; it names the configuration file")

// Config is the configuration of a dispatcher's process. The keys behind the fields, with units, defaults and ranges,
// are in config_table.go. While the process runs it is replaced and not changed, see process.
type Config struct {
	Name              string          // unique among the dispatchers
	Listen            string          // address for clients
	PeerListen        string          // address for datagrams of other dispatchers, "" without gossip
	AdminListen       string          // admin address, "" for none
	Seed              uint64          // of the balancer's random numbers
	Cores             float64         // limit on processor time, in cores
	MemoryMB          int             // limit on memory, in MiB
	Sockets           int             // limit on open descriptors
	WorkerIdleTimeout time.Duration   // workers close connections that are idle for so long
	MaxClientTimeout  time.Duration   // the longest default client timeout of all operations
	Balancer          balancer.Config // what package settings reads, with the values of setPollingDiscovery
	Proxy             proxy.Config
	Fleet             *fleet.Settings // nil without LB_FLEET

	settingsHash string          // identifies the settings under which the state on disk was learnt
	keys         map[string]bool // paths of the keys in the file, see configKeys
}

// ReadConfig returns the configuration in the file that LB_CONFIG names. The other environment variables override the
// file's name and addresses. It fails with a *settings.KeyError for a single key, with errConfigNotSet, errNotJSON or
// errNotObject, or with the error of reading a file.
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

// ReloadConfig returns the configuration for a dispatcher that runs already, as ReadConfig does. Only LB_DISCOVERY is
// ignored: it still has the address from the start, and the discovery service may have moved since.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	return ReadConfig(func(variable string) string {
		if variable == envDiscovery {
			return ""
		}
		return getenv(variable)
	})
}
