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

// maxStartAttempts is how often the start of all dispatchers is tried, as a port may be taken in between.
const maxStartAttempts = 3

// environment is everything but the load: the stand-ins and the dispatchers' processes.
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

	listenAddrs []netip.AddrPort // by dispatcher
	background  *errgroup.Group  // stand-ins that run to the end
	stop        context.CancelFunc
	actions     sync.WaitGroup // actions of faults that are still running

	mu                   sync.Mutex
	processes            []*process // the serving one of each dispatcher; an upgrade replaces it
	servers              []*worker.Server
	speedFactors         []map[int]float64     // by worker, then by fault
	downSince            map[int]time.Duration // by dispatcher
	endpointsAtPowerLoss map[int][]byte        // by dispatcher: the list that it restarts with after a loss of power
	drainedByOperator    map[int]bool          // dispatchers whose last command was LEAVE, not JOIN
	failures             []string
}

// clock returns the time since the start of the experiment.
func (env *environment) clock() time.Duration {
	return time.Duration(time.Now().UnixNano() - env.startedAtNanos.Load())
}

// openEnvironment starts the stand-ins and the dispatchers. The environment has to be closed, also after an error.
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
	running, cancel := context.WithCancel(context.Background())
	env.background, running = errgroup.WithContext(running)
	env.stop = cancel
	if err := env.startStandIns(running); err != nil {
		return env, err
	}
	err := errors.New("never tried")
	for range maxStartAttempts {
		if err = env.startDispatchers(ctx, running); !errors.Is(err, errNotReady) {
			break
		}
		env.endProcesses(time.Second)
	}
	if err == nil {
		env.startedAtNanos.Store(time.Now().UnixNano())
		if env.links != nil {
			env.background.Go(func() error { return env.copyDisks(running) })
		}
	}
	return env, err
}

// startStandIns starts the discovery service and the workers, all of which are warm.
func (env *environment) startStandIns(ctx context.Context) (err error) {
	fleet := &env.plan.Fleet
	env.fleet = worker.NewFleet(env.plan.workerConfig(), env.plan.deduplications(), env.history, env.clock, env.workerOverloaded)
	env.catalog = discoveryserver.NewCatalog(fleet.ListLag.Std())
	env.discovery, err = discoveryserver.New(env.catalog, env.plan.Dispatchers.Count, env.clock, env.endpointNotified)
	if err != nil {
		return err
	}
	for _, place := range env.plan.placeWorkers() {
		if err := env.addWorker(place, (*worker.Server).StartWarm); err != nil {
			return err
		}
	}
	env.catalog.ShowAll()
	env.background.Go(func() error { return env.discovery.Run(ctx) })
	return nil
}

// workerConfig returns what all workers have in common.
func (p *Plan) workerConfig() worker.Config {
	fleet := &p.Fleet
	return worker.Config{
		Warmup:      p.warmup(),
		IdleTimeout: fleet.Idle.Std(),
		StartNotes:  fleet.StartNotes,
		Progress:    fleet.Progress,
		Probes:      fleet.Probes,
		Instant:     fleet.Instant,
	}
}

// warmup returns how workers behave after their start.
func (p *Plan) warmup() worker.Warmup {
	fleet := &p.Fleet
	return worker.Warmup{
		InitialShare:     fleet.InitialShare,
		Duration:         fleet.WarmupDuration.Std(),
		OverloadMultiple: fleet.OverloadMultiple,
		OverloadSpan:     fleet.OverloadSpan.Std(),
	}
}

// deduplications returns how workers deduplicate each operation.
func (p *Plan) deduplications() (all []worker.DedupConfig) {
	for _, operation := range p.Operations {
		deduplication := worker.DedupConfig{Window: operation.DedupWindow.Std()}
		if operation.Idempotency == workload.IdempotentByKey {
			deduplication.Scope = dedupScope(operation)
		}
		all = append(all, deduplication)
	}
	return all
}

// addWorker adds a worker, starts it with the method given and lists it.
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
	env.publish(n, discoveryserver.Ready)
	return nil
}

// publish updates a worker in the list. One that started warm is listed without a start time.
func (env *environment) publish(n int, state discoveryserver.State) {
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

// endpointNotified records that an entry of the list has been written to a dispatcher.
func (env *environment) endpointNotified(dispatcher int, entry discoveryserver.Entry) {
	env.history.NotificationSent(history.Notification{
		Dispatcher: dispatcher,
		Worker:     entry.Worker,
		Ready:      entry.State == discoveryserver.Ready,
		At:         env.clock(),
	})
}

// workerOverloaded lists an overloaded worker as gone. It stays down.
func (env *environment) workerOverloaded(n int) { env.publish(n, discoveryserver.Gone) }

// recordFailure records an error of a process or a stand-in for the result; nil is none.
func (env *environment) recordFailure(err error) {
	if err == nil {
		return
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.failures = append(env.failures, err.Error())
}

// close ends all actions, processes and stand-ins.
func (env *environment) close() error {
	env.actions.Wait()
	env.mu.Lock()
	for n := range env.downSince {
		env.history.AddOutage(history.Outage{Dispatcher: n, Start: env.downSince[n], End: forever})
	}
	env.mu.Unlock()
	env.compareCounters()
	env.endProcesses(stopTimeout)
	env.stop()
	err := env.background.Wait()
	if env.fleet != nil {
		env.fleet.Close()
	}
	if errors.Is(err, os.ErrClosed) {
		err = nil
	}
	return err
}
