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

// Trouble is what is wrong with the list service.
type Trouble uint8

// The values of Trouble.
const (
	Fine    Trouble = iota
	Away            // watches end, and calls are reset
	Refuses         // watches end, and calls are answered 503
)

// Timing of a watch.
const (
	lookEvery  = 20 * time.Millisecond
	blankEvery = 2 * time.Second
)

// Service is the list service. Told is called after an entry has been written to a dispatcher.
type Service struct {
	clock func() time.Duration
	told  func(dispatcher int, e Entry)

	mu      sync.Mutex
	catalog *Catalog
	trouble Trouble
	broken  context.CancelFunc // ends the watches
	open    context.Context

	servers   []*http.Server
	listeners []net.Listener
}

// New opens a listener for each dispatcher.
func New(c *Catalog, dispatchers int, clock func() time.Duration, told func(int, Entry)) (*Service, error) {
	s := &Service{catalog: c, clock: clock, told: told}
	s.open, s.broken = context.WithCancel(context.Background())
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
func (s *Service) Address(dispatcher int) string { return s.listeners[dispatcher].Addr().String() }

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) error {
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

func (s *Service) close() {
	s.broken()
	for _, server := range s.servers {
		server.Close()
	}
	for _, ln := range s.listeners {
		ln.Close()
	}
}

// Put changes an entry.
func (s *Service) Put(e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog.Put(s.clock(), e)
}

// Lag sets how far behind the list runs.
func (s *Service) Lag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog.Lag(s.clock(), lag)
}

// Set begins or ends a trouble.
func (s *Service) Set(t Trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = t
	s.broken()
	s.open, s.broken = context.WithCancel(context.Background())
}

// Whole is the list now as JSON, in a dispatcher's view.
func (s *Service) Whole(dispatcher int) []byte {
	s.mu.Lock()
	version, entries := s.catalog.Whole(s.clock())
	s.mu.Unlock()
	return encode(version, true, entries, dispatcher)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request, dispatcher int) {
	s.mu.Lock()
	trouble, open := s.trouble, s.open
	s.mu.Unlock()
	switch trouble {
	case Away:
		panic(http.ErrAbortHandler) // the connection is reset
	case Refuses:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("stream") != "1" {
		s.mu.Lock()
		version, entries := s.catalog.Whole(s.clock())
		s.mu.Unlock()
		s.tell(dispatcher, entries, true)
		_, _ = w.Write(append(encode(version, true, entries, dispatcher), '\n'))
		s.tell(dispatcher, entries, false)
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
func (s *Service) watch(w http.ResponseWriter, r *http.Request, dispatcher, version int,
	open context.Context,
) {
	out, first, wrote := http.NewResponseController(w), true, time.Now()
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		s.mu.Lock()
		newest, whole, entries := s.catalog.Since(s.clock(), version)
		s.mu.Unlock()
		var line []byte
		switch {
		case first || newest != version:
			line = encode(newest, whole && (first || newest != version), entries, dispatcher)
		case time.Since(wrote) >= blankEvery:
			line = []byte{}
		}
		if line != nil {
			s.tell(dispatcher, entries, true)
			if _, err := w.Write(append(line, '\n')); err != nil {
				return
			}
			if out.Flush() != nil {
				return
			}
			s.tell(dispatcher, entries, false)
			first, version, wrote = false, newest, time.Now()
		}
		select {
		case <-look.C:
		case <-r.Context().Done():
			return
		case <-open.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// tell notes what a dispatcher is told: that workers are ready before it can know, and the rest once it can. It
// guards against a judge that takes a dispatcher that was quicker than the note for one that breaks a drain.
func (s *Service) tell(dispatcher int, entries []Entry, ready bool) {
	for _, e := range entries {
		if ready == (e.State == Ready) {
			s.told(dispatcher, e)
		}
	}
}

type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health State   `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

func encode(version int, whole bool, entries []Entry, dispatcher int) []byte {
	list := struct {
		Seq   int    `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts []host `json:"hosts"`
	}{version, whole, []host{}}
	for _, e := range entries {
		if whole && e.State == Gone {
			continue
		}
		h := host{
			Host: e.Host, Dial: e.Dials[dispatcher], Site: e.Site, Class: e.Kind, Block: e.Block,
			Health: e.State, Share: 1,
		}
		if !e.Born.IsZero() {
			h.BornMs = e.Born.UnixMilli()
		}
		list.Hosts = append(list.Hosts, h)
	}
	b, err := json.Marshal(list)
	if err != nil { // all of it is text and numbers
		panic(err)
	}
	return b
}
