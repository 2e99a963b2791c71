package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the trial "two-groups".
const (
	fleetSize     = 5 // the last member is not among the three that the first one asks about workers
	twoGroupsJobs = 12
	firstRun      = 4 * time.Second // of a keyed job, so that it outlives its dispatcher

	// shortWindow is the dedup window. All dispatchers have run for longer when the trial begins: before that, marked
	// repeats of unknown keys may be errors.
	shortWindow = 15 * time.Second
)

// runTwoGroups tries the entry "AddFromPeer forgets that a key went to two groups" (issue 50, point 1). Keyed requests
// are sent to the first of five dispatchers that persist keys, and run in one rack each. The dispatcher is killed. Its
// clients send them again, marked, to the last dispatcher; workers decline those, so that they are refused. The first
// dispatcher is started again, and the clients send the requests to it once more. The rule is broken if a key is run by
// workers of two racks. With TROUBLE=0 the requests are not sent to the last dispatcher.
func runTwoGroups(b *bench) (breaks []string, err error) {
	racks := []*dedupGroup{{}, {}}
	var workers []*worker
	for n := range 4 {
		w := &worker{
			name: fmt.Sprintf("s-%d", n), zone: "krk-serwerownia", kind: "k2-std", cell: n % 2, group: racks[n%2],
			work: map[string]time.Duration{"przelicz": 20 * time.Millisecond, "potwierdz": firstRun},
		}
		w.handle = func(c *workerConn, j *workerJob) bool {
			if !strings.HasSuffix(j.id, "-elsewhere") {
				return false
			}
			w.b.record(w.name, "declines %s", j.id)
			c.answer("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		workers = append(workers, w)
	}
	settings := scoringSettings()
	settings["balancers"] = fleetSize
	settings["operations"].([]object)[1]["dedupWindowS"] = shortWindow.Seconds()
	s, err := b.newSite("fleet", workers, settings)
	if err != nil {
		return nil, err
	}
	defer s.close()
	members, err := b.fleetMembers(s)
	if err != nil {
		return nil, err
	}
	var processes []*process
	for _, m := range members {
		p, err := b.start(startOptions{name: m.name, config: m.site.config, mgmt: m.mgmt, tmp: m.site.tmp, fleet: m.fleet})
		if err != nil {
			return nil, err
		}
		defer p.kill()
		processes = append(processes, p)
	}
	for n, p := range processes {
		if err := p.awaitYes(15 * time.Second); err != nil {
			return nil, err
		}
		if n == 0 || n == fleetSize-1 {
			if err := b.untilServing(&members[n].site, p, members[n].name); err != nil {
				return nil, err
			}
		}
	}

	keyed := func(n int, suffix string, retry bool) job {
		return job{
			id: fmt.Sprintf("potwierdz-%d%s", n, suffix), key: fmt.Sprintf("key-%d", n), kind: "potwierdz",
			deadline: 20 * time.Second, cost: firstRun, retry: retry,
		}
	}
	var running sync.WaitGroup
	for n := range twoGroupsJobs {
		running.Go(func() { b.sendOnce(&members[0].site, keyed(n, "", false)) })
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	processes[0].signal(syscall.SIGKILL)
	running.Wait()
	if b.trouble {
		last := &members[fleetSize-1].site
		for n := range twoGroupsJobs {
			running.Go(func() {
				j := keyed(n, "-elsewhere", true)
				j.deadline = 3 * time.Second
				b.sendOnce(last, j)
			})
		}
		running.Wait()
	}
	m := members[0]
	again, err := b.start(startOptions{name: "n0-again", config: m.site.config, mgmt: m.mgmt, tmp: m.site.tmp, fleet: m.fleet})
	if err != nil {
		return nil, err
	}
	defer again.kill()
	if err := again.awaitYes(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	for n := range twoGroupsJobs {
		running.Go(func() { b.sendOnce(&m.site, keyed(n, "-again", true)) })
	}
	running.Wait()
	for n := range twoGroupsJobs {
		key := keyed(n, "", false).key
		cells := map[int]string{}
		for _, r := range s.runs.matching(func(r jobRun) bool { return r.key == key }) {
			cells[r.worker.cell] = r.worker.name
		}
		if len(cells) > 1 {
			breaks = append(breaks, fmt.Sprintf("%s was run by workers of two racks: %v", key, cells))
		}
	}
	return breaks, nil
}

// member is a dispatcher of a fleet.
type member struct {
	name, mgmt, fleet string
	site              site
}

// fleetMembers writes the configurations and fleet files of all members. The first one has those of the site.
func (b *bench) fleetMembers(s *site) (members []*member, err error) {
	text, err := os.ReadFile(s.config)
	if err != nil {
		return nil, err
	}
	var links []string
	list := ""
	for n := range fleetSize {
		link, err := freeAddress("udp")
		if err != nil {
			return nil, err
		}
		links = append(links, link)
		list += fmt.Sprintf("\n[[member]]\nname = \"n%d\"\naddress = %q\n", n, link)
	}
	for n := range fleetSize {
		m := &member{name: fmt.Sprintf("n%d", n), site: *s}
		if m.mgmt, err = freeAddress("tcp"); err != nil {
			return nil, err
		}
		if m.site.listen, err = freeAddress("tcp"); err != nil {
			return nil, err
		}
		var config object
		if err := json.Unmarshal(text, &config); err != nil {
			return nil, err
		}
		config["name"], config["listen"], config["seed"] = m.name, m.site.listen, fmt.Sprintf("8c1f30d27a5be96%d", n)
		config["settings"].(object)["position"] = n
		if m.site.config, err = b.writeConfig("config-"+m.name+".json", config); err != nil {
			return nil, err
		}
		folder := filepath.Join(b.folder, "state-"+m.name)
		if err := os.Mkdir(folder, 0o700); err != nil {
			return nil, err
		}
		m.fleet = filepath.Join(b.folder, m.name+".toml")
		file := fmt.Sprintf("[state]\nfolder = %q\n\n[link]\nlisten = %q\n%s", folder, links[n], list)
		if err := os.WriteFile(m.fleet, []byte(file), 0o600); err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	return members, nil
}
