package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Bounds on the shutdown after SIGTERM or SIGINT.
const (
	// acceptAfterStop is how long new connections are still accepted: clients learn of the end with some delay.
	acceptAfterStop = 500 * time.Millisecond
	// maxDrain bounds the longest client timeout that the shutdown waits for. The platform sends SIGKILL no sooner
	// than 3 s, or 700 ms after the longest client timeout.
	maxDrain = 3 * time.Second
	// drainMargin is waited beyond the longest client timeout.
	drainMargin = 450 * time.Millisecond
	// closeMargin is how long after the last response is due clients may take to read it.
	closeMargin = 100 * time.Millisecond
)

// signals holds the signals that have arrived and are not handled yet, at most one of each kind: a second one of a kind
// asks for nothing new, and many of one kind do not displace another kind.
type signals struct {
	logCounters chan os.Signal // SIGUSR1
	reload      chan os.Signal // SIGHUP
	stop        chan os.Signal // SIGTERM, SIGINT
}

func newSignals() *signals {
	return &signals{
		logCounters: make(chan os.Signal, 1),
		reload:      make(chan os.Signal, 1),
		stop:        make(chan os.Signal, 1),
	}
}

// notifySignals receives the process's signals from now on, until close.
func notifySignals() *signals {
	s := newSignals()
	signal.Notify(s.logCounters, syscall.SIGUSR1)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	return s
}

func (s *signals) close() {
	signal.Stop(s.logCounters)
	signal.Stop(s.reload)
	signal.Stop(s.stop)
}

// handleSignals handles one signal after the other until the first one to stop, until a part of the process has failed,
// or until working ends. stopAccepting ends the accepting of clients' connections.
func (p *process) handleSignals(failed, working context.Context, stopAccepting context.CancelFunc) error {
	for {
		select {
		case <-working.Done():
			return nil
		case <-failed.Done():
			stopAccepting()
			return nil
		case <-p.signals.logCounters:
			p.proxy.LogCounters("asked")
		case <-p.signals.reload:
			p.reload()
		case s := <-p.signals.stop:
			p.log.Info().Str("signal", s.String()).Msg("draining")
			p.drain(failed)
			stopAccepting()
			return nil
		}
	}
}

// drain begins the end of the process: requests in flight end within bounds, or go on at a successor. It returns when
// no more connections are to be accepted.
func (p *process) drain(failed context.Context) {
	within := min(p.config.MaxClientTimeout, maxDrain) + drainMargin
	p.state.Stop(time.Now())
	p.server.CloseAllAfter(within + closeMargin)
	// Requests that a successor takes over are not bound by this process's end. The bound is set after they have had
	// time to go, for those that are left.
	exported := p.restart.exportRequests()
	if !exported {
		p.proxy.StopWithin(within)
	}
	select {
	case <-time.After(acceptAfterStop):
	case <-failed.Done():
	}
	if exported {
		p.proxy.StopWithin(within - acceptAfterStop)
	}
}
