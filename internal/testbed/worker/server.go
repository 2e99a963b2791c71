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
	fleet *Fleet
	index int
	name  string
	kind  Kind
	zone  int // index
	cell  int // index

	mu            sync.Mutex
	current       *incarnation  // nil while it is down
	incarnations  int           // started so far
	startedAt     time.Duration // of the current or last process, since the start of the experiment; 0 if it started warm
	addresses     []string      // by dispatcher; "" before the first start
	speed         float64       // factor of the normal speed
	muted         bool          // jobs that start from now on are not reported
	maxWarmupLoad float64       // see MaxWarmupLoad
}

// Start starts a process that warms up, unless one runs. It listens on the addresses of the process before, or on new
// ones if those are taken.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		return nil
	}
	if err := s.startProcess(NewMachine); err != nil {
		return err
	}
	s.startedAt = s.fleet.clock()
	return nil
}

// StartWarm does what Start does, with a process that has its full capacity at once.
func (s *Server) StartWarm() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		return nil
	}
	if err := s.startProcess(NewWarmMachine); err != nil {
		return err
	}
	s.startedAt = 0
	return nil
}

// machineConstructor is the type of NewMachine and NewWarmMachine.
type machineConstructor func(kind Kind, warmup Warmup, now time.Duration, result func(id string) string) *Machine

// startProcess starts a process with a new machine. The caller holds the lock.
func (s *Server) startProcess(construct machineConstructor) error {
	number := s.incarnations
	result := func(id string) string { return fmt.Sprintf("%s by %s.%d", id, s.name, number) }
	process := &incarnation{
		number:    number,
		machine:   construct(s.kind, s.fleet.config.Warmup, s.fleet.clock(), result),
		exchanges: map[string]*exchange{},
		ended:     make(chan struct{}),
		wake:      make(chan struct{}, 1),
		conns:     map[net.Conn]bool{},
	}
	process.machine.SetSpeed(s.fleet.clock(), s.speed)
	for dispatcher, address := range s.addresses {
		ln, err := listen(address)
		if err != nil {
			process.close()
			return fmt.Errorf("worker %s: %w", s.name, err)
		}
		s.addresses[dispatcher] = ln.Addr().String()
		process.listeners = append(process.listeners, ln)
	}
	s.current = process
	s.incarnations++
	for dispatcher, ln := range process.listeners {
		s.fleet.running.Go(func() { s.acceptConns(ln, dispatcher, process) })
	}
	s.fleet.running.Go(func() { s.runTimer(process) })
	return nil
}

// listen listens on an address, or on a new one if it is empty or taken.
func listen(address string) (net.Listener, error) {
	if address != "" {
		if ln, err := net.Listen("tcp", address); err == nil {
			return ln, nil
		} else if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return net.Listen("tcp", "127.0.0.1:0")
}

// acceptConns accepts the connections of a dispatcher until the process ends.
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

// idleTimer is how long the timer waits while no event is due.
const idleTimer = time.Hour

// runTimer advances the machine when its next event is due, until the process ends.
func (s *Server) runTimer(process *incarnation) {
	timer := time.NewTimer(idleTimer)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.deliver(process, process.machine.Advance(s.fleet.clock()))
		nextAt, found := process.machine.NextEvent()
		s.mu.Unlock()
		wait := idleTimer
		if found {
			wait = max(nextAt-s.fleet.clock(), 0)
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
		accepted := process.exchanges[event.ID]
		if accepted == nil {
			continue
		}
		switch event.Kind {
		case Started:
			s.fleet.history.AttemptStarted(accepted.attempt, s.fleet.clock())
			if s.fleet.config.StartNotes {
				accepted.lines <- line{state: stateStarted}
			}
			accepted.muted = s.muted
		case Halfway:
			if s.fleet.config.Progress && !accepted.muted {
				accepted.lines <- line{state: stateRunning}
			}
		case Finished, Deduplicated:
			delete(process.exchanges, event.ID)
			s.deliverResult(accepted, event)
		}
	}
}

// deliverResult passes the result of a job to its exchange, unless the worker is muted. The caller holds the lock.
func (s *Server) deliverResult(accepted *exchange, event Event) {
	if accepted.muted {
		s.fleet.history.AttemptEnded(accepted.attempt, history.NeverReported, event.Result, s.fleet.clock())
		return
	}
	if event.Kind == Deduplicated {
		s.fleet.history.AttemptEnded(accepted.attempt, history.Deduplicated, event.Result, s.fleet.clock())
	}
	accepted.lines <- line{state: stateDone, result: event.Result, last: true}
}

// maxReportedJobs is how many recent jobs the report of an overload lists.
const maxReportedJobs = 12

// maxLines is the most lines that an exchange can have, so that writing to its channel never blocks.
const maxLines = 4

// errDeclined means that the worker is full or draining, or runs another attempt of the same request.
var errDeclined = errors.New("declined")

// errProcessEnded means that the worker's process has ended, perhaps because of the offered job.
var errProcessEnded = errors.New("process has ended")

// offer offers a job to the machine. It returns errDeclined or errProcessEnded if the job was not accepted.
func (s *Server) offer(job Job, attempt *history.Attempt, process *incarnation) (*exchange, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != process {
		return nil, errProcessEnded
	}
	if process.exchanges[job.ID] != nil {
		return nil, errDeclined
	}
	accepted := &exchange{lines: make(chan line, maxLines), attempt: attempt}
	process.exchanges[job.ID] = accepted
	result := process.machine.Offer(s.fleet.clock(), job)
	if result.Verdict != Accepted {
		delete(process.exchanges, job.ID)
	}
	s.deliver(process, result.Events)
	if result.Budget > 0 {
		s.maxWarmupLoad = max(s.maxWarmupLoad, result.SentWork.Seconds()/result.Budget.Seconds())
	}
	switch result.Verdict {
	case Declined:
		return nil, errDeclined
	case Overloaded:
		s.overload(job.ID, attempt.Dispatcher, result, process.machine)
		return nil, errProcessEnded
	}
	process.wakeUp()
	return accepted, nil
}

// job returns the job that a task stands for. A key of an operation that is not deduplicated has no effect.
func (s *Server) job(id, key string, task Task) Job {
	job := Job{ID: id, Key: key, Work: time.Duration(task.WorkUs) * time.Microsecond}
	if key != "" {
		job.Group = s.fleet.group(task.Operation, s)
	}
	return job
}

// overload crashes a worker that was sent more than its warm-up budget. The caller holds the lock.
func (s *Server) overload(id string, dispatcher int, result OfferResult, machine *Machine) {
	s.fleet.history.WorkerOverloaded(history.Overload{
		Worker:     s.index,
		Dispatcher: dispatcher,
		ID:         id,
		At:         s.fleet.clock(),
		SentWork:   result.SentWork,
		Budget:     result.Budget,
		RecentJobs: machine.HeaviestRecent(maxReportedJobs),
	})
	s.crash()
	if s.fleet.overloaded != nil {
		go s.fleet.overloaded(s.index)
	}
}

// abandon removes a job that its dispatcher has cancelled.
func (s *Server) abandon(id string, accepted *exchange, process *incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.history.AttemptEnded(accepted.attempt, history.Abandoned, "", s.fleet.clock())
	if s.current == process && process.exchanges[id] == accepted {
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

// Identity is what does not change about a worker.
type Identity struct {
	Name string
	Kind string // name of the kind
	Zone int    // index
	Cell int    // index
}

// Identity returns the worker's name, kind and place.
func (s *Server) Identity() Identity {
	return Identity{Name: s.name, Kind: s.kind.Name, Zone: s.zone, Cell: s.cell}
}

// MaxWarmupLoad returns the highest ratio of work sent within the overload span to the warm-up budget. Above 1 the worker
// crashed.
func (s *Server) MaxWarmupLoad() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxWarmupLoad
}

// StartedAt returns the start time of the current or last process since the start of the experiment. It is 0 for a
// process that started warm.
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
