package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// runLog lists the jobs that workers have run.
type runLog struct {
	b    *bench
	mu   sync.Mutex
	runs []jobRun
}

// jobRun is one run of a job.
type jobRun struct {
	id, key, kind string
	worker        *worker
}

// add records that a worker begins to run a job.
func (l *runLog) add(run jobRun) {
	l.b.record(run.worker.name, "RUNS %s %s key %q", run.kind, run.id, run.key)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run)
}

// matching returns the runs that satisfy a condition.
func (l *runLog) matching(wanted func(jobRun) bool) (found []jobRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, run := range l.runs {
		if wanted(run) {
			found = append(found, run)
		}
	}
	return found
}

// worker is a worker that takes one request at a time on each connection.
type worker struct {
	name, zone, kind string
	cell             int
	work             map[string]time.Duration // by kind of request
	group            *dedupGroup              // drops repeats of a key; nil for none

	// handle may answer a request in another way: it returns false if the worker is to run the job as usual.
	handle func(c *workerConn, job *workerJob) (handled bool)

	b       *bench
	runs    *runLog
	address string
	ln      net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// dedupGroup holds the keys whose repeats the workers of a group drop.
type dedupGroup struct {
	mu   sync.Mutex
	keys map[string]bool
}

// isRepeat reports whether a key was seen before, and remembers it.
func (g *dedupGroup) isRepeat(key string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.keys == nil {
		g.keys = map[string]bool{}
	}
	seen := g.keys[key]
	g.keys[key] = true
	return seen
}

// workerConn is a connection to a dispatcher.
type workerConn struct {
	net.Conn
	mu       sync.Mutex // held while an answer is written
	spoiling bool       // a second answer is still to come
}

// workerJob is one request as the worker has read it.
type workerJob struct{ id, key, kind, deadline string }

func (w *worker) start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.ln = ln
	w.address = ln.Addr().String()
	w.conns = map[net.Conn]bool{}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[conn] = true
			w.mu.Unlock()
			go w.serve(conn)
		}
	}()
	return nil
}

func (w *worker) close() {
	w.ln.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		conn.Close()
	}
}

// serve reads the requests of a connection, one after the other.
func (w *worker) serve(conn net.Conn) {
	defer conn.Close()
	c := &workerConn{Conn: conn}
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(request.Body); err != nil {
			return
		}
		if request.Method == http.MethodGet { // a probe
			c.answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		job := &workerJob{
			id:       request.Header.Get("Req-Id"),
			key:      request.Header.Get("Idempotency-Key"),
			kind:     request.Header.Get("Req-Kind"),
			deadline: request.Header.Get("Req-Deadline"),
		}
		if job.kind == "" { // other headers than the id are free: the class is the start of the ids of these cases
			job.kind = kindOf(job.id)
		}
		w.b.record(w.name, "got %s %s from port %s, deadline %s", job.kind, job.id, portOf(conn), job.deadline)
		if w.handle != nil && w.handle(c, job) {
			continue
		}
		w.run(c, job)
	}
}

// run runs a job and answers with its lines.
func (w *worker) run(c *workerConn, job *workerJob) {
	c.answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	c.line(w, job, "started", "")
	if job.key == "" || w.group == nil || !w.group.isRepeat(job.key) {
		w.runs.add(jobRun{id: job.id, key: job.key, kind: job.kind, worker: w})
		time.Sleep(w.work[job.kind])
	} else {
		w.b.record(w.name, "drops the repeat %s of key %q", job.id, job.key)
	}
	c.line(w, job, "done", "result of "+job.id+" by "+w.name)
}

// line writes a line of the answer; the last one ends the answer too.
func (c *workerConn) line(w *worker, job *workerJob, state, result string) {
	text := fmt.Sprintf(`{"id":%q,"from":%q,"state":%q}`+"\n", job.id, w.name, state)
	end := ""
	if state == "done" {
		text = fmt.Sprintf(`{"id":%q,"from":%q,"state":%q,"result":%q}`+"\n", job.id, w.name, state, result)
		end = "0\r\n\r\n"
	}
	c.answer(fmt.Sprintf("%x\r\n%s\r\n%s", len(text), text, end))
}

// answer writes bytes of an answer.
func (c *workerConn) answer(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = io.WriteString(c.Conn, text)
}

func portOf(conn net.Conn) string {
	_, port, _ := net.SplitHostPort(conn.RemoteAddr().String())
	return port
}
