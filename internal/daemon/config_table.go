package daemon

import "time"

// The keys of the configuration file that this package reads. docs/operating.md shows operators the same table, with
// what a reload does about each key. Package settings reads the other keys below "settings".
//
// Texts and lists are required where their row does not say "optional". An address is an IP address with a port.
//
//	name                     unique among the dispatchers; overridden by LB_NAME.
//	listen                   address for clients; overridden by LB_LISTEN.
//	discovery                address of the discovery service; overridden by LB_DISCOVERY, at the start only.
//	mgmt                     optional: admin address, without which there is no hot restart; overridden by LB_MGMT.
//	seed                     seed of the balancer's random numbers, up to 16 hexadecimal digits.
//	known                    optional: endpoint list to start with.
//	peer_listen              address for gossip; read only where settings.policyLimits.peers is true.
//	peers                    all dispatchers' addresses for gossip, by position; read only with peer_listen.
//	peers_all                optional, and not read.
//	settings.operations[]    name: unique; clientTimeoutS, latencyObjectiveS: where present, seconds above 0.
//	settings.orgs[]          name of each tenant; the list is optional.
//	settings.zones, .shapes  optional: names of the zones, and of the kinds of workers.
//	settings.report.names    optional: fields of the workers' load reports.
//	settings.policyLimits    maxForwards: attempts per request, a whole number above 0. Without it no attempt is made.
//
// The variables below are the keys with a number or a duration. A key that is missing has its default.
var (
	// coresKey bounds the processor time, in cores. Each whole core has a shard of the balancer, at least one.
	coresKey = numberKey{path: keyPath{"limits", "cores"}, defaultValue: 1, min: 0.01, max: 4096}

	// memoryKey bounds the memory, in MiB.
	memoryKey = numberKey{path: keyPath{"limits", "memory_mb"}, defaultValue: 192, min: 16, max: 1 << 24}

	// socketsKey bounds the open descriptors.
	socketsKey = numberKey{path: keyPath{"limits", "sockets"}, defaultValue: 1024, min: 64, max: 1 << 24}

	// workerIdleTimeoutKey is how long workers keep an idle connection open.
	workerIdleTimeoutKey = durationKey{
		path:         keyPath{"settings", "policyLimits", "connIdleS"},
		defaultValue: 10 * time.Second,
	}

	// dialTimeoutKey bounds connecting to a worker.
	dialTimeoutKey = durationKey{
		path:         keyPath{"settings", "policyLimits", "dialTimeoutS"},
		defaultValue: 250 * time.Millisecond,
	}

	// pollIntervalKey is the longest time between two polls of the discovery service.
	pollIntervalKey = durationKey{
		path:         keyPath{"settings", "rules", "askWithinS"},
		defaultValue: 10 * time.Second,
	}
)

// defaultClientTimeout is that of an operation without clientTimeoutS.
const defaultClientTimeout = 30 * time.Second

// keyPath is the path of a key from the top of the file.
type keyPath []string

// numberKey describes a key that holds a number.
type numberKey struct {
	path         keyPath
	defaultValue float64 // used where the key is missing
	min          float64 // least number that is accepted
	max          float64 // greatest number that is accepted
}

// durationKey describes a key that holds seconds, from 0 to math.MaxInt32. 0 selects the default.
type durationKey struct {
	path         keyPath
	defaultValue time.Duration // used where the key is missing too
}
