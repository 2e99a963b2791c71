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
			env.applyAction(ctx, action)
		case <-ctx.Done():
			return
		}
	}
}

// applyAction applies one action. Actions that take long run in the background, and applyAction does not wait for them.
func (env *environment) applyAction(ctx context.Context, action fault.Action) {
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
		env.cutPower(action.Targets)
	case fault.PowerRestore:
		env.restorePower(ctx, action)
	case fault.DispatcherKill, fault.DispatcherStart, fault.DispatcherPause, fault.DispatcherResume,
		fault.DispatcherRestart:
		for _, n := range action.Targets {
			env.applyToDispatcher(ctx, action.Kind, n)
		}
	case fault.DispatcherLeave, fault.DispatcherJoin, fault.DispatcherUpgrade, fault.DispatcherReconfigure,
		fault.ClientsIdle, fault.ClientsTrickle:
		env.applyOperatorAction(ctx, action)
	default:
		for _, n := range action.Targets {
			env.applyToWorker(action, n)
		}
	}
}

// applyToDiscovery sets the lag or the outage of the discovery service.
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

// applyToPeers sets the loss or the partition of the network between dispatchers. It does nothing if peers are off.
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

// addWorkers starts additional workers of the first kind. They start cold and warm up.
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
			env.publishWorker(n, discoveryserver.Gone)
		}
	case fault.WorkerRestart:
		if !server.IsRunning() {
			env.recordFailure(server.Start())
			env.publishWorker(n, discoveryserver.Ready)
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
			env.publishWorker(n, discoveryserver.Terminating)
		}
	}
}

// combinedSpeed records the speed factor that one fault applies to worker n, and returns the product of the factors of
// all faults.
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
		env.recordOutageStart(n)
		p.kill()
	case fault.DispatcherPause:
		env.recordOutageStart(n)
		p.pause()
	case fault.DispatcherResume:
		p.resume()
		env.recordOutageEnd(n)
	case fault.DispatcherStart:
		if !p.isRunning() {
			env.recordFailure(env.launchDispatcher(n))
			env.recordOutageEnd(n)
		}
	case fault.DispatcherRestart:
		env.actions.Go(func() { env.restartDispatcher(ctx, n) })
	}
}
