package main

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the settings of coldCase, and of its workers.
const (
	coldFrom       = 0.07
	rampTime       = 24 * time.Second
	overloadFactor = 4.0
	fallTime       = 2 * time.Second
	meanWork       = 100 * time.Millisecond // every job has this work
	slotsPerWorker = 8
)

// pacedWorkers run as many jobs at once as they have slots, and keep the others in the order in which they came. A cold
// one runs them slowly, and falls over when it gets too much.
type pacedWorkers struct {
	env *environment

	mu     sync.Mutex
	slots  map[string]chan struct{}
	cold   string // name of the cold worker
	bornAt time.Time
	recent []time.Time // when the cold worker received a request, within fallTime
	fell   chan struct{}
	text   string // how it fell, "" before
	most   float64
	killed int // jobs that it had when it fell
}

// pace returns the share of its capacity that a worker has: for a cold one it grows evenly from its start.
func (p *pacedWorkers) pace(name string, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if name != p.cold {
		return 1
	}
	return p.coldPace(now)
}

func (p *pacedWorkers) coldPace(now time.Time) float64 {
	return min(1, coldFrom+(1-coldFrom)*now.Sub(p.bornAt).Seconds()/rampTime.Seconds())
}

// room returns the slots of a worker.
func (p *pacedWorkers) room(name string) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.slots[name] == nil {
		p.slots[name] = make(chan struct{}, slotsPerWorker)
	}
	return p.slots[name]
}

// receive counts a request that the cold worker receives. The worker falls when within fallTime it has got more than the
// page allows: N + 2 x root of N + 2 requests of mean work, N being what the settings allow it now.
func (p *pacedWorkers) receive(name string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if name != p.cold || p.text != "" {
		return
	}
	p.recent = append(p.recent, now)
	for now.Sub(p.recent[0]) >= fallTime {
		p.recent = p.recent[1:]
	}
	allowed := overloadFactor * p.coldPace(now) * slotsPerWorker * fallTime.Seconds() / meanWork.Seconds()
	limit := allowed + 2*math.Sqrt(allowed) + 2
	p.most = max(p.most, float64(len(p.recent))/limit)
	if float64(len(p.recent)) > limit {
		p.text = fmt.Sprintf("%s falls over %.2f s after its start: %d requests within %v, N is %.1f, with the slack %.1f",
			name, now.Sub(p.bornAt).Seconds(), len(p.recent), fallTime, allowed, limit)
		close(p.fell)
	}
}

// down reports whether a worker is down.
func (p *pacedWorkers) down(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return name == p.cold && p.text != ""
}

func (p *pacedWorkers) kill(w *worker, j job) {
	p.mu.Lock()
	p.killed++
	p.mu.Unlock()
	p.env.note("%s: %s ended with the worker", w.name, j.id)
	panic(http.ErrAbortHandler)
}

func (p *pacedWorkers) run(w *worker, j job, say func(string, ...any)) {
	if p.down(w.name) {
		panic(http.ErrAbortHandler)
	}
	p.receive(w.name, j.complete)
	var fell chan struct{}
	if p.pace(w.name, j.complete) < 1 {
		fell = p.fell
	}
	room := p.room(w.name)
	select {
	case room <- struct{}{}:
	case <-j.gone:
		return
	case <-fell:
		p.kill(w, j)
	}
	defer func() { <-room }()
	w.sayStarted(j, say)
	timer := time.NewTimer(time.Duration(float64(meanWork) / p.pace(w.name, time.Now())))
	defer timer.Stop()
	select {
	case <-timer.C:
		w.sayDone(j, say)
	case <-j.gone:
	case <-fell:
		p.kill(w, j)
	}
}

// peerNetwork carries the datagrams between dispatchers.
type peerNetwork struct {
	sockets  []*net.UDPConn // by position: the address under which the others know a dispatcher
	listens  []*net.UDPAddr // by position: where it listens
	dropping atomic.Bool
}

func newPeerNetwork(count int) (*peerNetwork, error) {
	n := &peerNetwork{}
	for range count {
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		listen, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			return nil, err
		}
		n.sockets = append(n.sockets, socket)
		n.listens = append(n.listens, listen)
	}
	for to := range n.sockets {
		go n.carry(to)
	}
	return n, nil
}

// carry passes on the datagrams to a dispatcher, from the address under which it knows their sender.
func (n *peerNetwork) carry(to int) {
	buffer := make([]byte, 512)
	for {
		length, sender, err := n.sockets[to].ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if n.dropping.Load() {
			continue
		}
		for from, listen := range n.listens {
			if listen.Port == sender.Port {
				n.sockets[from].WriteToUDP(buffer[:length], n.listens[to])
			}
		}
	}
}

func (n *peerNetwork) peers() (addresses []string) {
	for _, socket := range n.sockets {
		addresses = append(addresses, socket.LocalAddr().String())
	}
	return addresses
}

// coldCase: twenty-four dispatchers that exchange messages, ten warm workers, three quarters of their capacity asked for. For
// 6 s the dispatchers do not hear each other. In that time a new worker joins.
func coldCase(env *environment) ([]string, error) {
	const dispatchers, interval, cutFor = 24, 36 * time.Millisecond, 6 * time.Second
	d, err := startDiscovery(env)
	if err != nil {
		return nil, err
	}
	paced := &pacedWorkers{env: env, slots: map[string]chan struct{}{}, fell: make(chan struct{})}
	if _, err = startWorkers(env, d, 10, paced.run); err != nil {
		return nil, err
	}
	network, err := newPeerNetwork(dispatchers)
	if err != nil {
		return nil, err
	}
	var fleet []*dispatcher
	for n := range dispatchers {
		settings := newSettings(n, dispatchers, "subscribe", []operation{
			{name: "status", repeat: "idempotent", aimS: 0.3, timeS: 2},
			{name: "confirm", repeat: "at_most_once", aimS: 0.3, timeS: 2},
		})
		settings["policyLimits"].(object)["peers"] = true
		rules := settings["rules"].(object)
		rules["coldFrom"], rules["rampTimeS"] = coldFrom, rampTime.Seconds()
		rules["overloadFactor"], rules["fallS"] = overloadFactor, fallTime.Seconds()
		p, err := env.startDispatcher(dispatcherConfig{
			name: fmt.Sprintf("n%d", n), discovery: d.address, settings: settings, peerListen: network.listens[n].String(),
			peers: network.peers(),
		})
		if err != nil {
			return nil, err
		}
		fleet = append(fleet, p)
	}
	for _, p := range fleet {
		if err := p.awaitHealthy(20 * time.Second); err != nil {
			return nil, err
		}
	}
	stopStatus := load(env, fleet, interval, "status", 0)
	stopConfirm := load(env, fleet, 40*interval, "confirm", 0)
	time.Sleep(4 * time.Second)
	if env.trouble {
		network.dropping.Store(true)
		env.note("the dispatchers do not hear each other from now on")
	}
	time.Sleep(500 * time.Millisecond)
	if err := paced.join(d); err != nil {
		return nil, err
	}
	time.Sleep(cutFor - 500*time.Millisecond)
	network.dropping.Store(false)
	time.Sleep(3 * time.Second)
	stopStatus()
	stopConfirm()
	paced.mu.Lock()
	defer paced.mu.Unlock()
	env.say("the cold worker got at most %.2f of what it bears", paced.most)
	if paced.text == "" {
		return nil, nil
	}
	return []string{paced.text, fmt.Sprintf("%d jobs ended with it, unfinished", paced.killed)}, nil
}

// join starts a cold worker and lists it.
func (p *pacedWorkers) join(d *discovery) error {
	const name = "s-new"
	w, err := startWorker(p.env, name, p.run)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.cold, p.bornAt = name, time.Now()
	listed := w.listed("Ready")
	listed.Born = p.bornAt.UnixMilli()
	p.mu.Unlock()
	d.set(listed)
	return nil
}
