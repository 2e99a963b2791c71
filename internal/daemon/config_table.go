package daemon

import "time"

// The keys of the configuration file that this package reads. docs/operating.md has the same table for operators and
// describes the effect of a reload on each key. Package settings reads the other keys under "settings".
//
// Strings and lists are required unless their row is marked "optional". An address is an IP address with a port.
//
//	name                     unique among the dispatchers; overridden by LB_NAME.
//	listen                   address for clients; overridden by LB_LISTEN.
//	discovery                address of the discovery service; overridden by LB_DISCOVERY on startup only.
//	mgmt                     optional: admin address, required for hot restarts; overridden by LB_MGMT.
//	seed                     seed of the balancer's random numbers, up to 16 hexadecimal digits.
//	known                    optional: endpoint list to start with.
//	peer_listen              address for gossip; read only if settings.policyLimits.peers is true.
//	peers                    gossip addresses of all dispatchers, by position; read only with peer_listen.
//	peers_all                optional; ignored.
//	settings.operations[]    name: unique; clientTimeoutS, latencyObjectiveS: optional, in seconds, greater than 0.
//	settings.orgs[]          name of each tenant; the list is optional.
//	settings.zones, .shapes  optional: names of the zones, and of the kinds of workers.
//	settings.report.names    optional: fields of the workers' load reports.
//	settings.policyLimits    maxForwards: attempts per request, a positive whole number. If missing, no attempt is made.
//
// The variables below describe the keys that hold a number or a duration. A missing key has its default value.
var (
	// coresKey limits the CPU time, in cores. The balancer has one shard for each whole core, and at least one.
	coresKey = numberKey{path: keyPath{"limits", "cores"}, defaultValue: 1, min: 0.01, max: 4096}

	// memoryKey limits the memory, in MiB.
	memoryKey = numberKey{path: keyPath{"limits", "memory_mb"}, defaultValue: 192, min: 16, max: 1 << 24}

	// socketsKey limits the number of open file descriptors.
	socketsKey = numberKey{path: keyPath{"limits", "sockets"}, defaultValue: 1024, min: 64, max: 1 << 24}

	// workerIdleTimeoutKey is the duration for which workers keep an idle connection open.
	workerIdleTimeoutKey = durationKey{
		path:         keyPath{"settings", "policyLimits", "connIdleS"},
		defaultValue: 10 * time.Second,
	}

	// dialTimeoutKey limits the time to connect to a worker.
	dialTimeoutKey = durationKey{
		path:         keyPath{"settings", "policyLimits", "dialTimeoutS"},
		defaultValue: 250 * time.Millisecond,
	}

	// pollIntervalKey is the maximum time between two polls of the discovery service.
	pollIntervalKey = durationKey{
		path:         keyPath{"settings", "rules", "askWithinS"},
		defaultValue: 10 * time.Second,
	}
)

// defaultClientTimeout is the client timeout of an operation without clientTimeoutS.
const defaultClientTimeout = 30 * time.Second

// keyPath is the path of a key from the root of the file.
type keyPath []string

// numberKey describes a key that holds a number.
type numberKey struct {
	path         keyPath
	defaultValue float64 // used if the key is missing
	min          float64 // smallest accepted number
	max          float64 // largest accepted number
}

// durationKey describes a key that holds a duration in seconds, from 0 to math.MaxInt32. 0 selects the default.
type durationKey struct {
	path         keyPath
	defaultValue time.Duration // also used if the key is missing
}
