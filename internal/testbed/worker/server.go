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

// Terms are what all workers of a fleet have in common.
type Terms struct {
	Cold       Cold
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
	terms      Terms
	operations []Deduplication
	ledger     *history.Ledger
	clock      func() time.Duration
	fell       func(worker int)

	mu      sync.Mutex
	groups  map[string]*Group
	servers []*Server
	running sync.WaitGroup
}

// NewFleet makes an empty fleet. clock tells the time since the experiment's start; fell is called, in a
// goroutine of its own, when a cold worker has been pushed over and its process has ended.
func NewFleet(t Terms, operations []Deduplication, l *history.Ledger, clock func() time.Duration,
	fell func(worker int),
) *Fleet {
	return &Fleet{
		terms: t, operations: operations, ledger: l, clock: clock, fell: fell,
		groups: map[string]*Group{},
	}
}

// Server is one worker on sockets: one listener for each dispatcher, so that it knows which one sends.
type Server struct {
	fleet      *Fleet
	n          int
	name       string
	kind       Kind
	zone, cell int

	mu        sync.Mutex
	life      *life // nil while it is down
	lives     int
	born      time.Duration
	addresses []string // by dispatcher
	pace      float64
	silent    bool
	coldest   float64
}

// life is one process of a worker: its machine, its connections, and a gate that closes while it stands still
// or is cut off.
type life struct {
	n       int
	machine *Machine
	over    chan struct{}
	wake    chan struct{}

	mu     sync.Mutex
	conns  map[net.Conn]bool
	lns    []net.Listener
	jobs   map[string]*exchange
	shut   bool
	opened chan struct{} // nil while the gate is open; closed when it opens
}

// Add makes one more worker, which is down.
func (f *Fleet) Add(name string, k Kind, zone, cell, dispatchers int) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &Server{
		fleet: f, n: len(f.servers), name: name, kind: k, zone: zone, cell: cell, pace: 1,
		addresses: make([]string, dispatchers),
	}
	f.servers = append(f.servers, s)
	return s
}

func (f *Fleet) group(operation int, s *Server) *Group {
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
		g = NewGroup(d.Window)
		f.groups[key] = g
	}
	return g
}

// Wait ends all workers and waits for their goroutines.
func (f *Fleet) Wait() {
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
	if s.life != nil {
		return nil
	}
	n := s.lives
	result := func(id string) string { return fmt.Sprintf("%s by %s.%d", id, s.name, n) }
	l := &life{
		n: n, over: make(chan struct{}), wake: make(chan struct{}, 1), conns: map[net.Conn]bool{},
		jobs:    map[string]*exchange{},
		machine: NewMachine(s.kind, s.fleet.terms.Cold, s.fleet.clock(), warm, result),
	}
	l.machine.Pace(s.fleet.clock(), s.pace)
	for d := range s.addresses {
		ln, err := listen(s.addresses[d])
		if err != nil {
			l.close()
			return fmt.Errorf("worker %s: %w", s.name, err)
		}
		s.addresses[d] = ln.Addr().String()
		l.lns = append(l.lns, ln)
	}
	s.life, s.lives = l, s.lives+1
	if s.born = s.fleet.clock(); warm {
		s.born = 0
	}
	for d, ln := range l.lns {
		s.fleet.running.Go(func() { s.take(ln, d, l) })
	}
	s.fleet.running.Go(func() { s.run(l) })
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

func (s *Server) take(ln net.Listener, dispatcher int, l *life) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if !l.gate() || !l.keep(c) {
			c.Close()
			return
		}
		s.fleet.running.Go(func() { s.serve(c, dispatcher, l) })
	}
}

// run goes through what comes due by time.
func (s *Server) run(l *life) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.pass(l, l.machine.Advance(s.fleet.clock()))
		at, any := l.machine.Next()
		s.mu.Unlock()
		wait := time.Hour
		if any {
			wait = max(at-s.fleet.clock(), 0)
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-l.wake:
		case <-l.over:
			return
		}
	}
}

// pass hands events to the exchanges that they are of. It runs under the server's lock.
func (s *Server) pass(l *life, events []Event) {
	for _, ev := range events {
		e := l.jobs[ev.ID]
		if e == nil {
			continue
		}
		switch ev.What {
		case Began:
			s.fleet.ledger.Started(e.forward, s.fleet.clock())
			if s.fleet.terms.StartNotes {
				e.lines <- line{state: "started"}
			}
			e.silent = s.silent
		case Halfway:
			if s.fleet.terms.Progress && !e.silent {
				e.lines <- line{state: "running"}
			}
		case Finished, Repeated:
			delete(l.jobs, ev.ID)
			if e.silent {
				s.fleet.ledger.Over(e.forward, history.Swallowed, ev.Result, s.fleet.clock())
				continue
			}
			if ev.What == Repeated {
				s.fleet.ledger.Over(e.forward, history.Suppressed, ev.Result, s.fleet.clock())
			}
			e.lines <- line{state: "done", result: ev.Result, last: true}
		}
	}
}

// mostLines is how many lines an exchange can have: none ever waits for its connection.
const mostLines = 4

// accept offers a job to the machine. The exchange is nil if it was declined; ok is false if the process has
// ended, perhaps by this very job.
func (s *Server) accept(id, key string, t Task, f *history.Forward, l *life) (e *exchange, ok bool) {
	group := s.fleet.group(t.Operation, s)
	if key == "" {
		group = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life != l {
		return nil, false
	}
	if l.jobs[id] != nil { // the same forward twice on one worker: the first goes on, this one is not begun
		return nil, true
	}
	e = &exchange{lines: make(chan line, mostLines), forward: f}
	l.jobs[id] = e
	verdict, events, sent, bound := l.machine.Offer(s.fleet.clock(),
		Job{ID: id, Work: time.Duration(t.WorkUs) * time.Microsecond, Key: key, Group: group})
	if verdict != Accepted {
		delete(l.jobs, id)
	}
	s.pass(l, events)
	if bound > 0 {
		s.coldest = max(s.coldest, sent.Seconds()/bound.Seconds())
	}
	switch verdict {
	case Declined:
		return nil, true
	case Toppled:
		s.fleet.ledger.Fell(history.Fall{
			Worker: s.n, Dispatcher: f.Dispatcher, ID: id, At: s.fleet.clock(),
			Sent: sent, Bound: bound, What: l.machine.Heaviest(12),
		})
		s.crash()
		if s.fleet.fell != nil {
			go s.fleet.fell(s.n)
		}
		return nil, false
	}
	l.rouse()
	return e, true
}

// abandon ends a job that its dispatcher has given up.
func (s *Server) abandon(id string, e *exchange, l *life) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.ledger.Over(e.forward, history.Abandoned, "", s.fleet.clock())
	if s.life == l && l.jobs[id] == e {
		delete(l.jobs, id)
		s.pass(l, l.machine.Cancel(s.fleet.clock(), id))
		l.rouse()
	}
}

// Crash ends the process at once: connections are reset, and new ones are refused.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

func (s *Server) crash() {
	l := s.life
	if l == nil {
		return
	}
	s.life = nil
	l.machine.End()
	for _, e := range l.jobs {
		s.fleet.ledger.Over(e.forward, history.Crashed, "", s.fleet.clock())
	}
	l.close()
}

// Drain makes it decline what is new, and hand back what has not begun.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.life
	if l == nil {
		return
	}
	events, back := l.machine.Drain(s.fleet.clock())
	s.pass(l, events)
	for _, id := range back {
		if e := l.jobs[id]; e != nil {
			delete(l.jobs, id)
			e.lines <- line{state: "returned", last: true}
		}
	}
	l.rouse()
}

// Pace sets the part of its speed that the worker has from now on, also after a restart.
func (s *Server) Pace(pace float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace = pace
	if l := s.life; l != nil {
		s.pass(l, l.machine.Pace(s.fleet.clock(), pace))
		l.rouse()
	}
}

// Pause makes the whole process stand still, or go on: it neither works nor reads nor writes.
func (s *Server) Pause(still bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.life
	if l == nil {
		return
	}
	pace := s.pace
	if still {
		pace = 0
	}
	s.pass(l, l.machine.Pace(s.fleet.clock(), pace))
	l.block(still)
	l.rouse()
}

// Cut cuts its machine off the network, or lets it back: it works, open connections are silent, and new ones
// do not come up.
func (s *Server) Cut(off bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.life
	if l == nil {
		return
	}
	l.block(off)
	for _, ln := range l.lns {
		if !off {
			backlog(ln, syscall.SOMAXCONN)
			continue
		}
		backlog(ln, 0)
		s.fleet.running.Go(func() { l.plug(ln) })
	}
}

// backlog sets how many connections the kernel takes that nobody has accepted yet.
func backlog(ln net.Listener, most int) {
	if raw, err := ln.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), most) }) // fails only where it is closed
	}
}

// plugs fill a backlog of nothing, which holds one, and the hand of the goroutine that accepts.
const plugs = 2

// plug holds connections of our own in the way of others until the gate opens.
func (l *life) plug(ln net.Listener) {
	for range plugs {
		if c, err := net.DialTimeout("tcp", ln.Addr().String(), 100*time.Millisecond); err == nil {
			defer c.Close()
		}
	}
	l.gate()
}

// Silence makes it tell nothing more of jobs that begin from now on, or tell again.
func (s *Server) Silence(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// Addresses are where it listens, by dispatcher.
func (s *Server) Addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.addresses...)
}

// Site is its name and kind, and the numbers of its zone and cell.
func (s *Server) Site() (name, kind string, zone, cell int) {
	return s.name, s.kind.Name, s.zone, s.cell
}

// Nearest is the most work that it was sent within the span while it was cold, over what it bears: above 1 it
// fell over.
func (s *Server) Nearest() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coldest
}

// Born is when its process, or the last one, started, from the experiment's start; 0 for long ago.
func (s *Server) Born() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born
}

// Up tells whether its process runs.
func (s *Server) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life != nil
}

func (l *life) rouse() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// gate waits until the process may go on, and tells whether it still lives.
func (l *life) gate() bool {
	l.mu.Lock()
	opened, shut := l.opened, l.shut
	l.mu.Unlock()
	if shut || opened == nil {
		return !shut
	}
	select {
	case <-opened:
		return l.gate()
	case <-l.over:
		return false
	}
}

func (l *life) block(still bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case still && l.opened == nil:
		l.opened = make(chan struct{})
	case !still && l.opened != nil:
		close(l.opened)
		l.opened = nil
	}
}

func (l *life) keep(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.shut {
		l.conns[c] = true
	}
	return !l.shut
}

func (l *life) drop(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	c.Close()
}

func (l *life) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shut {
		return
	}
	l.shut = true
	close(l.over)
	for _, ln := range l.lns {
		ln.Close()
	}
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset, as the kernel sends for a process that has died
		}
		c.Close()
	}
}
