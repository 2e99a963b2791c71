package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// job is a request as a worker has received it.
type job struct {
	id       string
	key      string
	deadline float64         // Req-Deadline, in seconds
	begun    time.Time       // when its head had arrived
	complete time.Time       // when its last byte had arrived
	gone     <-chan struct{} // closed when the dispatcher has closed the connection
}

// worker is a stand-in for a worker. Its jobs run at once and side by side.
type worker struct {
	env     *environment
	name    string
	address string

	mu   sync.Mutex
	jobs []job
	run  func(w *worker, j job, say func(format string, args ...any)) // says the lines of the answer
}

func startWorker(env *environment, name string,
	run func(w *worker, j job, say func(format string, args ...any)),
) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{env: env, name: name, address: ln.Addr().String(), run: run}
	go (&http.Server{Handler: w, IdleTimeout: 10 * time.Second}).Serve(ln)
	return w, nil
}

// startWorkers starts workers and lists them.
func startWorkers(env *environment, d *discovery, count int,
	run func(w *worker, j job, say func(format string, args ...any)),
) ([]*worker, error) {
	var workers []*worker
	for n := range count {
		w, err := startWorker(env, fmt.Sprintf("s-%d", n), run)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
		d.set(w.listed("Ready"))
	}
	return workers, nil
}

// listed returns the worker as discovery lists it.
func (w *worker) listed(health string) host {
	return host{Host: w.name, Dial: w.address, Site: "a", Class: "std-4c", Health: health, Share: 1}
}

// received returns the jobs received so far.
func (w *worker) received() []job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]job(nil), w.jobs...)
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	if r.URL.Path != "/api" || r.Method != http.MethodPost || r.Header.Get("Req-Id") == "" {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.env.note("%s: request broke before its last byte", w.name)
		return
	}
	j := job{id: r.Header.Get("Req-Id"), key: r.Header.Get("Idempotency-Key"), begun: begun, complete: time.Now(), gone: r.Context().Done()}
	j.deadline, _ = strconv.ParseFloat(r.Header.Get("Req-Deadline"), 64)
	w.mu.Lock()
	w.jobs = append(w.jobs, j)
	w.mu.Unlock()
	w.env.noteAt(begun, "%s: received %s, key %q, Req-Deadline %.3f", w.name, j.id, j.key, j.deadline)
	out.WriteHeader(http.StatusOK)
	w.run(w, j, func(format string, args ...any) {
		fmt.Fprintf(out, format+"\n", args...)
		out.(http.Flusher).Flush()
	})
}

// sayStarted says that a job has started, and sayDone that it is done.
func (w *worker) sayStarted(j job, say func(string, ...any)) {
	say(`{"id":%q,"from":%q,"state":"started"}`, j.id, w.name)
}

func (w *worker) sayDone(j job, say func(string, ...any)) {
	say(`{"id":%q,"from":%q,"state":"done","result":%q}`, j.id, w.name, "result of "+j.id)
}

// runFor returns a run that takes a time.
func runFor(d time.Duration) func(*worker, job, func(string, ...any)) {
	return func(w *worker, j job, say func(string, ...any)) {
		w.sayStarted(j, say)
		time.Sleep(d)
		w.sayDone(j, say)
	}
}
