package experiment

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"canvasroute/internal/testbed/discoveryserver"
	"canvasroute/internal/testbed/history"
	"canvasroute/internal/testbed/loadgen"
	"canvasroute/internal/testbed/network"
	"canvasroute/internal/testbed/worker"
	"canvasroute/internal/testbed/workload"
)

// maxStartAttempts limits the attempts to start all dispatchers. A start can fail because another process has bound an
// assigned port meanwhile.
const maxStartAttempts = 3

// environment holds everything in a run except the load: the simulated platform and the dispatcher processes.
type environment struct {
	plan              *Plan
	seed              uint64
	folder            string
	dispatcherCommand []string
	startedAtNanos    atomic.Int64 // Unix time of the start of the experiment, in nanoseconds

	history   *history.Log
	discovery *discoveryserver.Server
	catalog   *discoveryserver.Catalog
	fleet     *worker.Fleet
	peers     *network.Network // nil if peers are off
	links     *network.Network // nil if dispatchers persist no state
	frontTier *loadgen.FrontTier

	listenAddrs    []netip.AddrPort // by dispatcher
	background     *errgroup.Group  // goroutines of the simulated platform, which run until stopBackground
	stopBackground context.CancelFunc
	actions        sync.WaitGroup // running actions of the timeline

	mu                   sync.Mutex
	processes            []*process // serving process of each dispatcher; an upgrade replaces it
	servers              []*worker.Server
	speedFactors         []map[int]float64     // by worker and fault
	downSince            map[int]time.Duration // by dispatcher
	endpointsAtPowerLoss map[int][]byte        // endpoint list for the restart after a power loss, by dispatcher
	drainedByOperator    map[int]bool          // whether the last command was LEAVE, not JOIN, by dispatcher
	failures             []string
}

// clock returns the time since the start of the experiment.
func (env *environment) clock() time.Duration {
	return time.Duration(time.Now().UnixNano() - env.startedAtNanos.Load())
}

// openEnvironment starts the simulated platform and the dispatchers. The caller must close the environment, also after
// an error.
func openEnvironment(ctx context.Context, p *Plan, seed uint64, folder string, command []string) (*environment, error) {
	env := &environment{
		plan:                 p,
		seed:                 seed,
		folder:               folder,
		dispatcherCommand:    command,
		history:              history.New(),
		downSince:            map[int]time.Duration{},
		endpointsAtPowerLoss: map[int][]byte{},
		drainedByOperator:    map[int]bool{},
	}
	env.startedAtNanos.Store(time.Now().UnixNano())
	backgroundCtx, cancel := context.WithCancel(context.Background())
	env.background, backgroundCtx = errgroup.WithContext(backgroundCtx)
	env.stopBackground = cancel
	if err := env.startPlatform(backgroundCtx); err != nil {
		return env, err
	}
	err := errors.New("no attempt was made to start the dispatchers")
	for range maxStartAttempts {
		if err = env.startDispatchers(ctx, backgroundCtx); !errors.Is(err, errNotReady) {
			break
		}
		env.stopProcesses(time.Second)
	}
	if err == nil {
		env.startedAtNanos.Store(time.Now().UnixNano())
		if env.links != nil {
			env.background.Go(func() error { return env.copyDisks(backgroundCtx) })
		}
	}
	return env, err
}

// startPlatform starts the simulated discovery service and workers. All workers start warm.
func (env *environment) startPlatform(ctx context.Context) (err error) {
	fleet := &env.plan.Fleet
	env.fleet = worker.NewFleet(env.plan.workerConfig(), env.plan.dedupConfigs(), env.history, env.clock, env.publishOverloadedWorker)
	env.catalog = discoveryserver.NewCatalog(fleet.ListLag.Std())
	env.discovery, err = discoveryserver.New(env.catalog, env.plan.Dispatchers.Count, env.clock, env.recordEndpointNotification)
	if err != nil {
		return err
	}
	for _, place := range env.plan.placeWorkers() {
		if err := env.addWorker(place, (*worker.Server).StartWarm); err != nil {
			return err
		}
	}
	env.catalog.MakeAllVisible()
	env.background.Go(func() error { return env.discovery.Run(ctx) })
	return nil
}

// workerConfig returns the configuration that all workers share.
func (p *Plan) workerConfig() worker.Config {
	fleet := &p.Fleet
	return worker.Config{
		Warmup:      p.warmup(),
		IdleTimeout: fleet.ConnIdleTimeout.Std(),
		StartNotes:  fleet.StartNotes,
		Progress:    fleet.Progress,
		Probes:      fleet.Probes,
		Instant:     fleet.Instant,
	}
}

// warmup returns the warm-up behaviour of workers.
func (p *Plan) warmup() worker.Warmup {
	fleet := &p.Fleet
	return worker.Warmup{
		InitialShare:     fleet.InitialShare,
		Duration:         fleet.WarmupDuration.Std(),
		OverloadMultiple: fleet.OverloadMultiple,
		OverloadSpan:     fleet.OverloadSpan.Std(),
	}
}

// dedupConfigs returns the deduplication settings of workers, by operation.
func (p *Plan) dedupConfigs() (all []worker.DedupConfig) {
	for _, operation := range p.Operations {
		config := worker.DedupConfig{Window: operation.DedupWindow.Std()}
		if operation.Idempotency == workload.IdempotentByKey {
			config.Scope = dedupScope(operation)
		}
		all = append(all, config)
	}
	return all
}

// addWorker adds a worker, starts it with the given method and publishes it in the endpoint list.
func (env *environment) addWorker(place workerPlace, start func(*worker.Server) error) error {
	env.mu.Lock()
	n := len(env.servers)
	kind := env.plan.Fleet.Kinds[place.kind]
	server := env.fleet.Add(fmt.Sprintf("w%02d", n), kind, place.zone, place.cell, env.plan.Dispatchers.Count)
	env.servers = append(env.servers, server)
	env.speedFactors = append(env.speedFactors, map[int]float64{})
	env.mu.Unlock()
	if err := start(server); err != nil {
		return err
	}
	env.publishWorker(n, discoveryserver.Ready)
	return nil
}

// publishWorker updates the endpoint list entry of worker n. The entry of a worker that started warm has no start time.
func (env *environment) publishWorker(n int, state discoveryserver.State) {
	server := env.server(n)
	identity := server.Identity()
	entry := discoveryserver.Entry{
		Worker:    n,
		Name:      identity.Name,
		Zone:      env.plan.Fleet.Zones[identity.Zone],
		Kind:      identity.Kind,
		Cell:      identity.Cell,
		Addresses: server.Addresses(),
		State:     state,
	}
	if startedAt := server.StartedAt(); startedAt > 0 {
		entry.StartedAt = time.Unix(0, env.startedAtNanos.Load()).Add(startedAt)
	}
	env.discovery.Update(entry)
}

// server returns worker n.
func (env *environment) server(n int) *worker.Server {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.servers[n]
}

// recordEndpointNotification records that the discovery service has sent an endpoint list entry to a dispatcher.
func (env *environment) recordEndpointNotification(dispatcher int, entry discoveryserver.Entry) {
	env.history.NotificationSent(history.Notification{
		Dispatcher: dispatcher,
		Worker:     entry.Worker,
		Ready:      entry.State == discoveryserver.Ready,
		At:         env.clock(),
	})
}

// publishOverloadedWorker publishes worker n as gone after it has crashed from overload. The worker is not restarted.
func (env *environment) publishOverloadedWorker(n int) { env.publishWorker(n, discoveryserver.Gone) }

// recordFailure adds an error of a process or of the simulated platform to the failures of the result. It ignores nil.
func (env *environment) recordFailure(err error) {
	if err == nil {
		return
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.failures = append(env.failures, err.Error())
}

// close waits for all actions, compares the dispatchers' counters with the history, and stops all processes and the
// simulated platform.
func (env *environment) close() error {
	env.actions.Wait()
	env.mu.Lock()
	for n := range env.downSince {
		env.history.AddOutage(history.Outage{Dispatcher: n, Start: env.downSince[n], End: openOutageEnd})
	}
	env.mu.Unlock()
	env.compareCounters()
	env.stopProcesses(stopTimeout)
	env.stopBackground()
	err := env.background.Wait()
	if env.fleet != nil {
		env.fleet.Close()
	}
	if errors.Is(err, os.ErrClosed) {
		err = nil
	}
	return err
}
