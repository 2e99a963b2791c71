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
	readyWithin  = 15 * time.Second
	endWithin    = 6 * time.Second
	leaveAfter   = 300 * time.Millisecond // at a planned restart connections go on coming for a while
	restartAfter = 100 * time.Millisecond // from its end to its next start
	startTries   = 3
)

// world is everything round the load: the stand-ins and the dispatchers' processes.
type world struct {
	plan    *Plan
	seed    uint64
	folder  string
	command []string
	zero    atomic.Int64 // Unix time in nanoseconds at which the experiment's time begins

	ledger  *history.Ledger
	list    *discoveryserver.Service
	catalog *discoveryserver.Catalog
	fleet   *worker.Fleet
	peers   *network.Net
	links   *network.Net // between dispatchers that have a state, nil where they have none
	front   *loadgen.Front

	listen    []netip.AddrPort
	processes []*process
	running   *errgroup.Group // what lasts to the end
	stop      context.CancelFunc
	during    sync.WaitGroup // what follows from troubles

	mu       sync.Mutex
	servers  []*worker.Server
	pace     []map[int]float64 // by worker, then by trouble
	away     map[int]time.Duration
	stale    map[int][]byte // by dispatcher: the list as it was when power failed there, for its next start
	leaving  map[int]bool   // dispatchers whose operator's last word was LEAVE
	failures []string
}

// clock is the time since the experiment's start.
func (w *world) clock() time.Duration { return time.Duration(time.Now().UnixNano() - w.zero.Load()) }

// open builds the stand-ins and starts the dispatchers. It has to be closed, also after an error.
func open(ctx context.Context, p *Plan, seed uint64, folder string, command []string) (*world, error) {
	w := &world{
		plan: p, seed: seed, folder: folder, command: command, ledger: history.New(),
		away: map[int]time.Duration{}, stale: map[int][]byte{}, leaving: map[int]bool{},
	}
	w.zero.Store(time.Now().UnixNano())
	running, cancel := context.WithCancel(context.Background())
	w.running, running = errgroup.WithContext(running)
	w.stop = cancel
	if err := w.standIns(running); err != nil {
		return w, err
	}
	err := errors.New("never tried")
	for range startTries {
		if err = w.start(ctx, running); !errors.Is(err, errNoStart) {
			break
		}
		w.endProcesses(time.Second)
	}
	if err == nil {
		w.zero.Store(time.Now().UnixNano())
		if w.links != nil {
			w.running.Go(func() error { return w.age(running) })
		}
	}
	return w, err
}

func (w *world) standIns(ctx context.Context) (err error) {
	p := w.plan
	var drops []worker.Deduplication
	for _, o := range p.Operations {
		d := worker.Deduplication{Window: o.Window.D()}
		if o.Repeat == workload.Deduplicated {
			d.Scope = scopeOf(o)
		}
		drops = append(drops, d)
	}
	f := p.Fleet
	w.fleet = worker.NewFleet(worker.Terms{
		Idle: f.Idle.D(), StartNotes: f.StartNotes, Progress: f.Progress,
		Probes: f.Probes, Instant: f.Instant, Cold: worker.Cold{
			From: f.ColdFrom, Ramp: f.ColdRamp.D(),
			Multiple: f.ColdMultiple,
			Span:     f.ColdSpan.D(),
		},
	}, drops, w.ledger, w.clock, w.fell)
	w.catalog = discoveryserver.NewCatalog(f.ListLag.D())
	if w.list, err = discoveryserver.New(w.catalog, p.Dispatchers.Count, w.clock, w.told); err != nil {
		return err
	}
	kinds, zones, cells := p.sites()
	for n := range kinds {
		if err := w.add(f.Kinds[kinds[n]], zones[n], cells[n], true); err != nil {
			return err
		}
	}
	w.catalog.Settled()
	w.running.Go(func() error { return w.list.Run(ctx) })
	return nil
}

// add makes one more worker, starts it and lists it.
func (w *world) add(k worker.Kind, zone, cell int, warm bool) error {
	w.mu.Lock()
	n := len(w.servers)
	s := w.fleet.Add(fmt.Sprintf("w%02d", n), k, zone, cell, w.plan.Dispatchers.Count)
	w.servers, w.pace = append(w.servers, s), append(w.pace, map[int]float64{})
	w.mu.Unlock()
	if err := s.Start(warm); err != nil {
		return err
	}
	w.enlist(n, discoveryserver.Ready, warm)
	return nil
}

// enlist tells the list service what a worker is now.
func (w *world) enlist(n int, state discoveryserver.State, longAgo bool) {
	s := w.server(n)
	name, kind, zone, cell := s.Site()
	e := discoveryserver.Entry{
		Worker: n, Host: name, Site: w.plan.Fleet.Zones[zone], Kind: kind, Block: cell,
		Dials: s.Addresses(), State: state,
	}
	if born := s.Born(); !longAgo && born > 0 {
		e.Born = time.Unix(0, w.zero.Load()).Add(born)
	}
	w.list.Put(e)
}

func (w *world) server(n int) *worker.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[n]
}

func (w *world) told(dispatcher int, e discoveryserver.Entry) {
	w.ledger.Told(history.Notice{
		Dispatcher: dispatcher, Worker: e.Worker, Ready: e.State == discoveryserver.Ready,
		At: w.clock(),
	})
}

// fell lists a worker that was pushed over as gone; it stays down.
func (w *world) fell(n int) { w.enlist(n, discoveryserver.Gone, false) }

var errNoStart = errors.New("did not become ready")

// start starts all dispatchers on free ports, and waits until all are ready.
func (w *world) start(ctx, running context.Context) error {
	count := w.plan.Dispatchers.Count
	w.listen, w.processes = nil, nil
	var own, linked []netip.AddrPort
	for n := range count {
		var ports [4]netip.AddrPort
		for k := range ports {
			var err error
			if ports[k], err = freePort(); err != nil {
				return err
			}
		}
		w.listen, own, linked = append(w.listen, ports[0]), append(own, ports[1]), append(linked, ports[2])
		p, err := newProcess(dispatcherName(n), w.folder, w.command)
		if err != nil {
			return err
		}
		p.mgmt = ports[3].String()
		w.processes = append(w.processes, p)
	}
	d := &w.plan.Dispatchers
	if d.Peers && count > 1 {
		peers, err := network.New(own, w.manner(), network.Platform, w.seed)
		if err != nil {
			return err
		}
		w.peers = peers // a start that is tried again makes others, while these go on
		w.running.Go(func() error { return peers.Run(running) })
	}
	if d.Recovery {
		if err := w.link(running, linked); err != nil {
			return err
		}
	}
	var addresses []string
	for n := range count {
		addresses = append(addresses, w.listen[n].String())
		if err := w.launch(n); err != nil {
			return err
		}
	}
	front := loadgen.NewFront(addresses, d.NoticeAfter.D())
	w.front = front
	w.running.Go(func() error { return front.Run(running) })
	return w.ready(ctx)
}

func (w *world) manner() network.Manner {
	d := &w.plan.Dispatchers
	return network.Manner{Loss: d.PeerLoss, Delay: d.PeerDelay.D(), Jitter: d.PeerJitter.D()}
}

// launch starts one dispatcher's process: it has been told nothing yet.
func (w *world) launch(n int) error {
	p := w.process(n)
	config, err := w.config(n, p.mgmt, w.plan.Dispatchers.Forwards)
	if err != nil {
		return err
	}
	w.mu.Lock()
	workers := len(w.servers)
	w.mu.Unlock()
	for k := range workers {
		w.ledger.Told(history.Notice{Dispatcher: n, Worker: k, Ready: true, At: w.clock()})
	}
	return p.start(config)
}

// config is what a dispatcher's process is told at its start, or at SIGHUP.
func (w *world) config(n int, mgmt string, forwards int) ([]byte, error) {
	var peers []netip.AddrPort
	if w.peers != nil {
		peers = w.peers.View(n)
	}
	plan := *w.plan
	plan.Dispatchers.Forwards = forwards
	w.mu.Lock()
	known := w.stale[n]
	w.mu.Unlock()
	if known == nil {
		known = w.list.Whole(n)
	}
	return plan.placement(n, w.process(n).lives, w.seed, w.listen[n].String(), mgmt, w.list.Address(n), peers, known)
}

// process is the one of a dispatcher that serves.
func (w *world) process(n int) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.processes[n]
}

func (w *world) ready(ctx context.Context) error {
	limit := time.Now().Add(readyWithin)
	for !w.front.Ready() {
		for _, p := range w.processes {
			if !p.up() {
				return fmt.Errorf("%s %w: see its log %s", p.name, errNoStart, p.log.Name())
			}
		}
		if time.Now().After(limit) {
			return fmt.Errorf("dispatchers %w within %v", errNoStart, readyWithin)
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
func (w *world) play(ctx context.Context, actions []fault.Action) {
	for _, a := range actions {
		select {
		case <-time.After(max(a.At-w.clock(), 0)):
			w.do(ctx, a)
		case <-ctx.Done():
			return
		}
	}
}

func (w *world) do(ctx context.Context, a fault.Action) {
	switch a.Do {
	case fault.ListLag:
		w.list.Lag(a.Span)
	case fault.ListLagEnds:
		w.list.Lag(w.plan.Fleet.ListLag.D())
	case fault.ListAway:
		w.list.Set(discoveryserver.Away)
	case fault.ListRefuses:
		w.list.Set(discoveryserver.Refuses)
	case fault.ListFine:
		w.list.Set(discoveryserver.Fine)
	case fault.LinkCut, fault.LinkHeals, fault.LinkLoses, fault.LinkFine:
		w.doLink(a)
	case fault.PeersCut, fault.PeersLose, fault.PeersFine:
		w.doPeers(a)
	case fault.WorkerAdd:
		kinds := w.plan.Fleet.Kinds
		for range int(a.Figure) {
			w.mu.Lock()
			n := len(w.servers)
			w.mu.Unlock()
			zones := len(w.plan.Fleet.Zones)
			w.failed(w.add(kinds[0], n%zones, n/zones/w.plan.Fleet.CellSize*zones+n%zones, false))
		}
	case fault.PowerFails, fault.PowerReturns:
		w.power(ctx, a)
	case fault.DispatcherKill, fault.DispatcherStart, fault.DispatcherStall, fault.DispatcherGoOn,
		fault.DispatcherRestart:
		for _, n := range a.Targets {
			w.doDispatcher(ctx, a.Do, n)
		}
	case fault.DispatcherLeave, fault.DispatcherJoin, fault.DispatcherUpgrade, fault.DispatcherRetune,
		fault.ClientsSilent, fault.ClientsPieces:
		w.operators(ctx, a)
	default:
		for _, n := range a.Targets {
			w.doWorker(a, n)
		}
	}
}

func (w *world) doPeers(a fault.Action) {
	if w.peers == nil {
		return
	}
	m := w.manner()
	switch a.Do {
	case fault.PeersCut:
		m.Cut = true
	case fault.PeersLose:
		m.Loss = a.Figure
	}
	w.peers.Set(m)
}

func (w *world) doWorker(a fault.Action, n int) {
	s := w.server(n)
	switch a.Do {
	case fault.WorkerCrash, fault.WorkerEnd:
		if s.Up() {
			s.Crash()
			w.enlist(n, discoveryserver.Gone, false)
		}
	case fault.WorkerReturn:
		if !s.Up() {
			w.failed(s.Start(false))
			w.enlist(n, discoveryserver.Ready, false)
		}
	case fault.WorkerPace:
		w.mu.Lock()
		w.pace[n][a.Trouble] = a.Figure
		pace := 1.0
		for _, part := range w.pace[n] {
			pace *= part
		}
		w.mu.Unlock()
		s.Pace(pace)
	case fault.WorkerPause, fault.WorkerResume:
		s.Pause(a.Do == fault.WorkerPause)
	case fault.WorkerSilent, fault.WorkerSpeaks:
		s.Silence(a.Do == fault.WorkerSilent)
	case fault.WorkerCut, fault.WorkerHeal:
		s.Cut(a.Do == fault.WorkerCut)
	case fault.WorkerDrain:
		if s.Up() {
			s.Drain()
			w.enlist(n, discoveryserver.Terminating, s.Born() <= 0)
		}
	}
}

func (w *world) doDispatcher(ctx context.Context, do fault.Do, n int) {
	p := w.process(n)
	switch do {
	case fault.DispatcherKill:
		w.leaves(n)
		p.kill()
	case fault.DispatcherStall:
		w.leaves(n)
		p.stall(true)
	case fault.DispatcherGoOn:
		p.stall(false)
		w.returns(n)
	case fault.DispatcherStart:
		if !p.up() {
			w.failed(w.launch(n))
			w.returns(n)
		}
	case fault.DispatcherRestart:
		w.during.Go(func() { w.restart(ctx, n) })
	}
}

// restart ends a dispatcher as the platform plans it, and starts it again.
func (w *world) restart(ctx context.Context, n int) {
	p, from := w.process(n), w.clock()
	if !p.up() {
		return
	}
	leave := time.AfterFunc(leaveAfter, func() { w.front.Leave(n) })
	defer leave.Stop()
	w.failed(p.end(endWithin))
	w.front.Leave(n)
	time.Sleep(restartAfter)
	if ctx.Err() != nil {
		return
	}
	w.failed(w.launch(n))
	w.ledger.Away(history.Outage{Dispatcher: n, Planned: true, From: from, To: w.clock()})
}

func (w *world) leaves(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.away[n] = w.clock()
}

// backWithin is how long a dispatcher may need after it goes on until it keeps time again.
const backWithin = 250 * time.Millisecond

func (w *world) returns(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if from, was := w.away[n]; was {
		w.ledger.Away(history.Outage{Dispatcher: n, From: from, To: w.clock() + backWithin})
		delete(w.away, n)
	}
}

func (w *world) failed(err error) {
	if err == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, err.Error())
}

func (w *world) endProcesses(within time.Duration) {
	var ending sync.WaitGroup
	for _, p := range w.processes {
		ending.Go(func() {
			if p.up() {
				w.failed(p.end(within))
			}
			p.log.Close()
		})
	}
	ending.Wait()
}

// close ends all processes and stand-ins. Nothing of the world runs after it.
func (w *world) close() error {
	w.during.Wait()
	w.mu.Lock()
	for n := range w.away {
		w.ledger.Away(history.Outage{Dispatcher: n, From: w.away[n], To: 1 << 62})
	}
	w.mu.Unlock()
	w.reconcile()
	w.endProcesses(endWithin)
	w.stop()
	err := w.running.Wait()
	if w.fleet != nil {
		w.fleet.Wait()
	}
	if errors.Is(err, os.ErrClosed) {
		err = nil
	}
	return err
}
