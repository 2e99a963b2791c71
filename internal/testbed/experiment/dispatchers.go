package experiment

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"canvasroute/internal/testbed/history"
	"canvasroute/internal/testbed/loadgen"
	"canvasroute/internal/testbed/network"
)

// Timing of dispatcher starts, stops and restarts.
const (
	readyTimeout      = 15 * time.Second
	readyPollInterval = 20 * time.Millisecond
	stopTimeout       = 6 * time.Second
	removalDelay      = 300 * time.Millisecond // from SIGTERM to the removal from the front tier in a planned restart
	restartDelay      = 100 * time.Millisecond // from the exit of a process to the next start
	resumeGrace       = 250 * time.Millisecond // after a resume, during which delays still count as the outage
)

// openOutageEnd is the recorded end of an outage that lasts until the end of the experiment.
const openOutageEnd = time.Duration(1 << 62)

var errNotReady = errors.New("did not become ready")

// startDispatchers starts all dispatchers on free ports, and waits until all are ready. Networks and the front tier run
// until backgroundCtx ends. The error wraps errNotReady if another attempt may succeed.
func (env *environment) startDispatchers(ctx, backgroundCtx context.Context) error {
	settings := &env.plan.Dispatchers
	addrs, err := env.newProcesses()
	if err != nil {
		return err
	}
	if settings.Peers && settings.Count > 1 {
		peers, err := network.New(network.Peers, addrs.peers, env.peerConditions(), network.PlatformDatagramBytes, env.seed)
		if err != nil {
			return err
		}
		env.peers = peers // a later start attempt replaces the network; the previous one keeps running unused
		env.background.Go(func() error { return peers.Run(backgroundCtx) })
	}
	if settings.Recovery {
		if err := env.startLink(backgroundCtx, addrs.link); err != nil {
			return err
		}
	}
	var addresses []string
	for n := range settings.Count {
		addresses = append(addresses, env.listenAddrs[n].String())
		if err := env.launchDispatcher(n); err != nil {
			return err
		}
	}
	frontTier := loadgen.NewFrontTier(addresses, settings.FailureTimeout.Std())
	env.frontTier = frontTier
	env.background.Go(func() error { return frontTier.Run(backgroundCtx) })
	return env.awaitReady(ctx)
}

// datagramAddrs holds the addresses at which dispatchers receive datagrams, by dispatcher.
type datagramAddrs struct {
	peers []netip.AddrPort // from peers
	link  []netip.AddrPort // from other members of a fleet with persisted state
}

// newProcesses creates the processes of all dispatchers and assigns ports to them. It returns the datagram addresses.
func (env *environment) newProcesses() (addrs datagramAddrs, err error) {
	env.listenAddrs = nil
	env.processes = nil
	for n := range env.plan.Dispatchers.Count {
		var listen, peers, link, admin netip.AddrPort
		for _, addr := range []*netip.AddrPort{&listen, &peers, &link, &admin} {
			if *addr, err = freePort(); err != nil {
				return datagramAddrs{}, err
			}
		}
		p, err := newProcess(dispatcherName(n), env.folder, env.dispatcherCommand)
		if err != nil {
			return datagramAddrs{}, err
		}
		p.adminAddr = admin.String()
		env.processes = append(env.processes, p)
		env.listenAddrs = append(env.listenAddrs, listen)
		addrs.peers = append(addrs.peers, peers)
		addrs.link = append(addrs.link, link)
	}
	return addrs, nil
}

// peerConditions returns the conditions of the peer network that the plan configures, without faults.
func (env *environment) peerConditions() network.Conditions {
	d := &env.plan.Dispatchers
	return network.Conditions{Loss: d.PeerLoss, Delay: d.PeerDelay.Std(), Jitter: d.PeerJitter.Std()}
}

// launchDispatcher starts the process of one dispatcher. In the history, it records all workers as listed ready for the
// dispatcher until the discovery service sends another state, because the new process need not respect drains of which
// only the previous process was notified.
func (env *environment) launchDispatcher(n int) error {
	p := env.process(n)
	config, err := env.dispatcherConfig(n, p.adminAddr, env.plan.Dispatchers.MaxAttempts)
	if err != nil {
		return err
	}
	env.mu.Lock()
	workers := len(env.servers)
	env.mu.Unlock()
	for worker := range workers {
		env.history.NotificationSent(history.Notification{Dispatcher: n, Worker: worker, Ready: true, At: env.clock()})
	}
	return p.start(config)
}

// dispatcherConfig returns the configuration for a start or a reload of dispatcher n. Its endpoint list is the one from
// the time of a power loss while the dispatcher has no power, and the current list otherwise.
func (env *environment) dispatcherConfig(n int, adminAddr string, maxAttempts int) ([]byte, error) {
	addrs := dispatcherAddrs{
		listen:    env.listenAddrs[n].String(),
		admin:     adminAddr,
		discovery: env.discovery.Address(n),
	}
	if env.peers != nil {
		addrs.peers = env.peers.View(n)
	}
	plan := *env.plan
	plan.Dispatchers.MaxAttempts = maxAttempts
	env.mu.Lock()
	endpoints := env.endpointsAtPowerLoss[n]
	env.mu.Unlock()
	if endpoints == nil {
		endpoints = env.discovery.CompleteList(n)
	}
	return plan.dispatcherConfig(n, dispatcherSeed(env.seed, n, env.process(n).incarnations), addrs, endpoints)
}

// process returns the serving process of dispatcher n.
func (env *environment) process(n int) *process {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.processes[n]
}

// awaitReady waits until the front tier has all dispatchers in rotation. It returns an error that wraps errNotReady if
// a process exits or after readyTimeout.
func (env *environment) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for !env.frontTier.IsReady() {
		for _, p := range env.processes {
			if !p.isRunning() {
				return fmt.Errorf("%s %w: see its log %s", p.name, errNotReady, p.log.Name())
			}
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("dispatchers %w within %v", errNotReady, readyTimeout)
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// restartDispatcher stops dispatcher n in the same way as the platform does for a planned restart, and starts it again.
func (env *environment) restartDispatcher(ctx context.Context, n int) {
	p, start := env.process(n), env.clock()
	if !p.isRunning() {
		return
	}
	removal := time.AfterFunc(removalDelay, func() { env.frontTier.Remove(n) })
	defer removal.Stop()
	env.recordFailure(p.stop(stopTimeout))
	env.frontTier.Remove(n)
	time.Sleep(restartDelay)
	if ctx.Err() != nil {
		return
	}
	env.recordFailure(env.launchDispatcher(n))
	env.history.AddOutage(history.Outage{Dispatcher: n, Planned: true, Start: start, End: env.clock()})
}

// recordOutageStart records the start of an unplanned outage of dispatcher n.
func (env *environment) recordOutageStart(n int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.downSince[n] = env.clock()
}

// recordOutageEnd records the end of an unplanned outage of dispatcher n, if one has started.
func (env *environment) recordOutageEnd(n int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if start, isDown := env.downSince[n]; isDown {
		env.history.AddOutage(history.Outage{Dispatcher: n, Start: start, End: env.clock() + resumeGrace})
		delete(env.downSince, n)
	}
}

// stopProcesses stops all running processes, and kills those that do not exit within the timeout.
func (env *environment) stopProcesses(timeout time.Duration) {
	var ending sync.WaitGroup
	for _, p := range env.processes {
		ending.Go(func() {
			if p.isRunning() {
				env.recordFailure(p.stop(timeout))
			}
			p.log.Close()
		})
	}
	ending.Wait()
}
