package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signals holds the received signals that have not been handled yet. Each action has a channel of its own, so that many
// signals for one action cannot displace a signal for another. A channel holds at most one signal, because a repeated
// signal requests nothing new.
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

// notifySignals starts receiving the signals of the process. close stops it.
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

// handleSignals handles signals sequentially, in the goroutine that owns the configuration. It returns after the first
// SIGTERM or SIGINT, when failureContext is done because a part of the process has failed, or when partsContext is done.
// stopAccepting stops the server from accepting client connections.
func (p *process) handleSignals(failureContext, partsContext context.Context, stopAccepting context.CancelFunc) error {
	for {
		select {
		case <-partsContext.Done():
			return nil
		case <-failureContext.Done():
			stopAccepting()
			return nil
		case <-p.signals.logCounters:
			p.proxy.LogCounters("asked")
		case <-p.signals.reload:
			p.reload()
		case s := <-p.signals.stop:
			p.log.Info().Str("signal", s.String()).Msg("draining")
			p.shutDown(failureContext)
			stopAccepting()
			return nil
		}
	}
}
