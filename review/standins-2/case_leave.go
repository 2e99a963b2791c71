package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// leaveCase: a client has sent four requests at once on a connection. While the first is served, the operators call
// LEAVE.
func leaveCase(env *environment) ([]string, error) {
	const count, deadline, work = 4, 3 * time.Second, 300 * time.Millisecond
	d, err := startDiscovery(env)
	if err != nil {
		return nil, err
	}
	workers, err := startWorkers(env, d, 4, runFor(work))
	if err != nil {
		return nil, err
	}
	admin, err := freeAddress()
	if err != nil {
		return nil, err
	}
	ops := []operation{{name: "status", repeat: "idempotent", aimS: 0.75, timeS: deadline.Seconds()}}
	p, err := env.startDispatcher(dispatcherConfig{
		name: "n0", discovery: d.address, admin: admin, settings: newSettings(0, 1, "subscribe", ops),
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
	called := make(chan error, 1)
	time.AfterFunc(100*time.Millisecond, func() {
		if !env.trouble {
			called <- nil
			return
		}
		reply, err := call(admin, "LEAVE")
		env.note("operators: LEAVE answered %q, error %v", reply, err)
		if err == nil && !strings.HasPrefix(reply, "done") {
			err = fmt.Errorf("LEAVE answered %q", reply)
		}
		called <- err
	})
	answers, err := sendPipelined(env, p.listen, requests)
	if err != nil {
		return nil, err
	}
	if err := <-called; err != nil {
		return nil, err
	}
	return lateAnswers(requests, answers, workers), nil
}

// call sends an operator's call to an admin address and returns the first line of the answer.
func call(address, line string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "%s\n", line); err != nil {
		return "", err
	}
	text, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(text), err
}
