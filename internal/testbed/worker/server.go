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

// Server is a worker on sockets. It has a listener for each dispatcher, so that it knows which one sends.
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

// Start starts a process, unless one runs. It listens on the addresses of the process before, or on new ones if those
// are taken.
func (s *Server) Start(warm bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		return nil
	}
	n := s.incarnations
	result := func(id string) string { return fmt.Sprintf("%s by %s.%d", id, s.name, n) }
	process := &incarnation{
		number: n, ended: make(chan struct{}), wake: make(chan struct{}, 1), conns: map[net.Conn]bool{},
		exchanges: map[string]*exchange{},
		machine:   NewMachine(s.kind, s.fleet.config.Warmup, s.fleet.clock(), warm, result),
	}
	process.machine.SetSpeed(s.fleet.clock(), s.speed)
	for d := range s.addresses {
		ln, err := listen(s.addresses[d])
		if err != nil {
			process.close()
			return fmt.Errorf("worker %s: %w", s.name, err)
		}
		s.addresses[d] = ln.Addr().String()
		process.listeners = append(process.listeners, ln)
	}
	s.current = process
	s.incarnations++
	if s.startedAt = s.fleet.clock(); warm {
		s.startedAt = 0
	}
	for d, ln := range process.listeners {
		s.fleet.running.Go(func() { s.acceptConns(ln, d, process) })
	}
	s.fleet.running.Go(func() { s.runTimer(process) })
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

func (s *Server) acceptConns(ln net.Listener, dispatcher int, process *incarnation) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		if !process.waitWhilePaused() || !process.addConn(conn) {
			conn.Close()
			return
		}
		s.fleet.running.Go(func() { s.serveConn(conn, dispatcher, process) })
	}
}

// runTimer advances the machine when its next event is due, until the process ends.
func (s *Server) runTimer(process *incarnation) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.deliver(process, process.machine.Advance(s.fleet.clock()))
		at, found := process.machine.NextEvent()
		s.mu.Unlock()
		wait := time.Hour
		if found {
			wait = max(at-s.fleet.clock(), 0)
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-process.wake:
		case <-process.ended:
			return
		}
	}
}

// deliver passes events to their exchanges. The caller holds the lock.
func (s *Server) deliver(process *incarnation, events []Event) {
	for _, event := range events {
		e := process.exchanges[event.ID]
		if e == nil {
			continue
		}
		switch event.Kind {
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
			delete(process.exchanges, event.ID)
			if e.muted {
				s.fleet.history.AttemptEnded(e.attempt, history.NeverReported, event.Result, s.fleet.clock())
				continue
			}
			if event.Kind == Deduplicated {
				s.fleet.history.AttemptEnded(e.attempt, history.Deduplicated, event.Result, s.fleet.clock())
			}
			e.lines <- line{state: "done", result: event.Result, last: true}
		}
	}
}

// maxReportedJobs is how many recent jobs the report of an overload lists.
const maxReportedJobs = 12

// maxLines is the most lines that an exchange can have, so that writing to its channel never blocks.
const maxLines = 4

// offer offers a job to the machine. The exchange is nil if the job was declined. ok is false if the process has ended,
// perhaps because of this job.
func (s *Server) offer(id, key string, task Task, attempt *history.Attempt, process *incarnation) (e *exchange, ok bool) {
	group := s.fleet.group(task.Operation, s)
	if key == "" {
		group = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != process {
		return nil, false
	}
	if process.exchanges[id] != nil { // a second attempt of the same request on one worker: the first goes on
		return nil, true
	}
	e = &exchange{lines: make(chan line, maxLines), attempt: attempt}
	process.exchanges[id] = e
	work := time.Duration(task.WorkUs) * time.Microsecond
	result := process.machine.Offer(s.fleet.clock(), Job{ID: id, Work: work, Key: key, Group: group})
	if result.Verdict != Accepted {
		delete(process.exchanges, id)
	}
	s.deliver(process, result.Events)
	if result.Budget > 0 {
		s.maxWarmupLoad = max(s.maxWarmupLoad, result.SentWork.Seconds()/result.Budget.Seconds())
	}
	switch result.Verdict {
	case Declined:
		return nil, true
	case Overloaded:
		s.overload(id, attempt.Dispatcher, result, process.machine)
		return nil, false
	}
	process.wakeUp()
	return e, true
}

// overload crashes a worker that was sent more than its warm-up budget. The caller holds the lock.
func (s *Server) overload(id string, dispatcher int, result OfferResult, machine *Machine) {
	s.fleet.history.WorkerOverloaded(history.Overload{
		Worker: s.index, Dispatcher: dispatcher, ID: id, At: s.fleet.clock(),
		SentWork: result.SentWork, Budget: result.Budget, RecentJobs: machine.HeaviestRecent(maxReportedJobs),
	})
	s.crash()
	if s.fleet.overloaded != nil {
		go s.fleet.overloaded(s.index)
	}
}

// abandon removes a job that its dispatcher has cancelled.
func (s *Server) abandon(id string, e *exchange, process *incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.history.AttemptEnded(e.attempt, history.Abandoned, "", s.fleet.clock())
	if s.current == process && process.exchanges[id] == e {
		delete(process.exchanges, id)
		s.deliver(process, process.machine.Cancel(s.fleet.clock(), id))
		process.wakeUp()
	}
}

// Addresses returns the addresses that the worker listens on, by dispatcher.
func (s *Server) Addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.addresses...)
}

// Location returns the worker's name and kind, and the indexes of its zone and cell.
func (s *Server) Location() (name, kind string, zone, cell int) {
	return s.name, s.kind.Name, s.zone, s.cell
}

// MaxWarmupLoad is the highest ratio of work sent within the warm-up span to the budget. Above 1 the worker crashed.
func (s *Server) MaxWarmupLoad() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxWarmupLoad
}

// StartedAt is the start time of the current or last process since the start of the experiment; 0 for a warm one.
func (s *Server) StartedAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedAt
}

// Running reports whether a process runs.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current != nil
}
