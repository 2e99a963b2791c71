package worker

import (
	"net"
	"syscall"
	"time"

	"canvasroute/internal/testbed/history"
)

// This file implements the faults that an experiment injects into a worker.

// Crash ends the process immediately. Its connections are reset, and new connections are refused.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashLocked()
}

// crashLocked implements Crash. The caller holds the lock.
func (s *Server) crashLocked() {
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
	s.deliverEvents(process, events)
	for _, id := range unstarted {
		if accepted := process.exchanges[id]; accepted != nil {
			delete(process.exchanges, id)
			accepted.lines <- responseLine{state: stateReturned, isLast: true}
		}
	}
	process.wakeTimer()
}

// SetSpeed sets the worker's factor of the normal speed, for the current process and later ones.
func (s *Server) SetSpeed(speed float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speed = speed
	if process := s.current; process != nil {
		s.deliverEvents(process, process.machine.SetSpeed(s.fleet.clock(), speed))
		process.wakeTimer()
	}
}

// Pause pauses the process, if one is running: it neither runs jobs nor reads nor writes until Resume.
func (s *Server) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if process := s.current; process != nil {
		s.deliverEvents(process, process.machine.SetSpeed(s.fleet.clock(), 0))
		process.pause()
		process.wakeTimer()
	}
}

// Resume ends a pause.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if process := s.current; process != nil {
		s.deliverEvents(process, process.machine.SetSpeed(s.fleet.clock(), s.speed))
		process.resume()
		process.wakeTimer()
	}
}

// Partition disconnects the process, if one is running, from the network until Heal. Jobs continue to run, but no data
// is transferred on open connections and new connections are not established.
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
		s.fleet.goroutines.Go(func() { process.fillBacklog(ln) })
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

// setBacklog sets the number of connections that the kernel establishes before they are accepted.
func setBacklog(ln net.Listener, length int) {
	if raw, err := ln.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), length) }) // fails only if the listener is closed
	}
}

// backlogFillers is the number of connections that fill a backlog of 0. One is in the backlog, and another has been
// accepted by acceptConns, which blocks while the process is paused.
const backlogFillers = 2

// fillTimeout limits the time to establish a connection that fills the backlog.
const fillTimeout = 100 * time.Millisecond

// fillBacklog fills the backlog, so that no connection is established until the partition ends.
func (p *incarnation) fillBacklog(ln net.Listener) {
	for range backlogFillers {
		if conn, err := net.DialTimeout("tcp", ln.Addr().String(), fillTimeout); err == nil {
			defer conn.Close()
		}
	}
	p.waitWhilePaused()
}

// Mute makes the worker write neither the progress nor the results of jobs that start between Mute and Unmute.
func (s *Server) Mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = true
}

// Unmute ends the effect of Mute for jobs that start from now on.
func (s *Server) Unmute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = false
}
