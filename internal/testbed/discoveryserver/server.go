package discoveryserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Outage is what is wrong with the list service.
type Outage uint8

// The values of Outage.
const (
	Healthy     Outage = iota
	Down               // watches end, and calls are reset
	Unavailable        // watches end, and calls are answered 503
)

// Timing of a watch.
const (
	pollInterval      = 20 * time.Millisecond
	keepAliveInterval = 2 * time.Second
)

// Server is the list service. Told is called after an entry has been written to a dispatcher.
type Server struct {
	clock    func() time.Duration
	notified func(dispatcher int, e Entry)

	mu         sync.Mutex
	catalog    *Catalog
	outage     Outage
	endWatches context.CancelFunc // ends the watches
	watches    context.Context

	servers   []*http.Server
	listeners []net.Listener
}

// New opens a listener for each dispatcher.
func New(c *Catalog, dispatchers int, clock func() time.Duration, notified func(int, Entry)) (*Server, error) {
	s := &Server{catalog: c, clock: clock, notified: notified}
	s.watches, s.endWatches = context.WithCancel(context.Background())
	for d := range dispatchers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.close()
			return nil, fmt.Errorf("list service: %w", err)
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /catalog/members", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, d) })
		s.listeners = append(s.listeners, ln)
		s.servers = append(s.servers, &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second})
	}
	return s, nil
}

// Address is where a dispatcher finds the list.
func (s *Server) Address(dispatcher int) string { return s.listeners[dispatcher].Addr().String() }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for n, server := range s.servers {
		g.Go(func() error {
			if err := server.Serve(s.listeners[n]); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("list service: %w", err)
			}
			return nil
		})
	}
	g.Go(func() error {
		<-ctx.Done()
		s.close()
		return nil
	})
	return g.Wait()
}

func (s *Server) close() {
	s.endWatches()
	for _, server := range s.servers {
		server.Close()
	}
	for _, ln := range s.listeners {
		ln.Close()
	}
}

// Update changes an entry.
func (s *Server) Update(e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog.Update(s.clock(), e)
}

// SetLag sets how far behind the list runs.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog.SetLag(s.clock(), lag)
}

// SetOutage begins or ends a trouble.
func (s *Server) SetOutage(t Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = t
	s.endWatches()
	s.watches, s.endWatches = context.WithCancel(context.Background())
}

// CompleteList is the list now as JSON, in a dispatcher's view.
func (s *Server) CompleteList(dispatcher int) []byte {
	s.mu.Lock()
	version, entries := s.catalog.Complete(s.clock())
	s.mu.Unlock()
	return encode(version, true, entries, dispatcher)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, dispatcher int) {
	s.mu.Lock()
	outage, open := s.outage, s.watches
	s.mu.Unlock()
	switch outage {
	case Down:
		panic(http.ErrAbortHandler) // the connection is reset
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("stream") != "1" {
		s.mu.Lock()
		version, entries := s.catalog.Complete(s.clock())
		s.mu.Unlock()
		s.notify(dispatcher, entries, true)
		_, _ = w.Write(append(encode(version, true, entries, dispatcher), '\n'))
		s.notify(dispatcher, entries, false)
		return
	}
	version, err := strconv.Atoi(r.URL.Query().Get("index"))
	if err != nil {
		http.Error(w, "index: must be a version", http.StatusBadRequest)
		return
	}
	s.watch(w, r, dispatcher, version, open)
}

// watch writes a line for each change until somebody ends it.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, dispatcher, version int,
	open context.Context,
) {
	out, first, wroteAt := http.NewResponseController(w), true, time.Now()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		s.mu.Lock()
		newest, complete, entries := s.catalog.ChangesSince(s.clock(), version)
		s.mu.Unlock()
		var line []byte
		switch {
		case first || newest != version:
			line = encode(newest, complete && (first || newest != version), entries, dispatcher)
		case time.Since(wroteAt) >= keepAliveInterval:
			line = []byte{}
		}
		if line != nil {
			s.notify(dispatcher, entries, true)
			if _, err := w.Write(append(line, '\n')); err != nil {
				return
			}
			if out.Flush() != nil {
				return
			}
			s.notify(dispatcher, entries, false)
			first, version, wroteAt = false, newest, time.Now()
		}
		select {
		case <-poll.C:
		case <-r.Context().Done():
			return
		case <-open.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// notify notes what a dispatcher is told: that workers are ready before it can know, and the rest once it can. It
// guards against a judge that takes a dispatcher that was quicker than the note for one that breaks a drain.
func (s *Server) notify(dispatcher int, entries []Entry, ready bool) {
	for _, e := range entries {
		if ready == (e.State == Ready) {
			s.notified(dispatcher, e)
		}
	}
}

type wireEndpoint struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health State   `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

func encode(version int, complete bool, entries []Entry, dispatcher int) []byte {
	list := struct {
		Seq   int            `json:"seq"`
		Whole bool           `json:"whole"`
		Hosts []wireEndpoint `json:"hosts"`
	}{version, complete, []wireEndpoint{}}
	for _, e := range entries {
		if complete && e.State == Gone {
			continue
		}
		h := wireEndpoint{
			Host: e.Name, Dial: e.Addresses[dispatcher], Site: e.Zone, Class: e.Kind, Block: e.Cell,
			Health: e.State, Share: 1,
		}
		if !e.StartedAt.IsZero() {
			h.BornMs = e.StartedAt.UnixMilli()
		}
		list.Hosts = append(list.Hosts, h)
	}
	b, err := json.Marshal(list)
	if err != nil { // all of it is text and numbers
		panic(err)
	}
	return b
}
