package discovery

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
)

// Table is the endpoint table. It contains all workers that have ever been listed, indexed by number, ID and tag (a
// 16-bit hash of the ID). A worker keeps its number until this process exits, even after the worker is gone. All
// methods are safe for concurrent use.
type Table struct {
	fromUnixMillis func(ms float64) balancer.Time
	kinds          map[string]int // kind numbers by name, from the settings
	log            zerolog.Logger

	// mu guards the fields below. It is held during calls of fromUnixMillis, log and the function passed to FindWorker.
	mu          sync.Mutex
	zones       map[string]int               // zone numbers by name: those in the settings first, then others as added
	numberByID  map[string]balancer.WorkerID // worker numbers by ID
	workers     []worker                     // by worker number
	numberByTag map[uint16]balancer.WorkerID // worker numbers by tag; the first one if several workers share a tag
	version     int64                        // of the last list
}

// worker is a row of the table.
type worker struct {
	tag       uint16            // identifies the worker in messages between dispatchers
	startedAt balancer.Time     // the latest listed start time; 0 if none was listed
	endpoint  protocol.Endpoint // as last listed, with the last known address
}

func (w *worker) isGone() bool { return w.endpoint.State == protocol.Gone }

// OutdatedAddress is an address whose idle connections must no longer be used.
type OutdatedAddress struct {
	Address string // host and port
	// StartedAt is the worker's start time if it is later than the one listed before, and zero otherwise. Connections
	// that were opened earlier, including those in use, belong to a previous process of the worker.
	StartedAt time.Time
}

// Contents is a copy of the data in a Table.
type Contents struct {
	Version   int64               // of the last list
	Endpoints []protocol.Endpoint // by worker number, including workers that are gone
	Zones     []string            // names by zone number
}

// NewTable returns an empty table. zones and kinds are the names in the settings, which are numbered by their
// positions. fromUnixMillis converts Unix time in milliseconds to the balancer's time.
func NewTable(zones, kinds []string, fromUnixMillis func(ms float64) balancer.Time, log zerolog.Logger) *Table {
	return &Table{
		fromUnixMillis: fromUnixMillis,
		kinds:          indexByName(kinds),
		log:            log,
		zones:          indexByName(zones),
		numberByID:     map[string]balancer.WorkerID{},
		numberByTag:    map[uint16]balancer.WorkerID{},
	}
}

func indexByName(names []string) map[string]int {
	byName := map[string]int{}
	for position, name := range names {
		byName[name] = position
	}
	return byName
}

// workerStates maps the states in an endpoint list to the balancer's states.
var workerStates = map[string]balancer.WorkerState{
	protocol.Ready:       balancer.Healthy,
	protocol.Terminating: balancer.Draining,
	protocol.Gone:        balancer.Gone,
}

// Update applies a complete list or a list of changes. It returns the listed workers as the balancer's endpoints, in
// the order of the list, and the addresses that have become outdated. It marks workers missing from a complete list as
// gone.
func (t *Table) Update(list *protocol.EndpointList) ([]balancer.Endpoint, []OutdatedAddress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = list.Version
	var endpoints []balancer.Endpoint
	var outdated []OutdatedAddress
	listed := map[balancer.WorkerID]bool{}
	for _, endpoint := range list.Endpoints {
		number := t.registerWorker(endpoint)
		listed[number] = true
		if address, isOutdated := t.updateWorker(number, endpoint); isOutdated {
			outdated = append(outdated, address)
		}
		endpoints = append(endpoints, t.balancerEndpoint(number))
	}
	if list.Complete {
		outdated = append(outdated, t.markUnlistedGone(listed)...)
	}
	return endpoints, outdated
}

// markUnlistedGone marks the workers that are not in listed as gone, and returns the addresses of those newly marked.
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

// registerWorker returns the number of a worker, and assigns a new number to an ID that was never listed before.
func (t *Table) registerWorker(endpoint protocol.Endpoint) balancer.WorkerID {
	if number, found := t.numberByID[endpoint.ID]; found {
		return number
	}
	number := balancer.WorkerID(len(t.workers))
	tag := protocol.WorkerTag(endpoint.ID)
	t.numberByID[endpoint.ID] = number
	t.workers = append(t.workers, worker{tag: tag})
	t.log.Info().Int("worker", int(number)).Str("host", endpoint.ID).Str("addr", endpoint.Address).
		Msg("worker registered")
	if _, taken := t.numberByTag[tag]; !taken {
		t.numberByTag[tag] = number
	}
	return number
}

// updateWorker replaces a worker's endpoint. If connections to the worker's previous address are outdated, because the
// worker restarted, is not ready or changed its address, it returns that address and true. An endpoint without an
// address keeps the previous one.
func (t *Table) updateWorker(number balancer.WorkerID, endpoint protocol.Endpoint) (OutdatedAddress, bool) {
	w := &t.workers[number]
	previous := *w
	if endpoint.Address == "" {
		endpoint.Address = previous.endpoint.Address
	}
	w.endpoint = endpoint
	if endpoint.StartedAtMillis > 0 {
		w.startedAt = max(w.startedAt, t.fromUnixMillis(endpoint.StartedAtMillis))
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

// registerZone assigns a number to a zone that has none. Each zone that is missing from the settings gets a number of
// its own.
func (t *Table) registerZone(name string) {
	if _, found := t.zones[name]; !found {
		t.zones[name] = len(t.zones)
	}
}

// balancerEndpoint returns a worker as the balancer's endpoint.
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

// addZones assigns numbers, in the order of names, to the zones that have none.
func (t *Table) addZones(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range names {
		t.registerZone(name)
	}
}

// Endpoint returns the endpoint of a worker as last listed. It panics if the table has no worker with that number.
func (t *Table) Endpoint(number balancer.WorkerID) protocol.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.workers[number].endpoint
}

// IsReadyAt reports whether a new attempt may be sent to a worker at an address: the worker is ready and still listed
// with that address.
func (t *Table) IsReadyAt(number balancer.WorkerID, address string) bool {
	endpoint := t.Endpoint(number)
	return endpoint.State == protocol.Ready && endpoint.Address == address
}

// Tag returns the 16-bit hash that identifies a worker in messages between dispatchers.
func (t *Table) Tag(number balancer.WorkerID) uint16 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.workers[number].tag
}

// WorkerByTag returns the number of the worker with a tag, and whether there is one. If several workers share the tag,
// it returns the number of the worker listed first.
func (t *Table) WorkerByTag(tag uint16) (balancer.WorkerID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	number, found := t.numberByTag[tag]
	return number, found
}

// WorkerByID returns the number of the worker with an ID, and whether the worker was ever listed.
func (t *Table) WorkerByID(id string) (balancer.WorkerID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	number, found := t.numberByID[id]
	return number, found
}

// FindWorker returns the lowest number of a worker whose endpoint matches, and whether there is one.
func (t *Table) FindWorker(matches func(*protocol.Endpoint) bool) (balancer.WorkerID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	number := slices.IndexFunc(t.workers, func(w worker) bool { return matches(&w.endpoint) })
	return balancer.WorkerID(number), number >= 0
}

// ZoneByName returns the number of a zone, and whether the zone has one.
func (t *Table) ZoneByName(name string) (int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	number, found := t.zones[name]
	return number, found
}

// HasWorkers reports whether the table has a worker that is not gone.
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

// Contents returns a copy of the table's data.
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
