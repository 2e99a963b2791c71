package worker

import (
	"net"
	"syscall"
	"time"

	"canvasroute/internal/testbed/history"
)

// What the faults of an experiment do to a worker.

// Crash ends the process at once: connections are reset, new ones are refused.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

func (s *Server) crash() {
	process := s.current
	if process == nil {
		return
	}
	s.current = nil
	process.machine.Stop()
	for _, e := range process.exchanges {
		s.fleet.history.AttemptEnded(e.attempt, history.Crashed, "", s.fleet.clock())
	}
	process.close()
}

// Drain makes the worker decline new attempts and return unstarted ones.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	process := s.current
	if process == nil {
		return
	}
	events, unstarted := process.machine.Drain(s.fleet.clock())
	s.deliver(process, events)
	for _, id := range unstarted {
		if e := process.exchanges[id]; e != nil {
			delete(process.exchanges, id)
			e.lines <- line{state: "returned", last: true}
		}
	}
	process.wakeUp()
}

// SetSpeed sets the worker's factor of the normal speed, also for later processes.
func (s *Server) SetSpeed(speed float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speed = speed
	if process := s.current; process != nil {
		s.deliver(process, process.machine.SetSpeed(s.fleet.clock(), speed))
		process.wakeUp()
	}
}

// Pause pauses or resumes the process: while paused it neither works nor reads nor writes.
func (s *Server) Pause(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	process := s.current
	if process == nil {
		return
	}
	speed := s.speed
	if paused {
		speed = 0
	}
	s.deliver(process, process.machine.SetSpeed(s.fleet.clock(), speed))
	process.setPaused(paused)
	process.wakeUp()
}

// Partition cuts the worker off the network or heals that: it works, but open connections carry nothing and new ones are
// not established.
func (s *Server) Partition(partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	process := s.current
	if process == nil {
		return
	}
	process.setPaused(partitioned)
	for _, ln := range process.listeners {
		if !partitioned {
			setBacklog(ln, syscall.SOMAXCONN)
			continue
		}
		setBacklog(ln, 0)
		s.fleet.running.Go(func() { process.fillBacklog(ln) })
	}
}

// setBacklog sets how many connections the kernel establishes before they are accepted.
func setBacklog(ln net.Listener, length int) {
	if raw, err := ln.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), length) }) // fails only for a closed listener
	}
}

// backlogFillers connections fill a backlog of 0, which holds one, and the accepting goroutine, which holds another.
const backlogFillers = 2

// fillBacklog occupies the backlog, so that no connection is established until the partition heals.
func (l *incarnation) fillBacklog(ln net.Listener) {
	for range backlogFillers {
		if c, err := net.DialTimeout("tcp", ln.Addr().String(), 100*time.Millisecond); err == nil {
			defer c.Close()
		}
	}
	l.waitWhilePaused()
}

// Mute makes the worker report nothing about jobs that start from now on, or ends that.
func (s *Server) Mute(muted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = muted
}
