package main

import "time"

// restartCase: lists are pushed. A dispatcher is killed, a worker begins to drain, and the dispatcher is started again
// with the list that it had. Discovery is slow in that time.
func restartCase(env *environment) ([]string, error) {
	const callWait = 1600 * time.Millisecond
	d, err := startDiscovery(env)
	if err != nil {
		return nil, err
	}
	workers, err := startWorkers(env, d, 4, runFor(20*time.Millisecond))
	if err != nil {
		return nil, err
	}
	fleet, err := startFleet(env, d, 2, "automatic", lookup)
	if err != nil {
		return nil, err
	}
	stop := load(env, fleet, 50*time.Millisecond, lookup[0].name, 0)
	time.Sleep(time.Second)
	stop()
	known := d.whole()
	fleet[1].kill()
	env.note("dispatcher n1 killed")
	d.set(workers[1].listed("Terminating"))
	time.Sleep(time.Second)
	if env.trouble {
		d.become(slow, callWait)
	}
	told := time.Now()
	p, err := env.startDispatcher(dispatcherConfig{
		name: "n1", listen: fleet[1].listen, discovery: d.address, known: known,
		settings: newSettings(1, 2, "automatic", lookup),
	})
	if err != nil {
		return nil, err
	}
	if err := p.awaitHealthy(20 * time.Second); err != nil {
		return nil, err
	}
	env.note("dispatcher n1 says yes")
	stop = load(env, []*dispatcher{p}, 10*time.Millisecond, lookup[0].name, 0)
	time.Sleep(4 * time.Second)
	stop()
	return lateSends(env, workers[1], told), nil
}
