package worker

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"canvasroute/internal/testbed/history"
)

// Config are what all workers of a fleet have in common.
type Config struct {
	Cold       Warmup
	Idle       time.Duration // how long a connection may stand idle
	StartNotes bool          // a line when a job begins
	Progress   bool          // and one halfway through
	Probes     bool
	Instant    bool // nothing runs: each job is done as it comes, for measuring what stands before the workers
}

// Deduplication is how an operation's repeats are dropped.
type Deduplication struct {
	Scope  string // "": not at all; all, zone or cell
	Window time.Duration
}

// Fleet is all workers, and what they share.
type Fleet struct {
	config     Config
	operations []Deduplication
	history    *history.Log
	clock      func() time.Duration
	overloaded func(worker int)

	mu      sync.Mutex
	groups  map[string]*DedupGroup
	servers []*Server
	running sync.WaitGroup
}

// NewFleet makes an empty fleet. clock tells the time since the experiment's start; fell is called, in a
// goroutine of its own, when a cold worker has been pushed over and its process has ended.
func NewFleet(t Config, operations []Deduplication, l *history.Log, clock func() time.Duration,
	fell func(worker int),
) *Fleet {
	return &Fleet{
		config: t, operations: operations, history: l, clock: clock, overloaded: fell,
		groups: map[string]*DedupGroup{},
	}
}

// Server is one worker on sockets: one listener for each dispatcher, so that it knows which one sends.
type Server struct {
	fleet      *Fleet
	index      int
	name       string
	kind       Kind
	zone, cell int

	mu            sync.Mutex
	current       *incarnation // nil while it is down
	incarnations  int
	startedAt     time.Duration
	addresses     []string // by dispatcher
	speed         float64
	muted         bool
	maxWarmupLoad float64
}

// incarnation is one process of a worker: its machine, its connections, and a gate that closes while it stands still
// or is cut off.
type incarnation struct {
	number  int
	machine *Machine
	ended   chan struct{}
	wake    chan struct{}

	mu        sync.Mutex
	conns     map[net.Conn]bool
	listeners []net.Listener
	exchanges map[string]*exchange
	closed    bool
	resumed   chan struct{} // nil while the gate is open; closed when it opens
}

// Add makes one more worker, which is down.
func (f *Fleet) Add(name string, k Kind, zone, cell, dispatchers int) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &Server{
		fleet: f, index: len(f.servers), name: name, kind: k, zone: zone, cell: cell, speed: 1,
		addresses: make([]string, dispatchers),
	}
	f.servers = append(f.servers, s)
	return s
}

func (f *Fleet) group(operation int, s *Server) *DedupGroup {
	d := f.operations[operation]
	key := fmt.Sprint(operation, "/")
	switch d.Scope {
	case "":
		return nil
	case "zone":
		key += fmt.Sprint("zone ", s.zone)
	case "cell":
		key += fmt.Sprint("cell ", s.cell)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.groups[key]
	if g == nil {
		g = NewDedupGroup(d.Window)
		f.groups[key] = g
	}
	return g
}

// Close ends all workers and waits for their goroutines.
func (f *Fleet) Close() {
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	for _, s := range servers {
		s.Crash()
	}
	f.running.Wait()
}

// Start starts a process. It listens where the one before it did, or elsewhere if that is taken.
func (s *Server) Start(warm bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		return nil
	}
	n := s.incarnations
	result := func(id string) string { return fmt.Sprintf("%s by %s.%d", id, s.name, n) }
	l := &incarnation{
		number: n, ended: make(chan struct{}), wake: make(chan struct{}, 1), conns: map[net.Conn]bool{},
		exchanges: map[string]*exchange{},
		machine:   NewMachine(s.kind, s.fleet.config.Cold, s.fleet.clock(), warm, result),
	}
	l.machine.SetSpeed(s.fleet.clock(), s.speed)
	for d := range s.addresses {
		ln, err := listen(s.addresses[d])
		if err != nil {
			l.close()
			return fmt.Errorf("worker %s: %w", s.name, err)
		}
		s.addresses[d] = ln.Addr().String()
		l.listeners = append(l.listeners, ln)
	}
	s.current, s.incarnations = l, s.incarnations+1
	if s.startedAt = s.fleet.clock(); warm {
		s.startedAt = 0
	}
	for d, ln := range l.listeners {
		s.fleet.running.Go(func() { s.acceptConns(ln, d, l) })
	}
	s.fleet.running.Go(func() { s.runTimer(l) })
	return nil
}

func listen(at string) (net.Listener, error) {
	if at != "" {
		if ln, err := net.Listen("tcp", at); err == nil {
			return ln, nil
		} else if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return net.Listen("tcp", "127.0.0.1:0")
}

func (s *Server) acceptConns(ln net.Listener, dispatcher int, l *incarnation) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if !l.waitWhilePaused() || !l.addConn(c) {
			c.Close()
			return
		}
		s.fleet.running.Go(func() { s.serveConn(c, dispatcher, l) })
	}
}

// runTimer goes through what comes due by time.
func (s *Server) runTimer(l *incarnation) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.deliver(l, l.machine.Advance(s.fleet.clock()))
		at, found := l.machine.NextEvent()
		s.mu.Unlock()
		wait := time.Hour
		if found {
			wait = max(at-s.fleet.clock(), 0)
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-l.wake:
		case <-l.ended:
			return
		}
	}
}

// deliver hands events to the exchanges that they are of. It runs under the server's lock.
func (s *Server) deliver(l *incarnation, events []Event) {
	for _, ev := range events {
		e := l.exchanges[ev.ID]
		if e == nil {
			continue
		}
		switch ev.Kind {
		case Started:
			s.fleet.history.AttemptStarted(e.attempt, s.fleet.clock())
			if s.fleet.config.StartNotes {
				e.lines <- line{state: "started"}
			}
			e.muted = s.muted
		case Halfway:
			if s.fleet.config.Progress && !e.muted {
				e.lines <- line{state: "running"}
			}
		case Finished, Deduplicated:
			delete(l.exchanges, ev.ID)
			if e.muted {
				s.fleet.history.AttemptEnded(e.attempt, history.NeverReported, ev.Result, s.fleet.clock())
				continue
			}
			if ev.Kind == Deduplicated {
				s.fleet.history.AttemptEnded(e.attempt, history.Deduplicated, ev.Result, s.fleet.clock())
			}
			e.lines <- line{state: "done", result: ev.Result, last: true}
		}
	}
}

// maxLines is how many lines an exchange can have: none ever waits for its connection.
const maxLines = 4

// offer offers a job to the machine. The exchange is nil if it was declined; ok is false if the process has
// ended, perhaps by this very job.
func (s *Server) offer(id, key string, t Task, f *history.Attempt, l *incarnation) (e *exchange, ok bool) {
	group := s.fleet.group(t.Operation, s)
	if key == "" {
		group = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != l {
		return nil, false
	}
	if l.exchanges[id] != nil { // the same forward twice on one worker: the first goes on, this one is not begun
		return nil, true
	}
	e = &exchange{lines: make(chan line, maxLines), attempt: f}
	l.exchanges[id] = e
	verdict, events, sent, budget := l.machine.Offer(s.fleet.clock(),
		Job{ID: id, Work: time.Duration(t.WorkUs) * time.Microsecond, Key: key, Group: group})
	if verdict != Accepted {
		delete(l.exchanges, id)
	}
	s.deliver(l, events)
	if budget > 0 {
		s.maxWarmupLoad = max(s.maxWarmupLoad, sent.Seconds()/budget.Seconds())
	}
	switch verdict {
	case Declined:
		return nil, true
	case Overloaded:
		s.fleet.history.WorkerOverloaded(history.Overload{
			Worker: s.index, Dispatcher: f.Dispatcher, ID: id, At: s.fleet.clock(),
			SentWork: sent, Budget: budget, RecentJobs: l.machine.HeaviestRecent(12),
		})
		s.crash()
		if s.fleet.overloaded != nil {
			go s.fleet.overloaded(s.index)
		}
		return nil, false
	}
	l.wakeUp()
	return e, true
}

// abandon ends a job that its dispatcher has given up.
func (s *Server) abandon(id string, e *exchange, l *incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.history.AttemptEnded(e.attempt, history.Abandoned, "", s.fleet.clock())
	if s.current == l && l.exchanges[id] == e {
		delete(l.exchanges, id)
		s.deliver(l, l.machine.Cancel(s.fleet.clock(), id))
		l.wakeUp()
	}
}

// Crash ends the process at once: connections are reset, and new ones are refused.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

func (s *Server) crash() {
	l := s.current
	if l == nil {
		return
	}
	s.current = nil
	l.machine.Stop()
	for _, e := range l.exchanges {
		s.fleet.history.AttemptEnded(e.attempt, history.Crashed, "", s.fleet.clock())
	}
	l.close()
}

// Drain makes it decline what is new, and hand back what has not begun.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.current
	if l == nil {
		return
	}
	events, unstarted := l.machine.Drain(s.fleet.clock())
	s.deliver(l, events)
	for _, id := range unstarted {
		if e := l.exchanges[id]; e != nil {
			delete(l.exchanges, id)
			e.lines <- line{state: "returned", last: true}
		}
	}
	l.wakeUp()
}

// SetSpeed sets the part of its speed that the worker has from now on, also after a restart.
func (s *Server) SetSpeed(speed float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speed = speed
	if l := s.current; l != nil {
		s.deliver(l, l.machine.SetSpeed(s.fleet.clock(), speed))
		l.wakeUp()
	}
}

// Pause makes the whole process stand still, or go on: it neither works nor reads nor writes.
func (s *Server) Pause(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.current
	if l == nil {
		return
	}
	speed := s.speed
	if paused {
		speed = 0
	}
	s.deliver(l, l.machine.SetSpeed(s.fleet.clock(), speed))
	l.setPaused(paused)
	l.wakeUp()
}

// Partition cuts its machine off the network, or lets it back: it works, open connections are silent, and new ones
// do not come up.
func (s *Server) Partition(partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.current
	if l == nil {
		return
	}
	l.setPaused(partitioned)
	for _, ln := range l.listeners {
		if !partitioned {
			setBacklog(ln, syscall.SOMAXCONN)
			continue
		}
		setBacklog(ln, 0)
		s.fleet.running.Go(func() { l.fillBacklog(ln) })
	}
}

// setBacklog sets how many connections the kernel takes that nobody has accepted yet.
func setBacklog(ln net.Listener, limit int) {
	if raw, err := ln.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), limit) }) // fails only where it is closed
	}
}

// plugs fill a backlog of nothing, which holds one, and the hand of the goroutine that accepts.
const backlogFillers = 2

// fillBacklog holds connections of our own in the way of others until the gate opens.
func (l *incarnation) fillBacklog(ln net.Listener) {
	for range backlogFillers {
		if c, err := net.DialTimeout("tcp", ln.Addr().String(), 100*time.Millisecond); err == nil {
			defer c.Close()
		}
	}
	l.waitWhilePaused()
}

// Mute makes it tell nothing more of jobs that begin from now on, or tell again.
func (s *Server) Mute(muted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = muted
}

// Addresses are where it listens, by dispatcher.
func (s *Server) Addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.addresses...)
}

// Location is its name and kind, and the numbers of its zone and cell.
func (s *Server) Location() (name, kind string, zone, cell int) {
	return s.name, s.kind.Name, s.zone, s.cell
}

// MaxWarmupLoad is the most work that it was sent within the span while it was cold, over what it bears: above 1 it
// fell over.
func (s *Server) MaxWarmupLoad() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxWarmupLoad
}

// StartedAt is when its process, or the last one, started, from the experiment's start; 0 for long ago.
func (s *Server) StartedAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedAt
}

// Running tells whether its process runs.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current != nil
}

func (l *incarnation) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// waitWhilePaused waits until the process may go on, and tells whether it still lives.
func (l *incarnation) waitWhilePaused() bool {
	l.mu.Lock()
	opened, shut := l.resumed, l.closed
	l.mu.Unlock()
	if shut || opened == nil {
		return !shut
	}
	select {
	case <-opened:
		return l.waitWhilePaused()
	case <-l.ended:
		return false
	}
}

func (l *incarnation) setPaused(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case paused && l.resumed == nil:
		l.resumed = make(chan struct{})
	case !paused && l.resumed != nil:
		close(l.resumed)
		l.resumed = nil
	}
}

func (l *incarnation) addConn(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.conns[c] = true
	}
	return !l.closed
}

func (l *incarnation) removeConn(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	c.Close()
}

func (l *incarnation) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	close(l.ended)
	for _, ln := range l.listeners {
		ln.Close()
	}
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset, as the kernel sends for a process that has died
		}
		c.Close()
	}
}
