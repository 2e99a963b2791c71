package proxy

import (
	"errors"
	"fmt"
	"time"
)

// errNotReady is wrapped by the errors of a process that must not receive new clients.
var errNotReady = errors.New("takes no clients")

// Ready returns nil if this process may receive new clients, and an error with the reason otherwise.
func (p *Proxy) Ready() error {
	if phase := p.lifecycle.PhaseAt(time.Now()); !phase.AcceptsNewClients() {
		return fmt.Errorf("%w: %v", errNotReady, phase)
	}
	return p.checkCanServe()
}

// isHealthy reports whether load balancers may send clients to this dispatcher. During a hot restart, either of its two
// processes may serve them.
func (p *Proxy) isHealthy() bool {
	return p.checkCanServe() == nil && p.lifecycle.PhaseAt(time.Now()).Healthy()
}

// checkCanServe returns nil if there are workers to send requests to and Recovery, if there is one, is ready. Otherwise
// it returns an error that wraps errNotReady and includes the reason.
func (p *Proxy) checkCanServe() error {
	switch {
	case !p.discovery.FirstPollWaitEnded():
		return fmt.Errorf("%w: no list of workers yet", errNotReady)
	case !p.endpoints.HasWorkers():
		return fmt.Errorf("%w: no worker is listed", errNotReady)
	}
	if p.config.Recovery != nil {
		if err := p.config.Recovery.Ready(); err != nil {
			return fmt.Errorf("%w: %w", errNotReady, err)
		}
	}
	return nil
}
