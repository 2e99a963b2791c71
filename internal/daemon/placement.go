// Package daemon starts a dispatcher, keeps it running and ends it. The one place where its configuration is
// read, checked and defaulted is this file; the settings within it are read by package terms.
package daemon

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
	"canvasroute/internal/fleet"
	"canvasroute/internal/protocol"
	"canvasroute/internal/proxy"
	"canvasroute/internal/settings"
)

// Where nothing is said.
const (
	usualCores    = 1.0
	usualMemoryMB = 192
	usualSockets  = 1024
	usualIdle     = 10 * time.Second
	usualDial     = 250 * time.Millisecond
	usualAsk      = 10 * time.Second
	usualTimeout  = 30 * time.Second
	leastSockets  = 64
	toldWithin    = 6 * balancer.Second // the platform's term, which no setting tells
	leastMemoryMB = 16
)

// Config is where a dispatcher stands: its addresses, its limits and its neighbours.
type Config struct {
	Name, Listen, PeerListen string
	AdminListen              string // where operators call, "" for nowhere
	Seed                     uint64
	Cores                    float64
	MemoryMB, Sockets        int
	WorkerIdleTimeout        time.Duration // how long a worker lets a connection stand idle
	MaxClientTimeout         time.Duration // the longest client timeout
	Balancer                 balancer.Config
	Proxy                    proxy.Config
	Fleet                    *fleet.Settings // nil where dispatchers do nothing more in common
	settings                 string          // a hash of the settings
	keys                     map[string]bool // those of the file, by their paths
}

// ReadConfig takes the configuration from the file that LB_CONFIG names. What the environment says by itself, name
// and addresses, goes before the file.
func ReadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG: not set; it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	p, err := parse(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if own := getenv("LB_FLEET"); own != "" {
		p.Fleet, err = fleet.Read(own, p.Name, p.Balancer.Position, p.Balancer.Dispatchers)
		if err != nil {
			return nil, fmt.Errorf("LB_FLEET: %w", err)
		}
	}
	return p, nil
}

// ReloadConfig takes the configuration of a dispatcher that runs already: now the file says where the list
// service is, as the environment still has what held at the start.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	return ReadConfig(func(variable string) string {
		if variable == "LB_DISCOVERY" {
			return ""
		}
		return getenv(variable)
	})
}

func parse(text []byte, getenv func(string) string) (*Config, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return nil, errors.New("not a JSON object")
	}
	settingsJSON := v.Get("settings")
	p := &Config{}
	if p.Balancer, err = settings.Parse(settingsJSON); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r := reader{v: v, getenv: getenv}
	// On sockets the list service never tells by itself, whatever the settings say of it.
	p.Balancer.PollEndpoints = true
	p.Balancer.MaxPollInterval = settings.DurationOf(r.span(usualAsk, "settings", "rules", "askWithinS").Seconds())
	p.Balancer.NotifyDeadline, p.Balancer.DeliveryNotices = toldWithin, true
	p.Name = r.text("LB_NAME", "name")
	p.Listen = r.address("LB_LISTEN", "listen").String()
	p.Proxy.Discovery = r.address("LB_DISCOVERY", "discovery").String()
	if r.getenv("LB_MGMT") != "" || r.v.Exists("mgmt") {
		p.AdminListen = r.address("LB_MGMT", "mgmt").String()
	}
	p.Seed = r.seed()
	p.Cores = r.number(usualCores, 0.01, 4096, "limits", "cores")
	p.MemoryMB = int(r.number(usualMemoryMB, leastMemoryMB, 1<<24, "limits", "memory_mb"))
	p.Sockets = int(r.number(usualSockets, leastSockets, 1<<24, "limits", "sockets"))
	p.WorkerIdleTimeout = r.span(usualIdle, "settings", "policyLimits", "connIdleS")
	r.peers(p)
	r.known(p)
	r.routing(p)
	r.positives()
	p.keys = keysOf(v)
	p.settings = fmt.Sprintf("%x", sha256.Sum256(settingsJSON.MarshalTo(nil)))[:16]
	return p, r.err
}

// reader takes values out of the configuration, and keeps the first thing that is wrong with it.
type reader struct {
	v      *fastjson.Value
	getenv func(string) string
	err    error
}

func (r *reader) wrong(key, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: "+format, append([]any{key}, args...)...)
	}
}

func dotted(path []string) (key string) {
	for n, part := range path {
		if n > 0 {
			key += "."
		}
		key += part
	}
	return key
}

// text is a text that must be there, in the environment or in the file.
func (r *reader) text(variable, key string) string {
	if s := r.getenv(variable); variable != "" && s != "" {
		return s
	}
	field := r.v.Get(key)
	if field == nil || field.Type() != fastjson.TypeString || len(field.GetStringBytes()) == 0 {
		r.wrong(key, "must be a text")
		return ""
	}
	return string(field.GetStringBytes())
}

func (r *reader) address(variable, key string) netip.AddrPort {
	s := r.text(variable, key)
	a, err := netip.ParseAddrPort(s)
	if err != nil && r.err == nil {
		if variable != "" && r.getenv(variable) != "" {
			key = variable
		}
		r.wrong(key, "%q is not an address with a port", s)
	}
	return a
}

func (r *reader) number(usual, least, most float64, path ...string) float64 {
	field := r.v.Get(path...)
	if field == nil {
		return usual
	}
	n, err := field.Float64()
	if err != nil || !(n >= least && n <= most) {
		r.wrong(dotted(path), "%s, must be a number from %v to %v", field, least, most)
		return usual
	}
	return n
}

// span is a time in seconds; 0 counts as not said.
func (r *reader) span(usual time.Duration, path ...string) time.Duration {
	s := r.number(usual.Seconds(), 0, math.MaxInt32, path...)
	if s == 0 {
		return usual
	}
	return time.Duration(s * float64(time.Second))
}

func (r *reader) seed() uint64 {
	s := r.text("", "seed")
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		r.wrong("seed", "%q, must be up to 16 hex digits", s)
	}
	return n
}

func (r *reader) peers(p *Config) {
	if !p.Balancer.Gossip {
		return
	}
	p.PeerListen = r.address("", "peer_listen").String()
	for n, v := range r.v.GetArray("peers") {
		a, err := netip.ParseAddrPort(string(v.GetStringBytes()))
		if err != nil {
			r.wrong(fmt.Sprintf("peers[%d]", n), "%s is not an address with a port", v)
		}
		p.Proxy.Peers = append(p.Proxy.Peers, a)
	}
	if n := len(p.Proxy.Peers); n != p.Balancer.Dispatchers {
		r.wrong("peers", "%d addresses for settings.balancers %d", n, p.Balancer.Dispatchers)
	}
}

func (r *reader) known(p *Config) {
	v := r.v.Get("known")
	if v == nil || v.Type() == fastjson.TypeNull {
		return
	}
	l, err := protocol.ParseEndpointList(v.MarshalTo(nil))
	if err != nil {
		r.wrong("known", "%v", err)
		return
	}
	p.Proxy.InitialEndpoints = &l
}

func (r *reader) routing(p *Config) {
	t, settings := &p.Proxy, r.v.Get("settings")
	t.Position = p.Balancer.Position
	t.DialTimeout = r.span(usualDial, "settings", "policyLimits", "dialTimeoutS")
	if p.Balancer.RetryAfter {
		t.MaxRetryAfter = p.Balancer.MaxRetryAfter.Duration()
	}
	for n, o := range settings.GetArray("operations") {
		op := proxy.Operation{
			Name: string(o.GetStringBytes("name")), DefaultTimeout: usualTimeout,
			RequiresKey: n < len(p.Balancer.Operations) && p.Balancer.Operations[n].Idempotency == balancer.IdempotentByKey,
		}
		if n < len(p.Balancer.Operations) {
			op.DedupScope, op.DedupWindow = p.Balancer.Operations[n].DedupScope, p.Balancer.Operations[n].DedupWindow.Duration()
		}
		if s := o.GetFloat64("clientTimeoutS"); s > 0 {
			op.DefaultTimeout = time.Duration(s * float64(time.Second))
		}
		if op.Name == "" {
			r.wrong(fmt.Sprintf("settings.operations[%d].name", n), "must be a text")
		}
		t.Operations = append(t.Operations, op)
		p.MaxClientTimeout = max(p.MaxClientTimeout, op.DefaultTimeout)
	}
	for n, o := range settings.GetArray("orgs") {
		name := string(o.GetStringBytes("name"))
		if name == "" {
			r.wrong(fmt.Sprintf("settings.orgs[%d].name", n), "must be a text")
		}
		t.Tenants = append(t.Tenants, name)
	}
	t.Zones = r.names("settings", "zones")
	t.Kinds = r.names("settings", "shapes")
	t.Report = r.names("settings", "report", "names")
}

func (r *reader) names(path ...string) (names []string) {
	for n, v := range r.v.GetArray(path...) {
		if v.Type() != fastjson.TypeString {
			r.wrong(fmt.Sprintf("%s[%d]", dotted(path), n), "must be a text")
		}
		names = append(names, string(v.GetStringBytes()))
	}
	return names
}
