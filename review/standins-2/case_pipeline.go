package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// pipelineCase: clients send eight requests at once on a connection. Every worker is sound and has room.
func pipelineCase(env *environment) ([]string, error) {
	const count, deadline, work = 8, 1500 * time.Millisecond, 500 * time.Millisecond
	d, err := startDiscovery(env)
	if err != nil {
		return nil, err
	}
	workers, err := startWorkers(env, d, 8, runFor(work))
	if err != nil {
		return nil, err
	}
	ops := []operation{{name: "status", repeat: "idempotent", aimS: 0.75, timeS: deadline.Seconds()}}
	p, err := env.startDispatcher(dispatcherConfig{
		name: "n0", discovery: d.address, settings: newSettings(0, 1, "subscribe", ops),
	})
	if err != nil {
		return nil, err
	}
	if err := p.awaitHealthy(20 * time.Second); err != nil {
		return nil, err
	}
	var requests []request
	for range count {
		requests = append(requests, request{id: newID(), kind: "status", deadline: deadline})
	}
	answers := make([]answer, count)
	if env.trouble {
		answers, err = sendPipelined(env, p.listen, requests)
		if err != nil {
			return nil, err
		}
	} else {
		var clients sync.WaitGroup
		for n, r := range requests {
			clients.Go(func() { answers[n] = send(env, p.listen, r, 10*time.Second) })
		}
		clients.Wait()
	}
	return lateAnswers(requests, answers, workers), nil
}

// sendPipelined sends requests at once on one connection and reads their answers.
func sendPipelined(env *environment, address string, requests []request) ([]answer, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	var text []byte
	for _, r := range requests {
		text = append(text, r.bytes()...)
	}
	sentAt := time.Now()
	if _, err := conn.Write(text); err != nil {
		return nil, err
	}
	env.noteAt(sentAt, "client: sent %d requests at once, %d bytes", len(requests), len(text))
	conn.SetReadDeadline(sentAt.Add(20 * time.Second))
	reader := bufio.NewReader(conn)
	answers := make([]answer, len(requests))
	for n := range requests {
		answers[n] = readAnswer(reader)
		answers[n].sentAt = sentAt
		env.noteAt(answers[n].at, "client: %s status %d after %.3f s, error %v", requests[n].id, answers[n].status,
			answers[n].at.Sub(sentAt).Seconds(), answers[n].err)
	}
	return answers, nil
}

// lateAnswers returns the requests without an answer within half a second after their time.
func lateAnswers(requests []request, answers []answer, workers []*worker) (breaks []string) {
	const slack = 500*time.Millisecond + 50*time.Millisecond + 100*time.Millisecond
	told := map[string]job{}
	for _, w := range workers {
		for _, j := range w.received() {
			told[j.id] = j
		}
	}
	for n, r := range requests {
		took := answers[n].at.Sub(answers[n].sentAt)
		if answers[n].status != 0 && took <= r.deadline+slack {
			continue
		}
		text := fmt.Sprintf("request %d of %d with %v of time got status %d after %.3f s", n+1, len(requests), r.deadline,
			answers[n].status, took.Seconds())
		if j, sent := told[r.id]; sent {
			left := r.deadline - j.begun.Sub(answers[n].sentAt)
			text += fmt.Sprintf("; its worker was told %.3f s when %.3f s were left", j.deadline, left.Seconds())
		}
		breaks = append(breaks, text)
	}
	return breaks
}
