package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of the case "desync".
const (
	desyncRounds     = 6
	secondAnswerWait = 10 * time.Millisecond  // a spoilt answer: how late a second answer comes
	queueWait        = 300 * time.Millisecond // how long a job waits in the worker's queue before it is handed back
	confirmAfter     = 100 * time.Millisecond // from the second answer's request to those that must not run twice
)

// declined is a worker's answer to a job that it has not run.
const declined = "HTTP/1.1 504 Gateway Timeout\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"

// runDesync lets a worker answer one idempotent job twice. A second idempotent job is on the same connection by then,
// and waits in the worker's queue until the worker hands it back unstarted. Meanwhile requests arrive that must never
// run twice. The rule is broken if one of them runs twice, or is answered as refused although it has run.
func runDesync(b *bench) (breaks []string, err error) {
	played := 0
	for round := range desyncRounds {
		broken, happened, err := desyncRound(b, round)
		breaks = append(breaks, broken...)
		if err != nil {
			return breaks, err
		}
		if happened {
			played++
		}
	}
	b.record("case", "rounds in which the order of events came about: %d of %d", played, desyncRounds)
	if played == 0 {
		return breaks, fmt.Errorf("%w: the order of events did not come about", errNotRun)
	}
	return breaks, nil
}

// spoiler is the state of the one worker connection on which an answer is spoilt.
type spoiler struct {
	mu      sync.Mutex
	armed   bool        // the next idempotent job is answered twice
	target  *workerConn // the connection of that job
	worker  *worker
	waiting bool // the next job on that connection waits in the queue
	queued  bool // it did
}

// handle is worker.handle of both workers.
func (s *spoiler) handle(b *bench, w *worker, c *workerConn, j *workerJob) bool {
	s.mu.Lock()
	arm := s.armed && j.kind == "status"
	if arm {
		s.armed = false
		s.target = c
		s.worker = w
		s.waiting = true
	}
	hold := !arm && s.waiting && s.target == c && j.kind == "status"
	if hold {
		s.waiting = false
		s.queued = true
	}
	s.mu.Unlock()
	switch {
	case arm:
		w.run(c, j)
		if b.trouble {
			go func() {
				time.Sleep(secondAnswerWait)
				b.record(w.name, "second answer, for %s: 504 declined, on port %s", j.id, portOf(c))
				c.answer(declined)
			}()
		}
		return true
	case hold:
		b.record(w.name, "%s waits in the queue", j.id)
		time.Sleep(queueWait)
		b.record(w.name, "%s handed back unstarted: 504 declined", j.id)
		c.answer(declined)
		return true
	}
	return false
}

func desyncRound(b *bench, round int) (breaks []string, happened bool, err error) {
	spoil := &spoiler{}
	workers := []*worker{{name: "s-1", zone: "waw-1", kind: "std-3c"}, {name: "s-2", zone: "waw-1", kind: "std-3c"}}
	for _, w := range workers {
		w.work = map[string]time.Duration{"status": 20 * time.Millisecond, "confirm": 50 * time.Millisecond}
		w.handle = func(c *workerConn, j *workerJob) bool { return spoil.handle(b, w, c, j) }
	}
	name := fmt.Sprintf("r%d", round)
	s, err := b.newSite(name, workers, admissionSettings())
	if err != nil {
		return nil, false, err
	}
	defer s.close()
	p, err := s.startProcess(b, "dispatcher-"+name, "")
	if err != nil {
		return nil, false, err
	}
	defer p.kill()
	var clients []*client
	for n := range 4 {
		c, err := b.connect(fmt.Sprintf("client-%d", n), s.listen)
		if err != nil {
			return nil, false, err
		}
		defer c.close()
		clients = append(clients, c)
	}
	status := func(n int) job {
		return job{
			id: fmt.Sprintf("status-%s-%d", name, n), kind: "status", deadline: 7500 * time.Millisecond,
			cost: 20 * time.Millisecond,
		}
	}
	for n := range 6 { // both workers get a connection
		clients[0].do(status(n))
	}
	time.Sleep(100 * time.Millisecond)
	spoil.mu.Lock()
	spoil.armed = true
	spoil.mu.Unlock()
	clients[0].do(status(100))
	var running sync.WaitGroup
	for n := range 2 { // one for each worker, as they take turns
		running.Go(func() { clients[n].do(status(101 + n)) })
	}
	time.Sleep(confirmAfter)
	answers := make([]reply, 2)
	confirm := func(n int) job {
		return job{
			id: fmt.Sprintf("confirm-%s-%d", name, n), kind: "confirm", deadline: 15 * time.Second,
			cost: 50 * time.Millisecond,
		}
	}
	for n := range answers {
		running.Go(func() { answers[n] = clients[2+n].do(confirm(n)) })
	}
	running.Wait()
	time.Sleep(300 * time.Millisecond)
	for n, answer := range answers {
		id := confirm(n).id
		runs := len(s.runs.matching(func(r jobRun) bool { return r.id == id }))
		refused := answer.status == 429 || answer.status == 503
		switch {
		case runs > 1:
			breaks = append(breaks, fmt.Sprintf("%s must never run twice and ran %d times; its client was answered %v", id,
				runs, answer))
		case refused && runs > 0:
			breaks = append(breaks, fmt.Sprintf("%s ran and was answered as refused: %v", id, answer))
		}
	}
	spoil.mu.Lock()
	defer spoil.mu.Unlock()
	return breaks, spoil.queued, nil
}
