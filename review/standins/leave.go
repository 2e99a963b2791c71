package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// leaveRounds is the number of rounds of the trials "leave-start" and "leave-kept".
const leaveRounds = 5

// runLeaveStart sends LEAVE to the old process while the new one starts, as soon as that has connected to it. The rule
// is broken if LEAVE is answered done, and the dispatcher's health check still says yes 4 s after the call. With
// TROUBLE=0 there is no new process.
func runLeaveStart(b *bench) (breaks []string, err error) {
	for round := range leaveRounds {
		name := fmt.Sprintf("r%d", round)
		s, old, err := b.leaveSite(name, "")
		if err != nil {
			return breaks, err
		}
		mgmt, err := freeAddress("tcp")
		if err != nil {
			return breaks, err
		}
		if b.trouble {
			successor, err := b.start(startOptions{name: "new-" + name, config: s.config, mgmt: mgmt, tmp: s.tmp})
			if err != nil {
				return breaks, err
			}
			defer successor.kill()
			for !successor.logged("predecessor connected") {
				time.Sleep(20 * time.Microsecond)
			}
		}
		answer := old.call("LEAVE")
		b.record(old.name, "LEAVE: %s", answer)
		const sinceCall = 4200 * time.Millisecond
		time.Sleep(sinceCall)
		if b.trouble {
			old.signal(syscall.SIGTERM)
			old.awaitEnd(5 * time.Second)
		}
		healthy := b.isHealthy(s)
		if answer == "done" && healthy {
			breaks = append(breaks, name+": LEAVE was answered done, and the health check says yes more than 4 s later")
		}
	}
	return breaks, nil
}

// runLeaveKept sends LEAVE to the old process while the new one serves (LB_FLEET), and kills and starts the dispatcher.
// The rule is broken if LEAVE is answered done, and the dispatcher takes clients after the restart. With TROUBLE=0 there
// is no upgrade.
func runLeaveKept(b *bench) (breaks []string, err error) {
	for round := range leaveRounds {
		name := fmt.Sprintf("r%d", round)
		fleet, err := b.fleetFile(name)
		if err != nil {
			return breaks, err
		}
		s, old, err := b.leaveSite(name, fleet)
		if err != nil {
			return breaks, err
		}
		serving := old
		if b.trouble {
			if serving, err = s.startProcess(b, "new-"+name, fleet); err != nil {
				return breaks, err
			}
			time.Sleep(300 * time.Millisecond)
		}
		answer := old.call("LEAVE")
		b.record(old.name, "LEAVE: %s", answer)
		time.Sleep(200 * time.Millisecond)
		if b.trouble {
			old.signal(syscall.SIGTERM)
			old.awaitEnd(5 * time.Second)
		}
		serving.kill()
		again, err := b.start(startOptions{name: "again-" + name, config: s.config, mgmt: old.mgmt, tmp: s.tmp, fleet: fleet})
		if err != nil {
			return breaks, err
		}
		defer again.kill()
		time.Sleep(1500 * time.Millisecond)
		health := again.call("HEALTH")
		b.record(again.name, "HEALTH: %s", health)
		if answer == "done" && health == "done" {
			breaks = append(breaks, name+": LEAVE was answered done, and the dispatcher takes clients after a restart")
		}
	}
	return breaks, nil
}

// leaveSite starts a site with one worker and one dispatcher.
func (b *bench) leaveSite(name, fleet string) (*site, *process, error) {
	s, err := b.newSite(name, []*worker{{name: "s-1", zone: "waw-1", kind: "std-3c"}}, admissionSettings())
	if err != nil {
		return nil, nil, err
	}
	old, err := s.startProcess(b, "old-"+name, fleet)
	return s, old, err
}

// isHealthy reports whether the dispatcher says yes to a health check on the clients' address.
func (b *bench) isHealthy(s *site) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + s.listen + "/_health")
	if err != nil {
		b.record("front", "health check: %v", err)
		return false
	}
	defer response.Body.Close()
	b.record("front", "health check: %d", response.StatusCode)
	return response.StatusCode == http.StatusOK
}
