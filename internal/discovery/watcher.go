// Package discovery receives the list of workers from the discovery service.
//
// A Watcher keeps one watch of the service open and applies each of its lines to the endpoint Table. It reports each
// change to the balancer, to the pool of connections to workers and to an Observer. The balancer decides when to poll
// again after a watch has ended. The package neither sends requests to workers nor selects workers.
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

// Observer is notified when the endpoint list is updated and when the discovery service is unavailable.
type Observer interface {
	// EndpointsReceived is called after each complete list or list of changes has been applied.
	EndpointsReceived()
	// EndpointsUnavailable is called after each failed poll or watch.
	EndpointsUnavailable()
}

// Config configures a Watcher.
type Config struct {
	Address     string               // host and port of the discovery service
	DialTimeout func() time.Duration // returns the current timeout for dialing a worker
	Observer    Observer             // optional

	// Pushed means that the service pushes lists, so that what it has counts from the first moment of a new process. A
	// list from before the start is then not used before the first poll has ended.
	Pushed bool
}

// Counters count events since the process started.
type Counters struct {
	Lists       atomic.Int64 // complete lists and lists of changes received
	WatchesLost atomic.Int64 // failed polls and watches
}

// Watcher watches the discovery service. Run polls and reads watches on a single goroutine. The other methods are safe
// for concurrent use.
type Watcher struct {
	Counters Counters

	config             Config
	table              *Table
	balancer           *balancer.Shards
	pool               *transport.Pool
	log                zerolog.Logger
	firstPollWaitEnded atomic.Bool // the first poll was answered, failed, or is no longer waited for

	// mu guards address and cancelWatch. It is also held while the end of a watch or a change of the address is
	// reported to the balancer, so that the reports stay in order.
	mu          sync.Mutex
	address     string                  // of the discovery service
	cancelWatch context.CancelCauseFunc // cancels the current poll or watch; nil if there is none

	hooks testHooks
}

// testHooks are functions that tests set to run code between two steps. Each may be nil.
type testHooks struct {
	beforeUpdate func() // runs after a list is applied to the table and the pool, before the balancer is updated
	beforeReport func() // runs after a watch has ended, before its end is reported
}

// NewWatcher returns a Watcher that applies endpoint lists to table.
func NewWatcher(c Config, table *Table, b *balancer.Shards, pool *transport.Pool, log zerolog.Logger) *Watcher {
	return &Watcher{config: c, table: table, balancer: b, pool: pool, log: log, address: c.Address}
}

// SetAddress changes the address of the discovery service. It cancels a poll or watch of the previous address, and the
// new address is polled immediately. The table keeps its workers.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.address == address {
		return
	}
	w.address = address
	if w.cancelWatch != nil {
		w.cancelWatch(errAddressChanged)
		return
	}
	w.balancer.ReportDiscoveryAddressChanged()
}

// FirstPollWaitEnded reports whether the wait for the first poll is over: the poll was answered, failed, or took longer
// than maxFirstPollWait in a process that already has a list, unless lists are pushed.
func (w *Watcher) FirstPollWaitEnded() bool { return w.firstPollWaitEnded.Load() }

// ApplyInitialList applies a complete list that was obtained before the first poll. zones are the names of its zones in
// the order of their numbers, or nil if the zones may be numbered anew.
func (w *Watcher) ApplyInitialList(list *protocol.EndpointList, zones []string) {
	w.table.addZones(zones)
	endpoints, _ := w.table.Update(list)
	w.balancer.UpdateEndpoints(endpoints, balancer.AllEndpoints, balancer.NotFromDiscovery)
}

// SkipFirstPollWait makes FirstPollWaitEnded report whether any worker is listed. The first poll is sent regardless.
func (w *Watcher) SkipFirstPollWait() { w.firstPollWaitEnded.Store(w.table.HasWorkers()) }

// MergePeerEndpoints applies more recent starts and drains of workers reported by peers. The version of the list is
// unchanged.
func (w *Watcher) MergePeerEndpoints(endpoints []protocol.Endpoint) {
	list := protocol.EndpointList{Version: w.table.Version(), Endpoints: endpoints}
	updated, outdated := w.table.Update(&list)
	w.balancer.UpdateEndpoints(updated, balancer.ChangedEndpoints, balancer.NotFromDiscovery)
	w.closeOutdatedConnections(outdated)
}

// Apply applies a complete list or a list of changes from the discovery service. The pool is updated before the
// balancer, because the balancer sends requests to newly listed workers immediately, and these requests must not use a
// connection to a worker's previous process.
func (w *Watcher) Apply(list protocol.EndpointList) {
	w.Counters.Lists.Add(1)
	endpoints, outdated := w.table.Update(&list)
	w.closeOutdatedConnections(outdated)
	if w.hooks.beforeUpdate != nil {
		w.hooks.beforeUpdate()
	}
	w.balancer.UpdateEndpoints(endpoints, listExtent(list), balancer.FromDiscovery)
	w.firstPollWaitEnded.Store(true)
	if w.config.Observer != nil {
		w.config.Observer.EndpointsReceived()
	}
}

// listExtent returns whether a list contains all workers or only the changed ones.
func listExtent(list protocol.EndpointList) balancer.ListExtent {
	if list.Complete {
		return balancer.AllEndpoints
	}
	return balancer.ChangedEndpoints
}

// closeOutdatedConnections closes the idle connections to outdated addresses. If another process now listens at an
// address, it also closes the connections in use that were opened to the previous process.
func (w *Watcher) closeOutdatedConnections(outdated []OutdatedAddress) {
	for _, previous := range outdated {
		w.pool.Invalidate(previous.Address)
		if !previous.StartedAt.IsZero() {
			w.pool.InterruptOpenedBefore(previous.Address, previous.StartedAt)
		}
	}
}

// Run polls when the balancer schedules a poll, and reports the end of each watch, until ctx is canceled. It returns
// nil.
func (w *Watcher) Run(ctx context.Context) error {
	for w.balancer.AwaitPoll(ctx) == nil {
		w.poll(ctx)
		if ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// poll opens a watch, reads it until it ends, and reports its end to the balancer. If the poll or watch has failed,
// poll also notifies the observer.
func (w *Watcher) poll(ctx context.Context) {
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !w.config.Pushed {
		defer time.AfterFunc(maxFirstPollWait, w.endFirstPollWait).Stop()
	}
	opened, err := w.watch(watchCtx, cancel)
	addressChanged := w.reportWatchEnd(watchCtx, classifyPollEnd(opened, err))
	switch {
	case ctx.Err() != nil:
		return
	case addressChanged:
		w.log.Info().Msg("endpoint watch moved")
		return
	}
	w.Counters.WatchesLost.Add(1)
	w.log.Warn().Err(err).Msg("endpoint watch lost")
	w.firstPollWaitEnded.Store(true)
	if w.config.Observer != nil {
		w.config.Observer.EndpointsUnavailable()
	}
}

// endFirstPollWait ends the wait for the first poll in a process that has a list from before its start, because a
// service that is down or overloaded may respond late or never. Later polls are not affected.
func (w *Watcher) endFirstPollWait() {
	if !w.firstPollWaitEnded.Load() && w.table.HasWorkers() {
		w.balancer.ReportFirstPollSlow()
		w.firstPollWaitEnded.Store(true)
	}
}

// reportWatchEnd reports to the balancer that the address has changed or, otherwise, that the watch has ended. It
// returns whether the address has changed. mu is held during both the check and the report: a change between them would
// otherwise take effect only after another poll of the previous address.
func (w *Watcher) reportWatchEnd(watchCtx context.Context, end balancer.WatchEnd) (addressChanged bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelWatch = nil
	if w.hooks.beforeReport != nil {
		w.hooks.beforeReport()
	}
	addressChanged = errors.Is(context.Cause(watchCtx), errAddressChanged)
	if addressChanged {
		w.balancer.ReportDiscoveryAddressChanged()
	} else {
		w.balancer.ReportWatchEnded(end)
	}
	return addressChanged
}
