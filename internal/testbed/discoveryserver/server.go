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

// Outage is a failure mode of the discovery service, or Healthy.
type Outage uint8

// The values of Outage.
const (
	Healthy     Outage = iota
	Down               // watches are closed, and requests get no response
	Unavailable        // watches are closed, and requests get the status 503
)

// Intervals and timeouts of the service.
const (
	changeCheckInterval = 20 * time.Millisecond // interval at which a watch checks for changes
	keepAliveInterval   = 2 * time.Second       // a watch without changes writes an empty line after this time
	readHeaderTimeout   = 5 * time.Second
)

// Server is the simulated discovery service.
type Server struct {
	clock     func() time.Duration              // returns the time since the start of the experiment
	notify    func(dispatcher int, entry Entry) // called for each entry that is sent to a dispatcher
	servers   []*http.Server                    // by dispatcher
	listeners []net.Listener                    // by dispatcher

	mu            sync.Mutex
	catalog       *Catalog
	outage        Outage
	watchContext  context.Context // canceled to close all watches
	cancelWatches context.CancelFunc
}

// New opens a listener for each dispatcher. notify is called for each entry that is sent to a dispatcher.
func New(catalog *Catalog, dispatchers int, clock func() time.Duration, notify func(int, Entry)) (*Server, error) {
	s := &Server{catalog: catalog, clock: clock, notify: notify}
	s.watchContext, s.cancelWatches = context.WithCancel(context.Background())
	for dispatcher := range dispatchers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.close()
			return nil, fmt.Errorf("discovery service: %w", err)
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /catalog/members", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, dispatcher) })
		s.listeners = append(s.listeners, ln)
		s.servers = append(s.servers, &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout})
	}
	return s, nil
}

// Address returns the address at which the service listens for a dispatcher.
func (s *Server) Address(dispatcher int) string { return s.listeners[dispatcher].Addr().String() }

// Run serves requests until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for dispatcher, server := range s.servers {
		group.Go(func() error {
			if err := server.Serve(s.listeners[dispatcher]); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("discovery service: %w", err)
			}
			return nil
		})
	}
	group.Go(func() error {
		<-ctx.Done()
		s.close()
		return nil
	})
	return group.Wait()
}

// close closes all watches, connections and listeners.
func (s *Server) close() {
	s.cancelWatches()
	for _, server := range s.servers {
		server.Close()
	}
	for _, ln := range s.listeners {
		ln.Close()
	}
}

// Update adds or replaces the entry of a worker.
func (s *Server) Update(entry Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog.Update(s.clock(), entry)
}

// SetLag sets the lag. Changes that are already visible stay visible.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog.SetLag(s.clock(), lag)
}

// SetOutage sets the failure mode and closes all watches.
func (s *Server) SetOutage(outage Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
	s.cancelWatches()
	s.watchContext, s.cancelWatches = context.WithCancel(context.Background())
}

// CompleteList returns the visible list as JSON, with the addresses for the given dispatcher.
func (s *Server) CompleteList(dispatcher int) []byte {
	return encode(s.complete(), dispatcher)
}

// complete returns the visible list.
func (s *Server) complete() List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog.Complete(s.clock())
}

// changesSince returns the changes after a version. See Catalog.ChangesSince.
func (s *Server) changesSince(version int) List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog.ChangesSince(s.clock(), version)
}

// serve handles a poll or watch request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, dispatcher int) {
	s.mu.Lock()
	outage, watchContext := s.outage, s.watchContext
	s.mu.Unlock()
	switch outage {
	case Down:
		panic(http.ErrAbortHandler) // closes the connection without a response
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("stream") != "1" {
		s.serveList(w, dispatcher)
		return
	}
	version, err := strconv.Atoi(r.URL.Query().Get("index"))
	if err != nil {
		http.Error(w, "index: must be a version", http.StatusBadRequest)
		return
	}
	s.watch(w, r, dispatcher, version, watchContext)
}

// serveList handles a poll request.
func (s *Server) serveList(w http.ResponseWriter, dispatcher int) {
	list := s.complete()
	s.notifyReady(dispatcher, list.Entries)
	_, _ = w.Write(append(encode(list, dispatcher), '\n')) // fails only if the client has disconnected
	s.notifyNotReady(dispatcher, list.Entries)
}

// notifyReady reports the ready entries before they are sent to a dispatcher. If they were reported afterwards, a
// dispatcher that uses the worker before the report would appear to violate a drain.
func (s *Server) notifyReady(dispatcher int, entries []Entry) {
	for _, entry := range entries {
		if entry.State == Ready {
			s.notify(dispatcher, entry)
		}
	}
}

// notifyNotReady reports the entries that are not ready, after they were sent to a dispatcher.
func (s *Server) notifyNotReady(dispatcher int, entries []Entry) {
	for _, entry := range entries {
		if entry.State != Ready {
			s.notify(dispatcher, entry)
		}
	}
}

// watch writes a line at its start and after changes, and an empty line after each keepAliveInterval without a change.
// It ends when the client disconnects or all watches are closed.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, dispatcher, version int, watchContext context.Context) {
	out := http.NewResponseController(w)
	wroteAt := time.Time{} // zero: the first line is written immediately, even if nothing has changed
	changeCheck := time.NewTicker(changeCheckInterval)
	defer changeCheck.Stop()
	for {
		list := s.changesSince(version)
		var line []byte
		changed := wroteAt.IsZero() || list.Version != version
		if changed {
			line = encode(list, dispatcher)
		}
		if changed || time.Since(wroteAt) >= keepAliveInterval {
			s.notifyReady(dispatcher, list.Entries)
			if _, err := w.Write(append(line, '\n')); err != nil {
				return
			}
			if out.Flush() != nil {
				return
			}
			s.notifyNotReady(dispatcher, list.Entries)
			version = list.Version
			wroteAt = time.Now()
		}
		select {
		case <-changeCheck.C:
		case <-r.Context().Done():
			return
		case <-watchContext.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// wireEndpoint is the JSON encoding of a worker in the protocol of the discovery service.
type wireEndpoint struct {
	Name            string  `json:"host"`
	Address         string  `json:"dial"`
	Zone            string  `json:"site"`
	Kind            string  `json:"class"`
	Cell            int     `json:"block"`
	State           State   `json:"health"`
	Share           float64 `json:"share"`
	StartedAtMillis int64   `json:"born_ms"`
}

// wireList is the JSON encoding of a list in the protocol of the discovery service.
type wireList struct {
	Version  int            `json:"seq"`
	Complete bool           `json:"whole"`
	Workers  []wireEndpoint `json:"hosts"`
}

// fullShare is the share of the load for a worker, relative to other workers. It is the same for all workers.
const fullShare = 1

// encode encodes a list in the protocol of the discovery service, with the addresses for the given dispatcher. It omits
// workers that are gone from a complete list.
func encode(list List, dispatcher int) []byte {
	encoded := wireList{Version: list.Version, Complete: list.Complete, Workers: []wireEndpoint{}}
	for _, entry := range list.Entries {
		if list.Complete && entry.State == Gone {
			continue
		}
		endpoint := wireEndpoint{
			Name:    entry.Name,
			Address: entry.Addresses[dispatcher],
			Zone:    entry.Zone,
			Kind:    entry.Kind,
			Cell:    entry.Cell,
			State:   entry.State,
			Share:   fullShare,
		}
		if !entry.StartedAt.IsZero() {
			endpoint.StartedAtMillis = entry.StartedAt.UnixMilli()
		}
		encoded.Workers = append(encoded.Workers, endpoint)
	}
	b, err := json.Marshal(encoded)
	if err != nil { // cannot happen: all fields are text or numbers
		panic(err)
	}
	return b
}
