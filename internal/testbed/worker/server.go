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

// Server is a worker with TCP listeners. It has a listener for each dispatcher, to identify the sender of an attempt.
type Server struct {
	fleet *Fleet
	index int
	name  string
	kind  Kind
	zone  int // index
	cell  int // index

	mu            sync.Mutex
	current       *incarnation  // nil while the worker is down
	incarnations  int           // number of processes started so far
	startedAt     time.Duration // see StartedAt
	addresses     []string      // by dispatcher; "" before the first start
	speed         float64       // factor of the normal speed
	muted         bool          // jobs that start while this is set report neither progress nor results
	maxWarmupLoad float64       // see MaxWarmupLoad
}

// Start starts a process that warms up, unless one is running. The process listens on the addresses of the previous
// process. An address that is in use is replaced by a new one.
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

// StartWarm is like Start, but the process has its full capacity from the start.
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

// startProcess starts a process with a new machine. It returns an error if the process cannot listen. The caller holds
// the lock.
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
		s.fleet.goroutines.Go(func() { s.acceptConns(ln, dispatcher, process) })
	}
	s.fleet.goroutines.Go(func() { s.runTimer(process) })
	return nil
}

// listen listens on an address, or on a new one if the address is empty or in use.
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

// acceptConns accepts connections from a dispatcher until the process ends.
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
		s.fleet.goroutines.Go(func() { s.serveConn(conn, dispatcher, process) })
	}
}

// idleTimerWait is the wait of the timer goroutine if the machine has no next event.
const idleTimerWait = time.Hour

// runTimer advances the machine at the time of each event until the process ends.
func (s *Server) runTimer(process *incarnation) {
	timer := time.NewTimer(idleTimerWait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.deliverEvents(process, process.machine.Advance(s.fleet.clock()))
		nextAt, found := process.machine.NextEvent()
		s.mu.Unlock()
		wait := idleTimerWait
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

// deliverEvents records events and sends response lines to their exchanges. The caller holds the lock.
func (s *Server) deliverEvents(process *incarnation, events []Event) {
	for _, event := range events {
		accepted := process.exchanges[event.ID]
		if accepted == nil {
			continue
		}
		switch event.Kind {
		case Started:
			s.fleet.history.AttemptStarted(accepted.attempt, s.fleet.clock())
			if s.fleet.config.StartNotes {
				accepted.lines <- responseLine{state: stateStarted}
			}
			accepted.muted = s.muted
		case Halfway:
			if s.fleet.config.Progress && !accepted.muted {
				accepted.lines <- responseLine{state: stateRunning}
			}
		case Finished, Deduplicated:
			delete(process.exchanges, event.ID)
			s.deliverResult(accepted, event)
		}
	}
}

// deliverResult sends the result of a job to its exchange, unless the exchange is muted. The caller holds the lock.
func (s *Server) deliverResult(accepted *exchange, event Event) {
	if accepted.muted {
		s.fleet.history.AttemptEnded(accepted.attempt, history.NeverReported, event.Result, s.fleet.clock())
		return
	}
	if event.Kind == Deduplicated {
		s.fleet.history.AttemptEnded(accepted.attempt, history.Deduplicated, event.Result, s.fleet.clock())
	}
	accepted.lines <- responseLine{state: stateDone, result: event.Result, isLast: true}
}

// maxReportedJobs is the maximum number of recent jobs that the report of an overload lists.
const maxReportedJobs = 12

// maxLines is the capacity of an exchange's line channel. No exchange has more lines, so that sending never blocks.
const maxLines = 4

// errDeclined is returned if the worker is full or draining, or has another attempt of the same request.
var errDeclined = errors.New("declined")

// errProcessEnded is returned if the worker's process has ended, or if the offered job has crashed it by overload.
var errProcessEnded = errors.New("process has ended")

// offerJob offers a job to the machine. It returns errDeclined or errProcessEnded if the job was not accepted.
func (s *Server) offerJob(job Job, attempt *history.Attempt, process *incarnation) (*exchange, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != process {
		return nil, errProcessEnded
	}
	if process.exchanges[job.ID] != nil {
		return nil, errDeclined
	}
	accepted := &exchange{lines: make(chan responseLine, maxLines), attempt: attempt}
	process.exchanges[job.ID] = accepted
	result := process.machine.Offer(s.fleet.clock(), job)
	if result.Verdict != Accepted {
		delete(process.exchanges, job.ID)
	}
	s.deliverEvents(process, result.Events)
	if result.Budget > 0 {
		s.maxWarmupLoad = max(s.maxWarmupLoad, result.SentWork.Seconds()/result.Budget.Seconds())
	}
	switch result.Verdict {
	case Declined:
		return nil, errDeclined
	case Overloaded:
		s.crashOverloaded(job.ID, attempt.Dispatcher, result, process.machine)
		return nil, errProcessEnded
	}
	process.wakeTimer()
	return accepted, nil
}

// newJob returns the job of a task. The key has no effect if the operation is not deduplicated.
func (s *Server) newJob(id, key string, task Task) Job {
	newJob := Job{ID: id, Key: key, Work: time.Duration(task.WorkUs) * time.Microsecond}
	if key != "" {
		newJob.Group = s.fleet.dedupGroup(task.Operation, s)
	}
	return newJob
}

// crashOverloaded records the overload of a worker that was sent more work than its warm-up budget, and crashes it. The
// caller holds the lock.
func (s *Server) crashOverloaded(id string, dispatcher int, result OfferResult, machine *Machine) {
	s.fleet.history.WorkerOverloaded(history.Overload{
		Worker:     s.index,
		Dispatcher: dispatcher,
		ID:         id,
		At:         s.fleet.clock(),
		SentWork:   result.SentWork,
		Budget:     result.Budget,
		RecentJobs: machine.DescribeRecentJobs(maxReportedJobs),
	})
	s.crashLocked()
	if s.fleet.onOverload != nil {
		go s.fleet.onOverload(s.index)
	}
}

// cancelJob removes a job whose attempt was cancelled by the dispatcher.
func (s *Server) cancelJob(id string, accepted *exchange, process *incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.history.AttemptEnded(accepted.attempt, history.Abandoned, "", s.fleet.clock())
	if s.current == process && process.exchanges[id] == accepted {
		delete(process.exchanges, id)
		s.deliverEvents(process, process.machine.Cancel(s.fleet.clock(), id))
		process.wakeTimer()
	}
}

// Addresses returns the addresses that the worker listens on, by dispatcher.
func (s *Server) Addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.addresses...)
}

// Identity holds the constant properties of a worker.
type Identity struct {
	Name string
	Kind string // name of the kind
	Zone int    // index
	Cell int    // index
}

// Identity returns the worker's name, kind, zone and cell.
func (s *Server) Identity() Identity {
	return Identity{Name: s.name, Kind: s.kind.Name, Zone: s.zone, Cell: s.cell}
}

// MaxWarmupLoad returns the highest ratio of the work sent within the overload span to the warm-up budget. Above 1,
// the worker has crashed.
func (s *Server) MaxWarmupLoad() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxWarmupLoad
}

// StartedAt returns the start time of the current or last process, since the start of the experiment. It returns 0 if
// the process started warm.
func (s *Server) StartedAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedAt
}

// IsRunning reports whether the worker has a running process.
func (s *Server) IsRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current != nil
}
