package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// leaversCase: under load the dispatcher is upgraded several times. Some clients leave before they have an answer.
func leaversCase(env *environment) ([]string, error) {
	l := upgradeLoad{
		clients: 300, body: strings.Repeat("b", 60_000), work: 300 * time.Millisecond, deadline: 3 * time.Second, workers: 6,
	}
	const upgrades, enough, slots = 20, 10, 3
	var rooms sync.Map // by worker: a channel with a place for each job that runs
	run := func(w *worker, j job, say func(string, ...any)) {
		room, _ := rooms.LoadOrStore(w.name, make(chan struct{}, slots))
		room.(chan struct{}) <- struct{}{}
		defer func() { <-room.(chan struct{}) }()
		runFor(l.work)(w, j, say)
	}
	d, err := startDiscovery(env)
	if err != nil {
		return nil, err
	}
	workers, err := startWorkers(env, d, l.workers, run)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	tmp := filepath.Join(env.folder, "shared-tmp")
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return nil, err
	}
	start := func() (*dispatcher, string, error) {
		admin, err := freeAddress()
		if err != nil {
			return nil, "", err
		}
		ops := []operation{{name: "confirm", repeat: "at_most_once", aimS: 2, timeS: l.deadline.Seconds()}}
		p, err := env.startDispatcher(dispatcherConfig{
			name: "n0", listen: listen, discovery: d.address, admin: admin, tmp: tmp, settings: newSettings(0, 1, "subscribe", ops),
		})
		return p, admin, err
	}
	p, _, err := start()
	if err != nil {
		return nil, err
	}
	if err := p.awaitHealthy(20 * time.Second); err != nil {
		return nil, err
	}
	var leftAt sync.Map // by id: when the client had closed its connection
	var stop atomic.Bool
	var clients sync.WaitGroup
	for range l.clients {
		clients.Go(func() { impatientClient(env, listen, l, &stop, &leftAt) })
	}
	breaks := func() (breaks []string) {
		const limit = 100*time.Millisecond + 50*time.Millisecond + 50*time.Millisecond
		for _, w := range workers {
			for _, j := range w.received() {
				left, gone := leftAt.Load(j.id)
				if gone && j.begun.Sub(left.(time.Time)) > limit {
					breaks = append(breaks, fmt.Sprintf("%s began at %s %.3f s after its client had left at %.3f", j.id, w.name,
						j.begun.Sub(left.(time.Time)).Seconds(), env.seconds(left.(time.Time))))
				}
			}
		}
		return breaks
	}
	time.Sleep(2 * time.Second)
	for n := 0; n < upgrades && len(breaks()) < enough; n++ {
		if env.trouble {
			if p, err = upgrade(env, p, start); err != nil {
				return nil, err
			}
		}
		time.Sleep(700 * time.Millisecond)
	}
	stop.Store(true)
	clients.Wait()
	return breaks(), nil
}

// impatientClient sends requests, each on a new connection, until stop is set. It closes the connection when it has the
// answer, or has waited for 0.1 to 1.6 s.
func impatientClient(env *environment, address string, l upgradeLoad, stop *atomic.Bool, leftAt *sync.Map) {
	for !stop.Load() {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		r := request{id: newID(), kind: "confirm", deadline: l.deadline, body: l.body}
		sentAt := time.Now()
		conn.Write(r.bytes())
		conn.SetReadDeadline(sentAt.Add(time.Duration(100+rand.IntN(1500)) * time.Millisecond))
		a := readAnswer(bufio.NewReader(conn))
		conn.Close()
		closedAt := time.Now()
		if a.status == 0 {
			leftAt.Store(r.id, closedAt)
		}
		env.noteAt(closedAt, "client: %s sent at %.3f, status %d, closed, error %v", r.id, env.seconds(sentAt), a.status, a.err)
		if a.refused() {
			time.Sleep(100 * time.Millisecond)
		}
	}
}
