package proxy

import (
	"errors"
	"fmt"
	"time"
)

// errNotReady is the error of a process that should get no new clients.
var errNotReady = errors.New("takes no clients")

// Ready returns nil while this process should get new clients, or else an error that says why not.
func (p *Proxy) Ready() error {
	if phase := p.lifecycle.PhaseAt(time.Now()); !phase.TakesClients() {
		return fmt.Errorf("%w: %v", errNotReady, phase)
	}
	return p.workersAvailable()
}

// healthy reports whether load balancers should send clients to this dispatcher. During a hot restart, either of its
// processes may serve them.
func (p *Proxy) healthy() bool {
	return p.workersAvailable() == nil && p.lifecycle.PhaseAt(time.Now()).Healthy()
}

// workersAvailable returns nil while there are workers to send to, or else an errNotReady that says why not.
func (p *Proxy) workersAvailable() error {
	switch {
	case !p.discovery.FirstPollDone():
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
