package worker

import (
	"net"
	"syscall"
	"time"

	"canvasroute/internal/testbed/history"
)

// What the faults of an experiment do to a worker.

// Crash ends the process at once. Its connections are reset, and new ones are refused.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

// crash does what Crash does. The caller holds the lock.
func (s *Server) crash() {
	process := s.current
	if process == nil {
		return
	}
	s.current = nil
	process.machine.Stop()
	for _, accepted := range process.exchanges {
		s.fleet.history.AttemptEnded(accepted.attempt, history.Crashed, "", s.fleet.clock())
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
		if accepted := process.exchanges[id]; accepted != nil {
			delete(process.exchanges, id)
			accepted.lines <- line{state: stateReturned, last: true}
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

// Pause pauses the process, if one runs: it neither works nor reads nor writes until Resume.
func (s *Server) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if process := s.current; process != nil {
		s.deliver(process, process.machine.SetSpeed(s.fleet.clock(), 0))
		process.pause()
		process.wakeUp()
	}
}

// Resume ends a pause.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if process := s.current; process != nil {
		s.deliver(process, process.machine.SetSpeed(s.fleet.clock(), s.speed))
		process.resume()
		process.wakeUp()
	}
}

// Partition cuts the process, if one runs, off the network until Heal. It works, but nothing passes on open connections
// and new ones are not established.
func (s *Server) Partition() {
	s.mu.Lock()
	defer s.mu.Unlock()
	process := s.current
	if process == nil {
		return
	}
	process.pause()
	for _, ln := range process.listeners {
		setBacklog(ln, 0)
		s.fleet.running.Go(func() { process.fillBacklog(ln) })
	}
}

// Heal ends a partition.
func (s *Server) Heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	process := s.current
	if process == nil {
		return
	}
	process.resume()
	for _, ln := range process.listeners {
		setBacklog(ln, syscall.SOMAXCONN)
	}
}

// setBacklog sets how many connections the kernel establishes before they are accepted.
func setBacklog(ln net.Listener, length int) {
	if raw, err := ln.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), length) }) // fails only for a closed listener
	}
}

// backlogFillers is the number of connections that fill a backlog of 0. It holds one, and the accepting goroutine
// another.
const backlogFillers = 2

// fillTimeout bounds how long the establishment of a connection that fills the backlog may take.
const fillTimeout = 100 * time.Millisecond

// fillBacklog occupies the backlog, so that no connection is established until the partition heals.
func (p *incarnation) fillBacklog(ln net.Listener) {
	for range backlogFillers {
		if conn, err := net.DialTimeout("tcp", ln.Addr().String(), fillTimeout); err == nil {
			defer conn.Close()
		}
	}
	p.waitWhilePaused()
}

// Mute makes the worker report nothing about jobs that start from now on, until Unmute.
func (s *Server) Mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = true
}

// Unmute makes the worker report about jobs that start from now on.
func (s *Server) Unmute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = false
}
