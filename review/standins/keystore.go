package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "key-store".
const (
	keyStoreRounds = 3
	keyStoreJobs   = 12              // keyed requests in flight at the old process
	keyedWork      = 2 * time.Second // of one of them

	// warmUpTime is the time for which requests are sent before the case begins: a dispatcher that is alone treats its
	// workers as cold until it has followed the list for askWithinS of the settings.
	warmUpTime = 11 * time.Second
)

// runKeyStore upgrades a dispatcher that persists keys (LB_FLEET), and kills the old process once the new one says yes.
// The clients of its requests see their connections end and send each request again at once, marked as a retry, under
// the same key. The rule is broken if a key is run by workers of two groups.
func runKeyStore(b *bench) (breaks []string, err error) {
	retried := 0
	for round := range keyStoreRounds {
		broken, sent, err := keyStoreRound(b, round)
		breaks = append(breaks, broken...)
		retried += sent
		if err != nil {
			return breaks, err
		}
	}
	b.record("case", "%d retries sent", retried)
	if b.trouble && retried == 0 {
		return breaks, fmt.Errorf("%w: no request was in flight at the old process", errNotRun)
	}
	return breaks, nil
}

// fleetFile writes the operators' fleet file for one dispatcher. All keys but the folder and the addresses have the
// values of deploy/fleet.toml.
func (b *bench) fleetFile(name string) (string, error) {
	folder := filepath.Join(b.folder, "state-"+name)
	link, err := freeAddress("udp")
	if err != nil {
		return "", err
	}
	text := fmt.Sprintf(`[state]
folder = %q
every = "1s"
doubt-disk = false

[link]
listen = %q

[recovery]
identity-within = "2s"
list-within = "3s"
others-within = "1s"
trickle-within = "2s"
ask-every = "100ms"
keep-within = "500ms"

[[member]]
name = "n0"
address = %q
`, folder, link, link)
	path := filepath.Join(b.folder, "fleet-"+name+".toml")
	if err := os.Mkdir(folder, 0o700); err != nil {
		return "", err
	}
	return path, os.WriteFile(path, []byte(text), 0o600)
}

func keyStoreRound(b *bench, round int) (breaks []string, retried int, err error) {
	racks := []*dedupGroup{{}, {}}
	var workers []*worker
	for n := range 4 {
		workers = append(workers, &worker{
			name: fmt.Sprintf("s-%d", n), zone: "krk-serwerownia", kind: "k2-std", cell: n % 2, group: racks[n%2],
			work: map[string]time.Duration{"przelicz": 20 * time.Millisecond, "potwierdz": keyedWork},
		})
	}
	name := fmt.Sprintf("r%d", round)
	s, err := b.newSite(name, workers, scoringSettings())
	if err != nil {
		return nil, 0, err
	}
	defer s.close()
	fleet, err := b.fleetFile(name)
	if err != nil {
		return nil, 0, err
	}
	old, err := s.startProcess(b, "old-"+name, fleet)
	if err != nil {
		return nil, 0, err
	}
	defer old.kill()
	if err := b.untilServing(s, old, name); err != nil {
		return nil, 0, err
	}

	var running sync.WaitGroup
	var mu sync.Mutex
	keyed := func(n int) job {
		return job{
			id: fmt.Sprintf("potwierdz-%s-%d", name, n), key: fmt.Sprintf("key-%s-%d", name, n), kind: "potwierdz",
			deadline: 25 * time.Second, cost: keyedWork,
		}
	}
	for n := range keyStoreJobs {
		running.Go(func() {
			if b.sendKeyed(s, keyed(n)) {
				mu.Lock()
				retried++
				mu.Unlock()
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	if b.trouble {
		successor, err := s.startProcess(b, "new-"+name, fleet)
		if err != nil {
			return nil, 0, err
		}
		defer successor.kill()
		old.signal(syscall.SIGKILL)
	}
	running.Wait()
	for n := range keyStoreJobs {
		key := keyed(n).key
		runs := s.runs.matching(func(r jobRun) bool { return r.key == key })
		cells := map[int]string{}
		for _, r := range runs {
			cells[r.worker.cell] = r.worker.name
		}
		if len(cells) > 1 {
			breaks = append(breaks, fmt.Sprintf("%s was run by workers of two racks: %v", key, cells))
		}
	}
	return breaks, retried, nil
}

// untilServing sends requests for warmUpTime, and checks that the process serves fully.
func (b *bench) untilServing(s *site, p *process, name string) error {
	c, err := b.connect("client-warm", s.listen)
	if err != nil {
		return err
	}
	defer c.close()
	answer := reply{}
	begin := time.Now()
	for n := 0; time.Since(begin) < warmUpTime; n++ {
		answer = c.do(job{
			id: fmt.Sprintf("przelicz-%s-%d", name, n), kind: "przelicz", deadline: 10 * time.Second,
			cost: 20 * time.Millisecond,
		})
		time.Sleep(100 * time.Millisecond)
	}
	if !p.logged(`"phase":"full"`) || answer.status != http.StatusOK {
		return fmt.Errorf("%w: %s does not serve fully", errNotRun, p.name)
	}
	return nil
}

// sendKeyed sends a keyed request, and sends it once more as a marked retry if the connection ends without an answer.
func (b *bench) sendKeyed(s *site, j job) (retried bool) {
	c, err := b.connect("client-"+j.key, s.listen)
	if err != nil {
		return false
	}
	defer c.close()
	begin := time.Now()
	if c.do(j).status != 0 {
		return false
	}
	again, err := b.connect("client-"+j.key, s.listen)
	if err != nil {
		return false
	}
	defer again.close()
	j.id += "-retry"
	j.retry = true
	j.deadline -= time.Since(begin)
	again.do(j)
	return true
}
