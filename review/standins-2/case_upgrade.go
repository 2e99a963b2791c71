package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// upgradeLoad is the load of upgradeCase.
type upgradeLoad struct {
	clients  int
	body     string
	work     time.Duration
	deadline time.Duration
	workers  int
}

// upgradeCase: under load the dispatcher is upgraded several times. Clients send one request at a time and keep their
// connections.
func upgradeCase(env *environment) ([]string, error) {
	l := upgradeLoad{
		clients: 300, body: strings.Repeat("b", 24_000), work: 600 * time.Millisecond, deadline: 3 * time.Second, workers: 12,
	}
	const upgrades, memoryMB, enough = 45, 64, 2
	d, err := startDiscovery(env)
	if err != nil {
		return nil, err
	}
	workers, err := startWorkers(env, d, l.workers, runFor(l.work))
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
		ops := []operation{{name: "status", repeat: "idempotent", aimS: 1, timeS: l.deadline.Seconds()}}
		p, err := env.startDispatcher(dispatcherConfig{
			name: "n0", listen: listen, discovery: d.address, admin: admin, tmp: tmp, settings: newSettings(0, 1, "subscribe", ops),
			memoryMB: memoryMB,
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
	var unanswered sync.Map // ids of the requests without a whole answer in time, with a description
	var stop atomic.Bool
	var clients sync.WaitGroup
	for range l.clients {
		clients.Go(func() { restingClient(env, listen, l, &stop, &unanswered) })
	}
	time.Sleep(2 * time.Second)
	breaks := func() (breaks []string) {
		for _, w := range workers {
			for _, j := range w.received() {
				if text, lost := unanswered.Load(j.id); lost {
					breaks = append(breaks, fmt.Sprintf("%s, which %s received at %.3f, %s", j.id, w.name, env.seconds(j.complete), text))
				}
			}
		}
		return breaks
	}
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

// upgrade starts a new process, waits until it says yes, and ends the old one as the pages say.
func upgrade(env *environment, old *dispatcher, start func() (*dispatcher, string, error)) (*dispatcher, error) {
	next, admin, err := start()
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(6 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if reply, err := call(admin, "HEALTH"); err == nil && strings.HasPrefix(reply, "done") {
			break
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("the new process does not say yes")
		}
	}
	env.note("the new process says yes, SIGTERM to the old one")
	old.signal(syscall.SIGTERM)
	select {
	case <-old.exited:
		env.note("the old process has ended: %v", old.command.ProcessState)
	case <-time.After(3700 * time.Millisecond):
		env.note("SIGKILL to the old process")
		old.kill()
	}
	return next, nil
}

// restingClient sends requests one after the other on a connection that it keeps, until stop is set.
func restingClient(env *environment, address string, l upgradeLoad, stop *atomic.Bool, unanswered *sync.Map) {
	const slack = 500*time.Millisecond + 50*time.Millisecond + 100*time.Millisecond
	var conn net.Conn
	var reader *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for !stop.Load() {
		if conn == nil {
			c, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			conn, reader = c, bufio.NewReader(c)
		}
		r := request{id: newID(), kind: "status", deadline: l.deadline, body: l.body}
		sentAt := time.Now()
		conn.SetDeadline(sentAt.Add(l.deadline + slack))
		_, err := conn.Write(r.bytes())
		a := answer{err: err, at: time.Now()}
		if err == nil {
			a = readAnswer(reader)
		}
		env.noteAt(a.at, "client: %s sent at %.3f, status %d, error %v", r.id, env.seconds(sentAt), a.status, a.err)
		if a.status == 0 {
			text := fmt.Sprintf("got no answer: sent at %.3f, ended after %.3f s: %v", env.seconds(sentAt), a.at.Sub(sentAt).Seconds(), a.err)
			unanswered.Store(r.id, text)
		}
		if a.status == 0 || a.closes {
			conn.Close()
			conn = nil
		}
		if a.refused() {
			time.Sleep(200 * time.Millisecond)
		}
	}
}
