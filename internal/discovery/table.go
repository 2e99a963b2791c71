package discovery

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// Table is the endpoint table: all workers that were ever listed, by number, ID and tag (a hash of the ID in 16 bits).
// A worker keeps its number while this process lives, also after it is gone. All methods may be called concurrently.
type Table struct {
	fromUnix func(ms float64) balancer.Time
	kinds    map[string]int // numbers by the names in the settings
	log      zerolog.Logger

	// mu guards the fields below. fromUnix, log and the function that Find is given are called under it.
	mu      sync.Mutex
	zones   map[string]int               // numbers by name: the zones of the settings first, then others as they were seen
	numbers map[string]balancer.WorkerID // by the worker's ID
	workers []worker                     // by their numbers
	tagged  map[uint16]balancer.WorkerID // by tag; of several workers with one tag the first
	version int64                        // of the last list
}

// worker is a row of the table.
type worker struct {
	tag       uint16            // by which dispatchers name it to each other
	startedAt balancer.Time     // the latest start that was listed, 0 for long ago
	endpoint  protocol.Endpoint // as last listed; its address is the last one known
}

func (w *worker) isGone() bool { return w.endpoint.State == protocol.Gone }

// OutdatedAddress is an address whose idle connections must not be used any more.
type OutdatedAddress struct {
	Address string // host and port
	// StartedAt is when the process that now listens there started. Connections opened before lead to its predecessor,
	// also those in use. It is zero where the process is the same.
	StartedAt time.Time
}

// Contents is what a table holds.
type Contents struct {
	Version   int64               // of the last list
	Endpoints []protocol.Endpoint // by the workers' numbers, with those that are gone
	Zones     []string            // names by the zones' numbers
}

// NewTable returns an empty table. zones and kinds are the names in the settings, whose positions are their numbers.
// fromUnix converts Unix time in milliseconds to the balancer's time.
func NewTable(zones, kinds []string, fromUnix func(ms float64) balancer.Time, log zerolog.Logger) *Table {
	return &Table{
		fromUnix: fromUnix,
		kinds:    positions(kinds),
		log:      log,
		zones:    positions(zones),
		numbers:  map[string]balancer.WorkerID{},
		tagged:   map[uint16]balancer.WorkerID{},
	}
}

func positions(names []string) map[string]int {
	byName := map[string]int{}
	for position, name := range names {
		byName[name] = position
	}
	return byName
}

// workerStates are the balancer's terms for the states in an endpoint list.
var workerStates = map[string]balancer.WorkerState{
	protocol.Ready:       balancer.Healthy,
	protocol.Terminating: balancer.Draining,
	protocol.Gone:        balancer.Gone,
}

// Update applies a list, or a change to it. It returns the listed workers in the balancer's terms, in the order of the
// list, and the addresses that it makes outdated. Workers that a complete list leaves out are gone.
func (t *Table) Update(list *protocol.EndpointList) ([]balancer.Endpoint, []OutdatedAddress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = list.Version
	var endpoints []balancer.Endpoint
	var outdated []OutdatedAddress
	listed := map[balancer.WorkerID]bool{}
	for _, endpoint := range list.Endpoints {
		number := t.register(endpoint)
		listed[number] = true
		if address, found := t.updateWorker(number, endpoint); found {
			outdated = append(outdated, address)
		}
		endpoints = append(endpoints, t.balancerEndpoint(number))
	}
	if list.Complete {
		outdated = append(outdated, t.markUnlistedGone(listed)...)
	}
	return endpoints, outdated
}

// markUnlistedGone marks the workers as gone that are not listed, and returns their addresses.
func (t *Table) markUnlistedGone(listed map[balancer.WorkerID]bool) []OutdatedAddress {
	var outdated []OutdatedAddress
	for number := range t.workers {
		w := &t.workers[number]
		if listed[balancer.WorkerID(number)] || w.isGone() {
			continue
		}
		outdated = append(outdated, OutdatedAddress{Address: w.endpoint.Address})
		w.endpoint.State = protocol.Gone
	}
	return outdated
}

// register returns the number of a worker, a new one for an ID that was never listed.
func (t *Table) register(endpoint protocol.Endpoint) balancer.WorkerID {
	if number, known := t.numbers[endpoint.ID]; known {
		return number
	}
	number := balancer.WorkerID(len(t.workers))
	tag := protocol.WorkerTag(endpoint.ID)
	t.numbers[endpoint.ID] = number
	t.workers = append(t.workers, worker{tag: tag})
	t.log.Info().Int("worker", int(number)).Str("host", endpoint.ID).Str("addr", endpoint.Address).
		Msg("worker registered")
	if _, taken := t.tagged[tag]; !taken {
		t.tagged[tag] = number
	}
	return number
}

// updateWorker replaces a worker's endpoint. It returns the worker's previous address, and whether connections to it
// are outdated: the worker has restarted, is not ready, or has moved. An endpoint without an address keeps the previous
// one.
func (t *Table) updateWorker(number balancer.WorkerID, endpoint protocol.Endpoint) (OutdatedAddress, bool) {
	w := &t.workers[number]
	previous := *w
	if endpoint.Address == "" {
		endpoint.Address = previous.endpoint.Address
	}
	w.endpoint = endpoint
	if endpoint.StartedAtMillis > 0 {
		w.startedAt = max(w.startedAt, t.fromUnix(endpoint.StartedAtMillis))
	}
	t.registerZone(endpoint.Zone)
	address := previous.endpoint.Address
	switch {
	case address == "":
		return OutdatedAddress{}, false
	case w.startedAt > previous.startedAt:
		startedAt := time.UnixMilli(int64(endpoint.StartedAtMillis))
		return OutdatedAddress{Address: address, StartedAt: startedAt}, true
	case workerStates[endpoint.State] != balancer.Healthy || endpoint.Address != address:
		return OutdatedAddress{Address: address}, true
	}
	return OutdatedAddress{}, false
}

// registerZone gives a number to a zone that has none yet. Each zone that the settings do not name is a zone of its
// own.
func (t *Table) registerZone(name string) {
	if _, known := t.zones[name]; !known {
		t.zones[name] = len(t.zones)
	}
}

// balancerEndpoint returns a worker in the balancer's terms.
func (t *Table) balancerEndpoint(number balancer.WorkerID) balancer.Endpoint {
	w := &t.workers[number]
	return balancer.Endpoint{
		Worker:    number,
		ID:        w.endpoint.ID,
		Zone:      balancer.ZoneID(t.zones[w.endpoint.Zone]),
		Kind:      balancer.KindID(t.kinds[w.endpoint.Kind]),
		Cell:      balancer.CellID(w.endpoint.Cell),
		State:     workerStates[w.endpoint.State],
		StartedAt: w.startedAt,
	}
}

// addZones gives numbers to zones that have none yet, in their order.
func (t *Table) addZones(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range names {
		t.registerZone(name)
	}
}

// Endpoint returns a worker as it was last listed. Its number must be one of the table's.
func (t *Table) Endpoint(number balancer.WorkerID) protocol.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.workers[number].endpoint
}

// Accepts reports whether a worker may be sent a new attempt at an address: it is ready and is still listed there.
func (t *Table) Accepts(number balancer.WorkerID, address string) bool {
	endpoint := t.Endpoint(number)
	return endpoint.State == protocol.Ready && endpoint.Address == address
}

// Tag returns the short hash by which dispatchers name a worker to each other.
func (t *Table) Tag(number balancer.WorkerID) uint16 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.workers[number].tag
}

// ByTag returns the worker with a tag, and whether there is one. Of several workers with the same tag it is the one
// that was listed first.
func (t *Table) ByTag(tag uint16) (balancer.WorkerID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	number, known := t.tagged[tag]
	return number, known
}

// ByID returns the worker with an ID, and whether it was ever listed.
func (t *Table) ByID(id string) (balancer.WorkerID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	number, known := t.numbers[id]
	return number, known
}

// Find returns the worker with the lowest number whose endpoint matches, and whether there is one.
func (t *Table) Find(matches func(*protocol.Endpoint) bool) (balancer.WorkerID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	number := slices.IndexFunc(t.workers, func(w worker) bool { return matches(&w.endpoint) })
	return balancer.WorkerID(number), number >= 0
}

// ZoneByName returns the number of a zone, and whether it has one.
func (t *Table) ZoneByName(name string) (int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	number, known := t.zones[name]
	return number, known
}

// HasWorkers reports whether any worker is listed that is not gone.
func (t *Table) HasWorkers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.workers, func(w worker) bool { return !w.isGone() })
}

// Version returns the version of the last list.
func (t *Table) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Contents returns a copy of what the table holds.
func (t *Table) Contents() Contents {
	t.mu.Lock()
	defer t.mu.Unlock()
	contents := Contents{Version: t.version, Zones: make([]string, len(t.zones))}
	for _, w := range t.workers {
		contents.Endpoints = append(contents.Endpoints, w.endpoint)
	}
	for name, number := range t.zones {
		contents.Zones[number] = name
	}
	return contents
}
