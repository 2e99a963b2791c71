// Package discovery follows the discovery service, which lists the workers.
//
// A Watcher holds one watch on the service open, parses its lines into the endpoint Table, and reports each change to
// the balancer, to the pool of connections to workers and to an Observer. When to poll again after a watch has ended is
// up to the balancer. The package sends nothing to workers and chooses none.
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

// slowAfter is how long the first poll may take before a process that has a list of workers serves by that one.
const slowAfter = 700 * time.Millisecond

var (
	errMoved      = errors.New("discovery: address changed")
	errWatchEnded = errors.New("discovery: watch has ended")
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
	DialTimeout func() time.Duration // the dial timeout in force, of connections to workers
	Observer    Observer             // may be nil
}

// Counters count what happened since the start.
type Counters struct {
	Lists       atomic.Int64 // lists and changes received
	WatchesLost atomic.Int64 // polls and watches that failed
}

// Watcher watches the discovery service.
type Watcher struct {
	Counters Counters

	config   Config
	table    *Table
	balancer *balancer.Shards
	pool     *transport.Pool
	log      zerolog.Logger
	answered atomic.Bool // the first poll was answered, has failed, or is not waited for

	mu      sync.Mutex // held while the end of a watch is reported, so that no change of the address is lost
	address string
	stop    context.CancelCauseFunc // ends the watch; nil while there is none

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

// SetAddress changes the address of the discovery service. A watch at the previous address ends and the new one is
// polled at once; the workers that are known stay.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.address == address {
		return
	}
	w.address = address
	if w.stop != nil {
		w.stop(errMoved)
		return
	}
	w.balancer.ReportDiscoveryMoved()
}

// Answered reports whether the first poll is over: it was answered, or failed, or was too slow in a process that
// already had a list.
func (w *Watcher) Answered() bool { return w.answered.Load() }

// Seed applies a complete list that is known before the first poll. It may name zones by their numbers.
func (w *Watcher) Seed(list *protocol.EndpointList, zones []string) {
	w.table.addZones(zones)
	endpoints, _ := w.table.Update(list)
	w.balancer.UpdateEndpoints(endpoints, balancer.AllEndpoints, balancer.FromBeforeStart)
}

// SkipFirstPoll counts the first poll as answered if any worker is listed.
func (w *Watcher) SkipFirstPoll() { w.answered.Store(w.table.HasWorkers()) }

// Merge applies what peers know of workers: later starts, and drains. The version of the list stays.
func (w *Watcher) Merge(endpoints []protocol.Endpoint) {
	list := protocol.EndpointList{Version: w.table.Version(), Endpoints: endpoints}
	updated, outdated := w.table.Update(&list)
	w.balancer.UpdateEndpoints(updated, balancer.ChangedEndpoints, balancer.FromBeforeStart)
	w.closeOutdated(outdated)
}

// extentOf is whether a list names all workers or only those that have changed.
func extentOf(list protocol.EndpointList) balancer.ListExtent {
	if list.Complete {
		return balancer.AllEndpoints
	}
	return balancer.ChangedEndpoints
}

// Apply applies a list, or a change to it, from the discovery service.
func (w *Watcher) Apply(list protocol.EndpointList) {
	w.Counters.Lists.Add(1)
	endpoints, outdated := w.table.Update(&list)
	// Before the balancer, which sends to newly listed workers at once: that must not use a connection to the process
	// before.
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

func (w *Watcher) closeOutdated(outdated []OutdatedAddress) {
	for _, o := range outdated {
		w.pool.CloseIdle(o.Address)
		if !o.StartedAt.IsZero() {
			w.pool.CloseOpenedBefore(o.Address, o.StartedAt)
		}
	}
}

// Run polls whenever the balancer asks for it, and reports the end of each watch, until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for w.balancer.AwaitPoll(ctx) == nil {
		w.poll(ctx)
		if ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// poll opens a watch, follows it to its end and reports that.
func (w *Watcher) poll(ctx context.Context) {
	watching, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	// A service that is down or overloaded answers the first poll late or never: a process that has a list from before
	// must not wait for that.
	slow := time.AfterFunc(slowAfter, func() {
		if !w.answered.Load() && w.table.HasWorkers() {
			w.balancer.ReportFirstPollSlow()
			w.answered.Store(true)
		}
	})
	opened, err := w.watch(watching, stop)
	slow.Stop()
	moved := w.reportEnd(watching, watchEnd(opened, err))
	switch {
	case ctx.Err() != nil:
		return
	case moved:
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

// watchEnd classifies the end of a watch for the balancer, which polls again by it.
func watchEnd(opened bool, err error) balancer.WatchEnd {
	var refused *statusError
	switch {
	case errors.As(err, &refused) && refused.overloaded:
		return balancer.WatchRejected
	case !opened:
		return balancer.WatchFailed
	case transport.CloseReasonOf(err) == transport.TooSlow:
		return balancer.WatchSilent
	}
	return balancer.WatchCut
}

// reportEnd reports the end of a watch to the balancer. Under the lock it also tests whether the address has changed: a
// change between the two would wait for as long as another poll of the previous address.
func (w *Watcher) reportEnd(watching context.Context, end balancer.WatchEnd) (moved bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop = nil
	if w.hooks.beforeReport != nil {
		w.hooks.beforeReport()
	}
	moved = errors.Is(context.Cause(watching), errMoved)
	if moved {
		w.balancer.ReportDiscoveryMoved()
	} else {
		w.balancer.ReportWatchEnded(end)
	}
	return moved
}
