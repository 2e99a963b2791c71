package main

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "missing-key".
const (
	missingKeyJobs = 12
	choicesWork    = 300 * time.Millisecond
	reloadWait     = 1300 * time.Millisecond // new settings are in use after 1.2 s
)

// runMissingKey replaces the configuration by one in which a key is missing, `dedupScope` of the class that the workers
// of one zone deduplicate, and sends SIGHUP. Then connections are reset under requests of that class that have begun. The
// rule is broken if a key is run by workers of two zones, or if a request that has run is answered as refused.
func runMissingKey(b *bench) (breaks []string, err error) {
	groups := map[string]*dedupGroup{"waw-1": {}, "lodz-1": {}}
	begun := &firstAttempts{ids: map[string]bool{}}
	var workers []*worker
	for n := range 4 {
		zone := []string{"waw-1", "lodz-1"}[n%2]
		w := &worker{
			name: fmt.Sprintf("s-%d", n), zone: zone, kind: "std-3c", group: groups[zone],
			work: map[string]time.Duration{"status": 20 * time.Millisecond, "choices": choicesWork},
		}
		w.handle = func(c *workerConn, j *workerJob) bool { return begun.resetFirst(w, c, j) }
		workers = append(workers, w)
	}
	settings := admissionSettings()
	choices := operation("choices", "deduplicated", "zone", 40, 3, 25, 5)
	settings["operations"] = append(settings["operations"].([]object), choices)
	s, err := b.newSite("s", workers, settings)
	if err != nil {
		return nil, err
	}
	defer s.close()
	p, err := s.startProcess(b, "dispatcher", "")
	if err != nil {
		return nil, err
	}
	defer p.kill()

	settings["operations"].([]object)[0]["billedValue"] = 3.0 // new settings
	if b.trouble {
		delete(choices, "dedupScope")
	}
	if err := s.reload(b, p, settings); err != nil {
		return nil, err
	}
	time.Sleep(reloadWait)

	replies := make([]reply, missingKeyJobs)
	request := func(n int) job {
		return job{
			id: fmt.Sprintf("choices-%d", n), key: fmt.Sprintf("key-%d", n), kind: "choices", deadline: 25 * time.Second,
			cost: choicesWork,
		}
	}
	var running sync.WaitGroup
	for n := range replies {
		running.Go(func() { replies[n] = b.sendOnce(s, request(n)) })
		time.Sleep(200 * time.Millisecond)
	}
	running.Wait()
	for n, answer := range replies {
		key := request(n).key
		zones := map[string]string{}
		for _, r := range s.runs.matching(func(r jobRun) bool { return r.key == key }) {
			zones[r.worker.zone] = r.worker.name
		}
		if len(zones) > 1 {
			breaks = append(breaks, fmt.Sprintf("%s was run by workers of two zones: %v", key, zones))
		}
		if len(zones) > 0 && (answer.status == 429 || answer.status == 503) {
			breaks = append(breaks, fmt.Sprintf("%s was run and answered as refused: %v", key, answer))
		}
	}
	return breaks, nil
}

// firstAttempts resets the connection of the first attempt of each keyed request, after the job has run.
type firstAttempts struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (f *firstAttempts) resetFirst(w *worker, c *workerConn, j *workerJob) bool {
	f.mu.Lock()
	first := j.key != "" && !f.ids[j.id]
	f.ids[j.id] = true
	f.mu.Unlock()
	if !first {
		return false
	}
	c.answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	c.line(w, j, "started", "")
	w.group.isRepeat(j.key)
	w.runs.add(jobRun{id: j.id, key: j.key, kind: j.kind, worker: w})
	time.Sleep(w.work[j.kind])
	w.b.record(w.name, "the connection of %s is reset", j.id)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Conn.Close()
	return true
}

// reload replaces the settings in the configuration file as a whole, and sends SIGHUP.
func (s *site) reload(b *bench, p *process, settings object) error {
	if err := s.editConfig(func(config object) { config["settings"] = settings }); err != nil {
		return err
	}
	operations, _ := json.Marshal(settings["operations"]) // editConfig has marshaled it
	b.record("operator", "new file, operations %s", operations)
	p.signal(syscall.SIGHUP)
	return nil
}
