// Package discovery follows the discovery service, which lists the workers.
//
// A Watcher holds one watch on the service open and applies each of its lines to the endpoint Table. It reports each
// change to the balancer, to the pool of connections to workers and to an Observer. The balancer decides when to poll
// again after a watch has ended. The package sends nothing to workers and chooses none.
package discovery

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// Observer is notified of the state of discovery.
type Observer interface {
	// EndpointsReceived is called after each list or change to it.
	EndpointsReceived()
	// EndpointsUnavailable is called after each poll or watch that failed.
	EndpointsUnavailable()
}

// Config configures a Watcher.
type Config struct {
	Address     string               // host and port of the discovery service
	DialTimeout func() time.Duration // returns the timeout in force for dialing a worker
	Observer    Observer             // nil where nobody is to be notified
}

// Counters count what happened since the start.
type Counters struct {
	Lists       atomic.Int64 // lists and changes received
	WatchesLost atomic.Int64 // polls and watches that failed
}

// Watcher watches the discovery service. Run polls and follows watches on one goroutine; the other methods may be
// called from any.
type Watcher struct {
	Counters Counters

	config   Config
	table    *Table
	balancer *balancer.Shards
	pool     *transport.Pool
	log      zerolog.Logger
	answered atomic.Bool // the first poll was answered, has failed, or is not waited for

	// mu guards address and stop. It is also held while the end of a watch or a change of the address is reported to
	// the balancer, so that neither report overtakes the other.
	mu      sync.Mutex
	address string                  // of the discovery service
	stop    context.CancelCauseFunc // ends the poll or watch under way; nil while there is none

	hooks testHooks
}

// testHooks are set by tests to run between two steps.
type testHooks struct {
	beforeUpdate func() // the table and the pool know a list, the balancer does not
	beforeReport func() // a watch has ended and is not reported
}

// NewWatcher returns a Watcher that fills table.
func NewWatcher(c Config, table *Table, b *balancer.Shards, pool *transport.Pool, log zerolog.Logger) *Watcher {
	return &Watcher{config: c, table: table, balancer: b, pool: pool, log: log, address: c.Address}
}

// SetAddress changes the address of the discovery service. A watch at the previous address ends, and the new one is
// polled at once. The table keeps its workers.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.address == address {
		return
	}
	w.address = address
	if w.stop != nil {
		w.stop(errAddressChanged)
		return
	}
	w.balancer.ReportDiscoveryAddressChanged()
}

// FirstPollOver reports whether the first poll is over: it was answered, has failed, or has taken longer than
// maxFirstPollWait in a process that already has a list.
func (w *Watcher) FirstPollOver() bool { return w.answered.Load() }

// Seed applies a complete list that is known before the first poll. zones are the names of its zones by their numbers,
// nil where the numbers may be new.
func (w *Watcher) Seed(list *protocol.EndpointList, zones []string) {
	w.table.addZones(zones)
	endpoints, _ := w.table.Update(list)
	w.balancer.UpdateEndpoints(endpoints, balancer.AllEndpoints, balancer.NotFromDiscovery)
}

// DontAwaitFirstPoll makes FirstPollOver report whether any worker is listed. The first poll is made all the same.
func (w *Watcher) DontAwaitFirstPoll() { w.answered.Store(w.table.HasWorkers()) }

// Merge applies later starts and drains of workers that peers have learned. The version of the list stays.
func (w *Watcher) Merge(endpoints []protocol.Endpoint) {
	list := protocol.EndpointList{Version: w.table.Version(), Endpoints: endpoints}
	updated, outdated := w.table.Update(&list)
	w.balancer.UpdateEndpoints(updated, balancer.ChangedEndpoints, balancer.NotFromDiscovery)
	w.closeOutdated(outdated)
}

// Apply applies a list, or a change to it, from the discovery service. The pool is updated before the balancer: the
// balancer sends to newly listed workers at once, which must not use a connection to the process before.
func (w *Watcher) Apply(list protocol.EndpointList) {
	w.Counters.Lists.Add(1)
	endpoints, outdated := w.table.Update(&list)
	w.closeOutdated(outdated)
	if w.hooks.beforeUpdate != nil {
		w.hooks.beforeUpdate()
	}
	w.balancer.UpdateEndpoints(endpoints, extentOf(list), balancer.FromDiscovery)
	w.answered.Store(true)
	if w.config.Observer != nil {
		w.config.Observer.EndpointsReceived()
	}
}

// extentOf returns whether a list names all workers or only those that have changed.
func extentOf(list protocol.EndpointList) balancer.ListExtent {
	if list.Complete {
		return balancer.AllEndpoints
	}
	return balancer.ChangedEndpoints
}

// closeOutdated closes the idle connections to outdated addresses. Where another process listens there now, it also
// closes those in use that were opened to the previous one.
func (w *Watcher) closeOutdated(outdated []OutdatedAddress) {
	for _, previous := range outdated {
		w.pool.CloseIdle(previous.Address)
		if !previous.StartedAt.IsZero() {
			w.pool.CloseOpenedBefore(previous.Address, previous.StartedAt)
		}
	}
}

// Run polls whenever the balancer decides so, and reports the end of each watch, until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for w.balancer.AwaitPoll(ctx) == nil {
		w.poll(ctx)
		if ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// poll opens a watch, follows it to its end, and reports the end to the balancer and the observer.
func (w *Watcher) poll(ctx context.Context) {
	watching, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	slowPoll := time.AfterFunc(maxFirstPollWait, w.giveUpFirstPoll)
	opened, err := w.watch(watching, stop)
	slowPoll.Stop()
	addressChanged := w.reportEnd(watching, watchEnd(opened, err))
	switch {
	case ctx.Err() != nil:
		return
	case addressChanged:
		w.log.Info().Msg("endpoint watch moved")
		return
	}
	w.Counters.WatchesLost.Add(1)
	w.log.Warn().Err(err).Msg("endpoint watch lost")
	w.answered.Store(true)
	if w.config.Observer != nil {
		w.config.Observer.EndpointsUnavailable()
	}
}

// giveUpFirstPoll ends the wait for the first poll in a process that has a list from before its start. A service that
// is down or overloaded may answer late or never. Later polls are not affected.
func (w *Watcher) giveUpFirstPoll() {
	if !w.answered.Load() && w.table.HasWorkers() {
		w.balancer.ReportFirstPollSlow()
		w.answered.Store(true)
	}
}

// reportEnd reports the end of a watch to the balancer, or that the address has changed, which it returns. Both the
// test and the report are done under mu. A change between the two would otherwise wait until another poll of the
// previous address has ended.
func (w *Watcher) reportEnd(watching context.Context, end balancer.WatchEnd) (addressChanged bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop = nil
	if w.hooks.beforeReport != nil {
		w.hooks.beforeReport()
	}
	addressChanged = errors.Is(context.Cause(watching), errAddressChanged)
	if addressChanged {
		w.balancer.ReportDiscoveryAddressChanged()
	} else {
		w.balancer.ReportWatchEnded(end)
	}
	return addressChanged
}
