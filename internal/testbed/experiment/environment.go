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
	"canvasroute/internal/testbed/fault"
	"canvasroute/internal/testbed/history"
	"canvasroute/internal/testbed/loadgen"
	"canvasroute/internal/testbed/network"
	"canvasroute/internal/testbed/worker"
	"canvasroute/internal/testbed/workload"
)

// Bounds on starts and ends.
const (
	readyTimeout     = 15 * time.Second
	stopTimeout      = 6 * time.Second
	removalDelay     = 300 * time.Millisecond // at a planned restart connections go on coming for a while
	restartDelay     = 100 * time.Millisecond // from its end to its next start
	maxStartAttempts = 3
)

// environment is everything round the load: the stand-ins and the dispatchers' processes.
type environment struct {
	plan              *Plan
	seed              uint64
	folder            string
	dispatcherCommand []string
	startedAtNanos    atomic.Int64 // Unix time in nanoseconds at which the experiment's time begins

	history   *history.Log
	discovery *discoveryserver.Server
	catalog   *discoveryserver.Catalog
	fleet     *worker.Fleet
	peers     *network.Network
	links     *network.Network // between dispatchers that have a state, nil where they have none
	frontTier *loadgen.FrontTier

	listenAddrs []netip.AddrPort
	processes   []*process
	background  *errgroup.Group // what lasts to the end
	stop        context.CancelFunc
	actions     sync.WaitGroup // what follows from troubles

	mu                   sync.Mutex
	servers              []*worker.Server
	speedFactors         []map[int]float64 // by worker, then by trouble
	downSince            map[int]time.Duration
	endpointsAtPowerLoss map[int][]byte // by dispatcher: the list as it was when power failed there, for its next start
	drainedByOperator    map[int]bool   // dispatchers whose operator's last word was LEAVE
	failures             []string
}

// clock is the time since the experiment's start.
func (w *environment) clock() time.Duration {
	return time.Duration(time.Now().UnixNano() - w.startedAtNanos.Load())
}

// openEnvironment builds the stand-ins and starts the dispatchers. It has to be closed, also after an error.
func openEnvironment(ctx context.Context, p *Plan, seed uint64, folder string, command []string) (*environment, error) {
	w := &environment{
		plan: p, seed: seed, folder: folder, dispatcherCommand: command, history: history.New(),
		downSince: map[int]time.Duration{}, endpointsAtPowerLoss: map[int][]byte{}, drainedByOperator: map[int]bool{},
	}
	w.startedAtNanos.Store(time.Now().UnixNano())
	running, cancel := context.WithCancel(context.Background())
	w.background, running = errgroup.WithContext(running)
	w.stop = cancel
	if err := w.startStandIns(running); err != nil {
		return w, err
	}
	err := errors.New("never tried")
	for range maxStartAttempts {
		if err = w.startDispatchers(ctx, running); !errors.Is(err, errNotReady) {
			break
		}
		w.endProcesses(time.Second)
	}
	if err == nil {
		w.startedAtNanos.Store(time.Now().UnixNano())
		if w.links != nil {
			w.background.Go(func() error { return w.copyDisks(running) })
		}
	}
	return w, err
}

func (w *environment) startStandIns(ctx context.Context) (err error) {
	p := w.plan
	var drops []worker.Deduplication
	for _, o := range p.Operations {
		d := worker.Deduplication{Window: o.DedupWindow.Std()}
		if o.Idempotency == workload.IdempotentByKey {
			d.Scope = dedupScope(o)
		}
		drops = append(drops, d)
	}
	f := p.Fleet
	w.fleet = worker.NewFleet(worker.Config{
		IdleTimeout: f.Idle.Std(), StartNotes: f.StartNotes, Progress: f.Progress,
		Probes: f.Probes, Instant: f.Instant, Warmup: worker.Warmup{
			InitialShare: f.InitialShare, Duration: f.WarmupDuration.Std(),
			OverloadMultiple: f.OverloadMultiple,
			OverloadSpan:     f.OverloadSpan.Std(),
		},
	}, drops, w.history, w.clock, w.workerOverloaded)
	w.catalog = discoveryserver.NewCatalog(f.ListLag.Std())
	if w.discovery, err = discoveryserver.New(w.catalog, p.Dispatchers.Count, w.clock, w.endpointNotified); err != nil {
		return err
	}
	kinds, zones, cells := p.placeWorkers()
	for n := range kinds {
		if err := w.addWorker(f.Kinds[kinds[n]], zones[n], cells[n], true); err != nil {
			return err
		}
	}
	w.catalog.ShowAll()
	w.background.Go(func() error { return w.discovery.Run(ctx) })
	return nil
}

// addWorker makes one more worker, starts it and lists it.
func (w *environment) addWorker(k worker.Kind, zone, cell int, warm bool) error {
	w.mu.Lock()
	n := len(w.servers)
	s := w.fleet.Add(fmt.Sprintf("w%02d", n), k, zone, cell, w.plan.Dispatchers.Count)
	w.servers, w.speedFactors = append(w.servers, s), append(w.speedFactors, map[int]float64{})
	w.mu.Unlock()
	if err := s.Start(warm); err != nil {
		return err
	}
	w.publish(n, discoveryserver.Ready, warm)
	return nil
}

// publish tells the list service what a worker is now.
func (w *environment) publish(n int, state discoveryserver.State, longAgo bool) {
	s := w.server(n)
	name, kind, zone, cell := s.Location()
	e := discoveryserver.Entry{
		Worker: n, Name: name, Zone: w.plan.Fleet.Zones[zone], Kind: kind, Cell: cell,
		Addresses: s.Addresses(), State: state,
	}
	if born := s.StartedAt(); !longAgo && born > 0 {
		e.StartedAt = time.Unix(0, w.startedAtNanos.Load()).Add(born)
	}
	w.discovery.Update(e)
}

func (w *environment) server(n int) *worker.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[n]
}

func (w *environment) endpointNotified(dispatcher int, e discoveryserver.Entry) {
	w.history.WorkerListed(history.Notification{
		Dispatcher: dispatcher, Worker: e.Worker, Ready: e.State == discoveryserver.Ready,
		At: w.clock(),
	})
}

// workerOverloaded lists a worker that was pushed over as gone; it stays down.
func (w *environment) workerOverloaded(n int) { w.publish(n, discoveryserver.Gone, false) }

var errNotReady = errors.New("did not become ready")

// startDispatchers starts all dispatchers on free ports, and waits until all are ready.
func (w *environment) startDispatchers(ctx, running context.Context) error {
	count := w.plan.Dispatchers.Count
	w.listenAddrs, w.processes = nil, nil
	var own, linked []netip.AddrPort
	for n := range count {
		var ports [4]netip.AddrPort
		for k := range ports {
			var err error
			if ports[k], err = freePort(); err != nil {
				return err
			}
		}
		w.listenAddrs, own, linked = append(w.listenAddrs, ports[0]), append(own, ports[1]), append(linked, ports[2])
		p, err := newProcess(dispatcherName(n), w.folder, w.dispatcherCommand)
		if err != nil {
			return err
		}
		p.operatorsAddr = ports[3].String()
		w.processes = append(w.processes, p)
	}
	d := &w.plan.Dispatchers
	if d.Peers && count > 1 {
		peers, err := network.New(own, w.peerConditions(), network.PlatformDatagramBytes, w.seed)
		if err != nil {
			return err
		}
		w.peers = peers // a start that is tried again makes others, while these go on
		w.background.Go(func() error { return peers.Run(running) })
	}
	if d.Recovery {
		if err := w.startLink(running, linked); err != nil {
			return err
		}
	}
	var addresses []string
	for n := range count {
		addresses = append(addresses, w.listenAddrs[n].String())
		if err := w.launchDispatcher(n); err != nil {
			return err
		}
	}
	front := loadgen.NewFrontTier(addresses, d.FailureTimeout.Std())
	w.frontTier = front
	w.background.Go(func() error { return front.Run(running) })
	return w.awaitReady(ctx)
}

func (w *environment) peerConditions() network.Conditions {
	d := &w.plan.Dispatchers
	return network.Conditions{Loss: d.PeerLoss, Delay: d.PeerDelay.Std(), Jitter: d.PeerJitter.Std()}
}

// launchDispatcher starts one dispatcher's process: it has been told nothing yet.
func (w *environment) launchDispatcher(n int) error {
	p := w.process(n)
	config, err := w.dispatcherConfig(n, p.operatorsAddr, w.plan.Dispatchers.MaxAttempts)
	if err != nil {
		return err
	}
	w.mu.Lock()
	workers := len(w.servers)
	w.mu.Unlock()
	for k := range workers {
		w.history.WorkerListed(history.Notification{Dispatcher: n, Worker: k, Ready: true, At: w.clock()})
	}
	return p.start(config)
}

// dispatcherConfig is what a dispatcher's process is told at its start, or at SIGHUP.
func (w *environment) dispatcherConfig(n int, mgmt string, maxAttempts int) ([]byte, error) {
	var peers []netip.AddrPort
	if w.peers != nil {
		peers = w.peers.View(n)
	}
	plan := *w.plan
	plan.Dispatchers.MaxAttempts = maxAttempts
	w.mu.Lock()
	endpoints := w.endpointsAtPowerLoss[n]
	w.mu.Unlock()
	if endpoints == nil {
		endpoints = w.discovery.CompleteList(n)
	}
	return plan.dispatcherConfig(n, w.process(n).incarnations, w.seed, w.listenAddrs[n].String(), mgmt, w.discovery.Address(n), peers, endpoints)
}

// process is the one of a dispatcher that serves.
func (w *environment) process(n int) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.processes[n]
}

func (w *environment) awaitReady(ctx context.Context) error {
	limit := time.Now().Add(readyTimeout)
	for !w.frontTier.Ready() {
		for _, p := range w.processes {
			if !p.running() {
				return fmt.Errorf("%s %w: see its log %s", p.name, errNotReady, p.log.Name())
			}
		}
		if time.Now().After(limit) {
			return fmt.Errorf("dispatchers %w within %v", errNotReady, readyTimeout)
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// play carries the timeline out until ctx ends.
func (w *environment) play(ctx context.Context, actions []fault.Action) {
	for _, a := range actions {
		select {
		case <-time.After(max(a.At-w.clock(), 0)):
			w.apply(ctx, a)
		case <-ctx.Done():
			return
		}
	}
}

func (w *environment) apply(ctx context.Context, a fault.Action) {
	switch a.Kind {
	case fault.ListLag:
		w.discovery.SetLag(a.Duration)
	case fault.ListLagEnd:
		w.discovery.SetLag(w.plan.Fleet.ListLag.Std())
	case fault.ListDown:
		w.discovery.SetOutage(discoveryserver.Down)
	case fault.ListUnavailable:
		w.discovery.SetOutage(discoveryserver.Unavailable)
	case fault.ListRecover:
		w.discovery.SetOutage(discoveryserver.Healthy)
	case fault.LinkCut, fault.LinkHeal, fault.LinkLoss, fault.LinkRecover:
		w.applyToLink(a)
	case fault.PeersCut, fault.PeersLoss, fault.PeersRecover:
		w.applyToPeers(a)
	case fault.WorkerAdd:
		kinds := w.plan.Fleet.Kinds
		for range int(a.Value) {
			w.mu.Lock()
			n := len(w.servers)
			w.mu.Unlock()
			zones := len(w.plan.Fleet.Zones)
			w.recordFailure(w.addWorker(kinds[0], n%zones, n/zones/w.plan.Fleet.CellSize*zones+n%zones, false))
		}
	case fault.PowerLoss, fault.PowerReturn:
		w.applyPower(ctx, a)
	case fault.DispatcherKill, fault.DispatcherStart, fault.DispatcherPause, fault.DispatcherResume,
		fault.DispatcherRestart:
		for _, n := range a.Targets {
			w.applyToDispatcher(ctx, a.Kind, n)
		}
	case fault.DispatcherLeave, fault.DispatcherJoin, fault.DispatcherUpgrade, fault.DispatcherReconfigure,
		fault.ClientsIdle, fault.ClientsTrickle:
		w.applyOperators(ctx, a)
	default:
		for _, n := range a.Targets {
			w.applyToWorker(a, n)
		}
	}
}

func (w *environment) applyToPeers(a fault.Action) {
	if w.peers == nil {
		return
	}
	m := w.peerConditions()
	switch a.Kind {
	case fault.PeersCut:
		m.Partitioned = true
	case fault.PeersLoss:
		m.Loss = a.Value
	}
	w.peers.SetConditions(m)
}

func (w *environment) applyToWorker(a fault.Action, n int) {
	s := w.server(n)
	switch a.Kind {
	case fault.WorkerCrash, fault.WorkerStop:
		if s.Running() {
			s.Crash()
			w.publish(n, discoveryserver.Gone, false)
		}
	case fault.WorkerRestart:
		if !s.Running() {
			w.recordFailure(s.Start(false))
			w.publish(n, discoveryserver.Ready, false)
		}
	case fault.WorkerSpeed:
		w.mu.Lock()
		w.speedFactors[n][a.Fault] = a.Value
		pace := 1.0
		for _, part := range w.speedFactors[n] {
			pace *= part
		}
		w.mu.Unlock()
		s.SetSpeed(pace)
	case fault.WorkerPause, fault.WorkerResume:
		s.Pause(a.Kind == fault.WorkerPause)
	case fault.WorkerMute, fault.WorkerUnmute:
		s.Mute(a.Kind == fault.WorkerMute)
	case fault.WorkerCut, fault.WorkerHeal:
		s.Partition(a.Kind == fault.WorkerCut)
	case fault.WorkerDrain:
		if s.Running() {
			s.Drain()
			w.publish(n, discoveryserver.Terminating, s.StartedAt() <= 0)
		}
	}
}

func (w *environment) applyToDispatcher(ctx context.Context, do fault.ActionKind, n int) {
	p := w.process(n)
	switch do {
	case fault.DispatcherKill:
		w.dispatcherDown(n)
		p.kill()
	case fault.DispatcherPause:
		w.dispatcherDown(n)
		p.pause(true)
	case fault.DispatcherResume:
		p.pause(false)
		w.dispatcherUp(n)
	case fault.DispatcherStart:
		if !p.running() {
			w.recordFailure(w.launchDispatcher(n))
			w.dispatcherUp(n)
		}
	case fault.DispatcherRestart:
		w.actions.Go(func() { w.restart(ctx, n) })
	}
}

// restart ends a dispatcher as the platform plans it, and starts it again.
func (w *environment) restart(ctx context.Context, n int) {
	p, from := w.process(n), w.clock()
	if !p.running() {
		return
	}
	removal := time.AfterFunc(removalDelay, func() { w.frontTier.Remove(n) })
	defer removal.Stop()
	w.recordFailure(p.stop(stopTimeout))
	w.frontTier.Remove(n)
	time.Sleep(restartDelay)
	if ctx.Err() != nil {
		return
	}
	w.recordFailure(w.launchDispatcher(n))
	w.history.AddOutage(history.Outage{Dispatcher: n, Planned: true, From: from, To: w.clock()})
}

func (w *environment) dispatcherDown(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.downSince[n] = w.clock()
}

// resumeGrace is how long a dispatcher may need after it goes on until it keeps time again.
const resumeGrace = 250 * time.Millisecond

func (w *environment) dispatcherUp(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if from, reported := w.downSince[n]; reported {
		w.history.AddOutage(history.Outage{Dispatcher: n, From: from, To: w.clock() + resumeGrace})
		delete(w.downSince, n)
	}
}

func (w *environment) recordFailure(err error) {
	if err == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, err.Error())
}

func (w *environment) endProcesses(within time.Duration) {
	var ending sync.WaitGroup
	for _, p := range w.processes {
		ending.Go(func() {
			if p.running() {
				w.recordFailure(p.stop(within))
			}
			p.log.Close()
		})
	}
	ending.Wait()
}

// close ends all processes and stand-ins. Nothing of the world runs after it.
func (w *environment) close() error {
	w.actions.Wait()
	w.mu.Lock()
	for n := range w.downSince {
		w.history.AddOutage(history.Outage{Dispatcher: n, From: w.downSince[n], To: 1 << 62})
	}
	w.mu.Unlock()
	w.compareCounters()
	w.endProcesses(stopTimeout)
	w.stop()
	err := w.background.Wait()
	if w.fleet != nil {
		w.fleet.Close()
	}
	if errors.Is(err, os.ErrClosed) {
		err = nil
	}
	return err
}
