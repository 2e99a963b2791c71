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

// endpointChangeDeadline is how long after a change of the endpoint list each dispatcher has to know it. The platform
// fixes it; no key sets it.
const endpointChangeDeadline = 6 * balancer.Second

// Numbers in texts.
const (
	settingsHashDigits = 16 // hexadecimal digits of the settings' hash that are kept
	seedBase           = 16
	seedBits           = 64
)

// Why a file is rejected as a whole.
var (
	errNotJSON   = errors.New("not JSON")
	errNotObject = errors.New("not a JSON object")
)

// parseConfig returns the configuration that a file's text describes, with the defaults of missing keys. Of several
// faults it returns the one that the order of the steps here finds first.
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
	r.setPollingDiscovery(c)
	r.readIdentity(c)
	r.readLimits(c)
	c.WorkerIdleTimeout = r.seconds(workerIdleTimeoutKey)
	r.readPeers(c)
	r.readInitialEndpoints(c)
	r.readProxy(c)
	r.checkOperations()
	r.checkMaxAttempts()
	if r.err != nil {
		return nil, r.err
	}
	c.keys = configKeys(root)
	c.settingsHash = hashSettings(root.Get("settings"))
	return c, nil
}

// hashSettings returns the hash by which the state on disk names the settings that it was learnt under.
func hashSettings(v *fastjson.Value) string {
	return fmt.Sprintf("%x", sha256.Sum256(v.MarshalTo(nil)))[:settingsHashDigits]
}

// setPollingDiscovery sets what no key decides for a process on sockets. It polls the discovery service, and its proxy
// reports when a worker has received an attempt.
func (r *configReader) setPollingDiscovery(c *Config) {
	interval := r.seconds(pollIntervalKey)
	c.Balancer.Discovery.Poll = true
	c.Balancer.Discovery.MaxPollInterval = settings.DurationFromSeconds(interval.Seconds())
	c.Balancer.Discovery.ChangeDeadline = endpointChangeDeadline
	c.Balancer.Attempts.DeliveryNotices = true
}

// readIdentity reads who the dispatcher is and the addresses that it uses.
func (r *configReader) readIdentity(c *Config) {
	c.Name = r.text(envName, "name")
	c.Listen = r.address(envListen, "listen").String()
	c.Proxy.DiscoveryAddress = r.address(envDiscovery, "discovery").String()
	if r.getenv(envAdmin) != "" || r.root.Exists("mgmt") {
		c.AdminListen = r.address(envAdmin, "mgmt").String()
	}
	c.Seed = r.seed()
}

// readLimits reads the limits on the machine's resources.
func (r *configReader) readLimits(c *Config) {
	c.Cores = r.number(coresKey)
	c.MemoryMB = int(r.number(memoryKey))
	c.Sockets = int(r.number(socketsKey))
}

// readPeers reads the addresses for gossip: one for each dispatcher, this one included. Without gossip there are none.
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
		r.reject("peers", "%d addresses for settings.balancers %d, must be as many", n, c.Balancer.Dispatchers)
	}
}

// readInitialEndpoints reads the endpoint list that the dispatcher starts with, if the file has one.
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

// readProxy reads the operations, the names of tenants, zones and kinds, and the timeouts.
func (r *configReader) readProxy(c *Config) {
	c.Proxy.Position = c.Balancer.Position
	c.Proxy.DialTimeout = r.seconds(dialTimeoutKey)
	if c.Balancer.Rejections.RetryAfter {
		c.Proxy.MaxRetryAfter = c.Balancer.Rejections.MaxRetryAfter.Standard()
	}
	for n, v := range r.root.GetArray("settings", "operations") {
		operation := r.operation(n, v, c.Balancer.Operations)
		c.Proxy.Operations = append(c.Proxy.Operations, operation)
		c.MaxClientTimeout = max(c.MaxClientTimeout, operation.DefaultTimeout)
	}
	for n, v := range r.root.GetArray("settings", "orgs") {
		c.Proxy.Tenants = append(c.Proxy.Tenants, r.entryName(v, "orgs", n))
	}
	c.Proxy.Zones = r.names("settings", "zones")
	c.Proxy.Kinds = r.names("settings", "shapes")
	c.Proxy.ReportFields = r.names("settings", "report", "names")
}

// operation reads the n-th operation's name and default timeout. The rest is in balanced, the operations that package
// settings has read, in the same order.
func (r *configReader) operation(n int, v *fastjson.Value, balanced []balancer.OperationConfig) proxy.Operation {
	operation := proxy.Operation{DefaultTimeout: defaultClientTimeout}
	if n < len(balanced) {
		operation.RequiresKey = balanced[n].Idempotency == balancer.IdempotentByKey
		operation.DedupScope = balanced[n].DedupScope
		operation.DedupWindow = balanced[n].DedupWindow.Standard()
	}
	if s := v.GetFloat64("clientTimeoutS"); s > 0 {
		operation.DefaultTimeout = time.Duration(s * float64(time.Second))
	}
	operation.Name = r.entryName(v, "operations", n)
	return operation
}

// entryName reads the name of the n-th entry of a list in the settings.
func (r *configReader) entryName(v *fastjson.Value, list string, n int) string {
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
