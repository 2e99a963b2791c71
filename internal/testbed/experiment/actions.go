package experiment

import (
	"context"
	"time"

	"canvasroute/internal/testbed/discoveryserver"
	"canvasroute/internal/testbed/fault"
	"canvasroute/internal/testbed/worker"
)

// applyTimeline applies the actions of a timeline, each at its time, until ctx ends.
func (env *environment) applyTimeline(ctx context.Context, actions []fault.Action) {
	for _, action := range actions {
		select {
		case <-time.After(max(action.At-env.clock(), 0)):
			env.apply(ctx, action)
		case <-ctx.Done():
			return
		}
	}
}

// apply applies one action. It does not wait for what takes long.
func (env *environment) apply(ctx context.Context, action fault.Action) {
	switch action.Kind {
	case fault.ListLag, fault.ListLagEnd, fault.ListDown, fault.ListUnavailable, fault.ListRecover:
		env.applyToDiscovery(action)
	case fault.LinkCut, fault.LinkHeal, fault.LinkLoss, fault.LinkRecover:
		env.applyToLink(action)
	case fault.PeersCut, fault.PeersLoss, fault.PeersRecover:
		env.applyToPeers(action)
	case fault.WorkerAdd:
		env.addWorkers(int(action.Value))
	case fault.PowerLoss:
		env.losePower(action.Targets)
	case fault.PowerReturn:
		env.returnPower(ctx, action)
	case fault.DispatcherKill, fault.DispatcherStart, fault.DispatcherPause, fault.DispatcherResume,
		fault.DispatcherRestart:
		for _, n := range action.Targets {
			env.applyToDispatcher(ctx, action.Kind, n)
		}
	case fault.DispatcherLeave, fault.DispatcherJoin, fault.DispatcherUpgrade, fault.DispatcherReconfigure,
		fault.ClientsIdle, fault.ClientsTrickle:
		env.applyOperators(ctx, action)
	default:
		for _, n := range action.Targets {
			env.applyToWorker(action, n)
		}
	}
}

// applyToDiscovery changes the discovery service's lag or outage.
func (env *environment) applyToDiscovery(action fault.Action) {
	switch action.Kind {
	case fault.ListLag:
		env.discovery.SetLag(action.Duration)
	case fault.ListLagEnd:
		env.discovery.SetLag(env.plan.Fleet.ListLag.Std())
	case fault.ListDown:
		env.discovery.SetOutage(discoveryserver.Down)
	case fault.ListUnavailable:
		env.discovery.SetOutage(discoveryserver.Unavailable)
	case fault.ListRecover:
		env.discovery.SetOutage(discoveryserver.Healthy)
	}
}

// applyToPeers changes the conditions of the network between dispatchers.
func (env *environment) applyToPeers(action fault.Action) {
	if env.peers == nil {
		return
	}
	conditions := env.peerConditions()
	switch action.Kind {
	case fault.PeersCut:
		conditions.Partitioned = true
	case fault.PeersLoss:
		conditions.Loss = action.Value
	}
	env.peers.SetConditions(conditions)
}

// addWorkers adds workers of the first kind, which have to warm up.
func (env *environment) addWorkers(count int) {
	for range count {
		env.mu.Lock()
		n := len(env.servers)
		env.mu.Unlock()
		env.recordFailure(env.addWorker(env.plan.place(n, 0), (*worker.Server).Start))
	}
}

// applyToWorker applies an action to worker n.
func (env *environment) applyToWorker(action fault.Action, n int) {
	server := env.server(n)
	switch action.Kind {
	case fault.WorkerCrash, fault.WorkerStop:
		if server.IsRunning() {
			server.Crash()
			env.publish(n, discoveryserver.Gone)
		}
	case fault.WorkerRestart:
		if !server.IsRunning() {
			env.recordFailure(server.Start())
			env.publish(n, discoveryserver.Ready)
		}
	case fault.WorkerSpeed:
		server.SetSpeed(env.combinedSpeed(n, action))
	case fault.WorkerPause:
		server.Pause()
	case fault.WorkerResume:
		server.Resume()
	case fault.WorkerMute:
		server.Mute()
	case fault.WorkerUnmute:
		server.Unmute()
	case fault.WorkerCut:
		server.Partition()
	case fault.WorkerHeal:
		server.Heal()
	case fault.WorkerDrain:
		if server.IsRunning() {
			server.Drain()
			env.publish(n, discoveryserver.Terminating)
		}
	}
}

// combinedSpeed sets the factor of one fault for worker n's speed, and returns the product of all faults' factors.
func (env *environment) combinedSpeed(n int, action fault.Action) float64 {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.speedFactors[n][action.Fault] = action.Value
	speed := 1.0
	for _, factor := range env.speedFactors[n] {
		speed *= factor
	}
	return speed
}

// applyToDispatcher applies an action to the process of dispatcher n.
func (env *environment) applyToDispatcher(ctx context.Context, kind fault.ActionKind, n int) {
	p := env.process(n)
	switch kind {
	case fault.DispatcherKill:
		env.dispatcherDown(n)
		p.kill()
	case fault.DispatcherPause:
		env.dispatcherDown(n)
		p.pause()
	case fault.DispatcherResume:
		p.resume()
		env.dispatcherUp(n)
	case fault.DispatcherStart:
		if !p.running() {
			env.recordFailure(env.launchDispatcher(n))
			env.dispatcherUp(n)
		}
	case fault.DispatcherRestart:
		env.actions.Go(func() { env.restart(ctx, n) })
	}
}
