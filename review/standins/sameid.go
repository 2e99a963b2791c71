package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Times of the case "same-id".
const (
	sameIDRounds = 8
	// copyAfter is the time from a client's request to another client's request with the same id.
	copyAfter = 5 * time.Millisecond
)

// runSameID upgrades a dispatcher while clients use their open connections. A client sends a request that must never run
// twice on its open connection, which the old process serves. A bad client connects, and sends the id of that open
// request. The rule is broken if the bad client is served, or if the request runs twice.
func runSameID(b *bench) (breaks []string, err error) {
	for round := range sameIDRounds {
		broken, err := sameIDRound(b, round)
		breaks = append(breaks, broken...)
		if err != nil {
			return breaks, err
		}
	}
	return breaks, nil
}

func sameIDRound(b *bench, round int) (breaks []string, err error) {
	workers := []*worker{{name: "s-1", zone: "waw-1", kind: "std-3c"}, {name: "s-2", zone: "waw-1", kind: "std-3c"}}
	for _, w := range workers {
		w.work = map[string]time.Duration{"status": 20 * time.Millisecond, "confirm": 400 * time.Millisecond}
	}
	name := fmt.Sprintf("r%d", round)
	s, err := b.newSite(name, workers, admissionSettings())
	if err != nil {
		return nil, err
	}
	defer s.close()
	old, err := s.startProcess(b, "old-"+name, "")
	if err != nil {
		return nil, err
	}
	defer old.kill()
	good, err := b.connect("client", s.listen)
	if err != nil {
		return nil, err
	}
	defer good.close()
	warmUp := job{id: "status-" + name, kind: "status", deadline: 7500 * time.Millisecond, cost: 20 * time.Millisecond}
	good.do(warmUp)

	if b.trouble { // the upgrade
		successor, err := s.startProcess(b, "new-"+name, "")
		if err != nil {
			return nil, err
		}
		defer successor.kill()
		time.Sleep(20 * time.Millisecond)
		old.signal(syscall.SIGTERM)
	}
	bad, err := b.connect("bad-client", s.listen)
	if err != nil {
		return nil, err
	}
	defer bad.close()
	request := job{id: "confirm-" + name, kind: "confirm", deadline: 15 * time.Second, cost: 400 * time.Millisecond}
	var goodReply, badReply reply
	var running sync.WaitGroup
	running.Go(func() { goodReply = good.do(request) })
	time.Sleep(copyAfter)
	running.Go(func() { badReply = bad.do(request) })
	running.Wait()
	time.Sleep(500 * time.Millisecond)
	runs := len(s.runs.matching(func(r jobRun) bool { return r.id == request.id }))
	b.record("case", "%s ran %d times; client: %v; bad client: %v", request.id, runs, goodReply, badReply)
	if runs > 1 {
		breaks = append(breaks, fmt.Sprintf("%s must never run twice and ran %d times", request.id, runs))
	}
	if badReply.status == 200 {
		breaks = append(breaks, fmt.Sprintf("the bad client that sent the id of the open request %s was served", request.id))
	}
	if goodReply.status == 0 {
		breaks = append(breaks, fmt.Sprintf("the client of %s got no answer", request.id))
	}
	return breaks, nil
}
