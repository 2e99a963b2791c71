package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "leaving".
const (
	leavingRounds = 6
	leavingJobs   = 10 // requests whose clients stay
	leavingCount  = 3  // clients that leave
	leavingEvery  = 2 * time.Millisecond
	leavingWork   = 1500 * time.Millisecond
)

// runLeaving upgrades a dispatcher under load. Some clients close their connections a few milliseconds before the old
// process gets SIGTERM. The rule is broken if the new process ends, or if a client that stays gets no answer.
func runLeaving(b *bench) (breaks []string, err error) {
	for round := range leavingRounds {
		broken, err := leavingRound(b, fmt.Sprintf("r%d", round))
		breaks = append(breaks, broken...)
		if err != nil {
			return breaks, err
		}
	}
	return breaks, nil
}

func leavingRound(b *bench, name string) (breaks []string, err error) {
	var workers []*worker
	for n := range 4 {
		workers = append(workers, &worker{
			name: fmt.Sprintf("s-%d", n), zone: "waw-1", kind: "std-3c",
			work: map[string]time.Duration{"status": leavingWork, "confirm": leavingWork},
		})
	}
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

	var running sync.WaitGroup
	replies := make([]reply, leavingJobs)
	request := func(n int) job {
		kind := []string{"status", "confirm"}[n%2]
		return job{
			id: fmt.Sprintf("%s-%s-%d", kind, name, n), kind: kind, deadline: 7 * time.Second, cost: leavingWork,
		}
	}
	for n := range leavingJobs {
		running.Go(func() { replies[n] = b.sendOnce(s, request(n)) })
	}
	var leaving []*client
	for n := range leavingCount {
		c, err := b.connect(fmt.Sprintf("leaving-%d", n), s.listen)
		if err != nil {
			return nil, err
		}
		defer c.close()
		c.send(request(leavingJobs + n))
		leaving = append(leaving, c)
	}
	time.Sleep(500 * time.Millisecond)
	successor, err := s.startProcess(b, "new-"+name, "")
	if err != nil {
		return nil, err
	}
	defer successor.kill()
	for _, c := range leaving {
		if b.trouble {
			b.record(c.name, "closes its connection")
			c.close()
		}
		time.Sleep(leavingEvery)
	}
	old.signal(syscall.SIGTERM)
	running.Wait()
	if successor.awaitEnd(100 * time.Millisecond) {
		breaks = append(breaks, fmt.Sprintf("%s: the new process has ended: %s", name,
			successor.firstLogged("panic:", "fatal error:")))
	}
	unanswered := 0
	for n, answer := range replies {
		if answer.status == 0 {
			b.record("case", "%s got no answer", request(n).id)
			unanswered++
		}
	}
	if unanswered > 0 {
		breaks = append(breaks, fmt.Sprintf("%s: %d of %d clients that stayed got no answer", name, unanswered, leavingJobs))
	}
	return breaks, nil
}

// sendOnce sends a request on a connection of its own.
func (b *bench) sendOnce(s *site, j job) reply {
	c, err := b.connect("client-"+j.id, s.listen)
	if err != nil {
		return reply{}
	}
	defer c.close()
	return c.do(j)
}

// firstLogged returns the first line of the log that begins with one of the texts, or "".
func (p *process) firstLogged(texts ...string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.log {
		for _, text := range texts {
			if len(line) >= len(text) && line[:len(text)] == text {
				return line
			}
		}
	}
	return ""
}
