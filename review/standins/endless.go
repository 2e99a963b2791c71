package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Figures of the trial "endless".
const (
	endlessMemoryMB = 64  // limits of a small dispatcher
	endlessSockets  = 384 // descriptors
	endlessClients  = 100
	endlessLines    = 3 << 10 // bytes of lines that a worker sends every 20 ms
	endlessWatch    = 15 * time.Second
)

// runEndless lets workers send answers that never end: lines that say that the job is running, 150 KB a second on each
// connection. The trial fails if the dispatcher's resident memory passes `memory_mb`, over which the platform kills it.
// With TROUBLE=0 the answers end after 2 s.
func runEndless(b *bench) (breaks []string, err error) {
	var workers []*worker
	for n := range 10 {
		w := &worker{name: fmt.Sprintf("s-%d", n), zone: "waw-1", kind: "std-3c"}
		w.handle = func(c *workerConn, j *workerJob) bool { return b.sendEndless(w, c, j) }
		workers = append(workers, w)
	}
	s, err := b.newSite("s", workers, admissionSettings())
	if err != nil {
		return nil, err
	}
	defer s.close()
	limits := object{"cores": 1.0, "memory_mb": endlessMemoryMB, "sockets": endlessSockets}
	if err := s.editConfig(func(config object) { config["limits"] = limits }); err != nil {
		return nil, err
	}
	p, err := s.startProcess(b, "dispatcher", "")
	if err != nil {
		return nil, err
	}
	defer p.kill()
	var running sync.WaitGroup
	for n := range endlessClients {
		running.Go(func() {
			b.sendOnce(s, job{
				id: fmt.Sprintf("status-%d", n), kind: "status", deadline: endlessWatch, cost: 2 * time.Second,
			})
		})
		time.Sleep(5 * time.Millisecond)
	}
	peak := 0
	for begin := time.Now(); time.Since(begin) < endlessWatch; {
		time.Sleep(250 * time.Millisecond)
		resident := residentMB(p.cmd.Process.Pid)
		b.record(p.name, "resident memory %d MB", resident)
		peak = max(peak, resident)
	}
	running.Wait()
	fmt.Println("highest resident memory in MB:", peak)
	if peak > endlessMemoryMB {
		breaks = append(breaks, fmt.Sprintf("resident memory %d MB, limit %d MB", peak, endlessMemoryMB))
	}
	return breaks, nil
}

func (b *bench) sendEndless(w *worker, c *workerConn, j *workerJob) bool {
	c.answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	c.line(w, j, "started", "")
	if !b.trouble {
		time.Sleep(2 * time.Second)
		c.line(w, j, "done", "result of "+j.id+" by "+w.name)
		return true
	}
	line := fmt.Sprintf(`{"id":%q,"from":%q,"state":"running","share":0.4}`+"\n", j.id, w.name)
	text := strings.Repeat(line, endlessLines/len(line))
	for {
		if _, err := fmt.Fprintf(c.Conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// residentMB returns the resident memory of a process, which the shell has replaced itself by.
func residentMB(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		var kilobytes int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); n == 1 {
			return kilobytes >> 10
		}
	}
	return 0
}
