package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// discovery is a discovery service whose list does not change.
type discovery struct {
	address string
	workers []*worker
	server  *http.Server
}

func newDiscovery(workers []*worker) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{address: ln.Addr().String(), workers: workers}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", d.serve)
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(ln) }()
	return d, nil
}

func (d *discovery) close() { d.server.Close() }

// list returns the whole list.
func (d *discovery) list() []byte {
	hosts := []object{}
	for _, w := range d.workers {
		hosts = append(hosts, object{
			"host": w.name, "dial": w.address, "site": w.zone, "class": w.kind, "block": w.cell,
			"health": "Ready", "share": 1.0, "born_ms": 0,
		})
	}
	text, _ := json.Marshal(object{"seq": 1, "whole": true, "hosts": hosts}) // plain values: no error
	return text
}

// serve answers with the whole list, and keeps a watch open with an empty line every 2 s.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = w.Write(append(d.list(), '\n'))
	if r.URL.Query().Get("stream") != "1" {
		return
	}
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}
