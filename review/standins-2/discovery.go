package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// host is a worker in discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// list is a list, or a line of a watch.
type list struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// How discovery answers a call.
type condition int

const (
	serving condition = iota
	down              // every call ends with a reset, and watches have ended
	crowded           // every call waits, and then ends with 503
	slow              // every call waits, and is then answered
)

// discovery is a stand-in for the discovery service.
type discovery struct {
	env     *environment
	address string
	server  *http.Server

	mu        sync.Mutex
	condition condition
	wait      time.Duration // of a crowded or slow call
	seq       int
	hosts     []host
	watches   map[*watch]struct{}
}

// watch is one open watch.
type watch struct {
	conn    *net.TCPConn
	changes chan list
}

type connKey struct{}

func startDiscovery(env *environment) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{env: env, address: ln.Addr().String(), seq: 40, watches: map[*watch]struct{}{}}
	d.server = &http.Server{Handler: d, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	go d.server.Serve(ln)
	return d, nil
}

// whole returns the whole list.
func (d *discovery) whole() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wholeLocked()
}

func (d *discovery) wholeLocked() list {
	return list{Seq: d.seq, Whole: true, Hosts: append([]host(nil), d.hosts...)}
}

// set adds or changes a worker and tells the open watches.
func (d *discovery) set(h host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	found := false
	for n := range d.hosts {
		if d.hosts[n].Host == h.Host {
			d.hosts[n] = h
			found = true
		}
	}
	if !found {
		d.hosts = append(d.hosts, h)
	}
	d.env.note("discovery: %s is %s, version %d", h.Host, h.Health, d.seq)
	for w := range d.watches {
		w.changes <- list{Seq: d.seq, Hosts: []host{h}}
	}
}

// become changes how calls are answered. Open watches are reset if discovery goes down or becomes crowded.
func (d *discovery) become(c condition, wait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.condition, d.wait = c, wait
	d.env.note("discovery: %s", [...]string{"serves", "down", "crowded", "slow"}[c])
	if c == down || c == crowded {
		for w := range d.watches {
			reset(w.conn)
		}
	}
}

func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*net.TCPConn)
	d.mu.Lock()
	now, wait := d.condition, d.wait
	d.mu.Unlock()
	switch now {
	case down:
		d.env.note("discovery: call of %s reset", r.RemoteAddr)
		reset(conn)
		return
	case crowded:
		time.Sleep(wait)
		d.env.note("discovery: call of %s answered 503 after %v", r.RemoteAddr, wait)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case slow:
		time.Sleep(wait)
	}
	if r.URL.Query().Get("stream") != "1" {
		json.NewEncoder(w).Encode(d.whole())
		return
	}
	d.serveWatch(w, r, conn)
}

func (d *discovery) serveWatch(w http.ResponseWriter, r *http.Request, conn *net.TCPConn) {
	d.mu.Lock()
	own := &watch{conn: conn, changes: make(chan list, 100)}
	d.watches[own] = struct{}{}
	first := d.wholeLocked()
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, own)
		d.mu.Unlock()
	}()
	w.WriteHeader(http.StatusOK)
	if d.writeLine(w, r, first) != nil {
		return
	}
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	for {
		var err error
		select {
		case change := <-own.changes:
			err = d.writeLine(w, r, change)
		case <-ticker.C:
			_, err = w.Write([]byte("\n"))
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
		if err != nil {
			return
		}
	}
}

func (d *discovery) writeLine(w http.ResponseWriter, r *http.Request, l list) error {
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "%s\n", text); err != nil {
		return err
	}
	w.(http.Flusher).Flush()
	d.env.note("discovery: wrote version %d to %s", l.Seq, r.RemoteAddr)
	return nil
}
