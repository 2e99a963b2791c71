package daemon

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/proxy"
	"canvasroute/internal/settings"
)

// endpointChangeDeadline is the time within which each dispatcher must learn of a change to the endpoint list. It is
// fixed by the platform and cannot be configured.
const endpointChangeDeadline = 6 * balancer.Second

// Formats of numbers in the configuration and in the stored state.
const (
	settingsHashDigits = 16 // hexadecimal digits kept of the settings hash
	seedBase           = 16
	seedBits           = 64
)

// Errors for a file that is rejected as a whole.
var (
	errNotJSON   = errors.New("not JSON")
	errNotObject = errors.New("not a JSON object")
)

// parseConfig parses the text of a configuration file and sets the defaults of missing keys. If there are several
// errors, it returns the first one in the order of the steps below.
func parseConfig(text []byte, getenv func(string) string) (*Config, error) {
	root, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotJSON, err)
	}
	if root.Type() != fastjson.TypeObject {
		return nil, errNotObject
	}
	c := &Config{}
	if c.Balancer, err = settings.Parse(root.Get("settings")); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r := &configReader{root: root, getenv: getenv}
	r.setProcessOptions(c)
	r.readIdentity(c)
	r.readLimits(c)
	c.WorkerIdleTimeout = r.duration(workerIdleTimeoutKey)
	r.readPeers(c)
	r.readInitialEndpoints(c)
	r.readProxy(c)
	r.checkOperations()
	r.checkMaxAttempts()
	if r.err != nil {
		return nil, r.err
	}
	c.keys = newKeyTree("", root)
	c.settingsHash = hashSettings(root.Get("settings"))
	return c, nil
}

// hashSettings returns the hash that identifies settings in the state on disk.
func hashSettings(v *fastjson.Value) string {
	return fmt.Sprintf("%x", sha256.Sum256(v.MarshalTo(nil)))[:settingsHashDigits]
}

// setProcessOptions sets the balancer options that package settings does not read, because they apply to a dispatcher
// process only: it polls the discovery service, also where that pushes lists, and its proxy reports when a worker has
// received an attempt.
func (r *configReader) setProcessOptions(c *Config) {
	interval := r.duration(pollIntervalKey)
	c.Balancer.Discovery.Poll = true
	c.Proxy.ListsPushed = c.Balancer.Discovery.Pushed
	c.Balancer.Discovery.MaxPollInterval = settings.DurationFromSeconds(interval.Seconds())
	c.Balancer.Discovery.ChangeDeadline = endpointChangeDeadline
	c.Balancer.Attempts.DeliveryNotices = true
}

// readIdentity reads the dispatcher's name, its addresses and its random seed.
func (r *configReader) readIdentity(c *Config) {
	c.Name = r.text(envName, "name")
	c.Listen = r.address(envListen, "listen").String()
	c.Proxy.DiscoveryAddress = r.address(envDiscovery, "discovery").String()
	if r.getenv(envAdmin) != "" || r.root.Exists("mgmt") {
		c.AdminListen = r.address(envAdmin, "mgmt").String()
	}
	c.Seed = r.seed()
}

// readLimits reads the limits on CPU, memory and file descriptors.
func (r *configReader) readLimits(c *Config) {
	c.Cores = r.number(coresKey)
	c.MemoryMB = int(r.number(memoryKey))
	c.Sockets = int(r.number(socketsKey))
}

// readPeers reads the gossip addresses: one for each dispatcher, including this one. It reads none if gossip is
// disabled.
func (r *configReader) readPeers(c *Config) {
	if !c.Balancer.Gossip.Enabled {
		return
	}
	c.PeerListen = r.address("", "peer_listen").String()
	for n, v := range r.root.GetArray("peers") {
		peer, err := netip.ParseAddrPort(string(v.GetStringBytes()))
		if err != nil {
			r.reject(fmt.Sprintf("peers[%d]", n), "%s is not an address with a port, such as 127.0.0.1:7946", v)
		}
		c.Proxy.Peers = append(c.Proxy.Peers, peer)
	}
	if n := len(c.Proxy.Peers); n != c.Balancer.Dispatchers {
		r.reject("peers", "%d addresses, but settings.balancers is %d", n, c.Balancer.Dispatchers)
	}
}

// readInitialEndpoints reads the optional endpoint list that the dispatcher starts with.
func (r *configReader) readInitialEndpoints(c *Config) {
	v := r.root.Get("known")
	if v == nil || v.Type() == fastjson.TypeNull {
		return
	}
	list, err := protocol.ParseEndpointList(v.MarshalTo(nil))
	if err != nil {
		r.rejectError("known", err)
		return
	}
	c.Proxy.InitialEndpoints = &list
}

// readProxy reads the operations, the names of tenants, zones, kinds and load report fields, and the timeouts.
func (r *configReader) readProxy(c *Config) {
	c.Proxy.Position = c.Balancer.Position
	c.Proxy.DialTimeout = r.duration(dialTimeoutKey)
	if c.Balancer.Rejections.RetryAfter {
		c.Proxy.UnavailableRetryAfter = c.Balancer.Rejections.MaxRetryAfter.Standard()
	}
	for n, v := range r.root.GetArray("settings", "operations") {
		operation := r.operation(n, v, c.Balancer.Operations)
		c.Proxy.Operations = append(c.Proxy.Operations, operation)
		c.MaxClientTimeout = max(c.MaxClientTimeout, operation.DefaultTimeout)
	}
	for n, v := range r.root.GetArray("settings", "orgs") {
		c.Proxy.Tenants = append(c.Proxy.Tenants, r.readEntryName(v, "orgs", n))
	}
	c.Proxy.Zones = r.names("settings", "zones")
	c.Proxy.Kinds = r.names("settings", "shapes")
	c.Proxy.ReportFields = r.names("settings", "report", "names")
}

// operation reads the name and the default timeout of the n-th operation. The other values are copied from
// parsed, which holds the operations that package settings has read, in the same order.
func (r *configReader) operation(n int, v *fastjson.Value, parsed []balancer.OperationConfig) proxy.Operation {
	operation := proxy.Operation{DefaultTimeout: defaultClientTimeout}
	if n < len(parsed) {
		operation.RequiresKey = parsed[n].Idempotency == balancer.IdempotentByKey
		operation.DedupScope = parsed[n].DedupScope
		operation.DedupWindow = parsed[n].DedupWindow.Standard()
	}
	if s := v.GetFloat64("clientTimeoutS"); s > 0 {
		operation.DefaultTimeout = time.Duration(s * float64(time.Second))
	}
	operation.Name = r.readEntryName(v, "operations", n)
	return operation
}

// readEntryName reads the name of the n-th entry of a list in the settings.
func (r *configReader) readEntryName(v *fastjson.Value, list string, n int) string {
	name := string(v.GetStringBytes("name"))
	if name == "" {
		r.reject(fmt.Sprintf("settings.%s[%d].name", list, n), "must be a non-empty string")
	}
	return name
}

// seed reads the seed of the balancer's random numbers.
func (r *configReader) seed() uint64 {
	text := r.text("", "seed")
	seed, err := strconv.ParseUint(text, seedBase, seedBits)
	if err != nil {
		r.reject("seed", "%q, must be up to 16 hexadecimal digits", text)
	}
	return seed
}
