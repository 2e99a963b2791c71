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

// Outage is a failure mode of the discovery service.
type Outage uint8

// The values of Outage.
const (
	Healthy     Outage = iota
	Down               // watches end, connections are reset
	Unavailable        // watches end, calls are answered with 503
)

// Timing of the service.
const (
	pollInterval      = 20 * time.Millisecond // from one look of a watch for changes to the next
	keepAliveInterval = 2 * time.Second       // after which a watch writes an empty line if nothing has changed
	readHeaderTimeout = 5 * time.Second
)

// Server is the discovery service.
type Server struct {
	clock     func() time.Duration              // returns the time since the start of the experiment
	notified  func(dispatcher int, entry Entry) // called for each entry that is written to a dispatcher
	servers   []*http.Server                    // by dispatcher
	listeners []net.Listener                    // by dispatcher

	mu         sync.Mutex
	catalog    *Catalog
	outage     Outage
	watches    context.Context // of all watches
	endWatches context.CancelFunc
}

// New opens a listener for each dispatcher. notified is called for each entry that is written to a dispatcher.
func New(catalog *Catalog, dispatchers int, clock func() time.Duration, notified func(int, Entry)) (*Server, error) {
	s := &Server{catalog: catalog, clock: clock, notified: notified}
	s.watches, s.endWatches = context.WithCancel(context.Background())
	for dispatcher := range dispatchers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.close()
			return nil, fmt.Errorf("list service: %w", err)
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /catalog/members", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, dispatcher) })
		s.listeners = append(s.listeners, ln)
		s.servers = append(s.servers, &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout})
	}
	return s, nil
}

// Address returns the address of the list for a dispatcher.
func (s *Server) Address(dispatcher int) string { return s.listeners[dispatcher].Addr().String() }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	running, ctx := errgroup.WithContext(ctx)
	for dispatcher, server := range s.servers {
		running.Go(func() error {
			if err := server.Serve(s.listeners[dispatcher]); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("list service: %w", err)
			}
			return nil
		})
	}
	running.Go(func() error {
		<-ctx.Done()
		s.close()
		return nil
	})
	return running.Wait()
}

// close ends all watches and connections, and listens no longer.
func (s *Server) close() {
	s.endWatches()
	for _, server := range s.servers {
		server.Close()
	}
	for _, ln := range s.listeners {
		ln.Close()
	}
}

// Update adds or changes an entry.
func (s *Server) Update(entry Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog.Update(s.clock(), entry)
}

// SetLag sets the lag for changes that are not visible yet.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog.SetLag(s.clock(), lag)
}

// SetOutage changes the failure mode, and ends all watches.
func (s *Server) SetOutage(outage Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
	s.endWatches()
	s.watches, s.endWatches = context.WithCancel(context.Background())
}

// CompleteList returns the visible list as a dispatcher sees it, as JSON.
func (s *Server) CompleteList(dispatcher int) []byte {
	return encode(s.complete(), dispatcher)
}

// complete returns the visible list.
func (s *Server) complete() List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog.Complete(s.clock())
}

// changesSince returns what has changed after a version, see Catalog.ChangesSince.
func (s *Server) changesSince(version int) List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog.ChangesSince(s.clock(), version)
}

// serve answers a poll of the list, or a watch of it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, dispatcher int) {
	s.mu.Lock()
	outage, watches := s.outage, s.watches
	s.mu.Unlock()
	switch outage {
	case Down:
		panic(http.ErrAbortHandler) // resets the connection
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
	s.watch(w, r, dispatcher, version, watches)
}

// serveList answers a poll of the list.
func (s *Server) serveList(w http.ResponseWriter, dispatcher int) {
	list := s.complete()
	s.notifyReady(dispatcher, list.Entries)
	_, _ = w.Write(append(encode(list, dispatcher), '\n')) // fails only if the client has left
	s.notifyNotReady(dispatcher, list.Entries)
}

// notifyReady reports the ready ones of the entries that are about to be written to a dispatcher. If they were reported
// afterwards, a dispatcher that reacts before that would seem to violate a drain.
func (s *Server) notifyReady(dispatcher int, entries []Entry) {
	for _, entry := range entries {
		if entry.State == Ready {
			s.notified(dispatcher, entry)
		}
	}
}

// notifyNotReady reports the other ones of the entries that have been written to a dispatcher.
func (s *Server) notifyNotReady(dispatcher int, entries []Entry) {
	for _, entry := range entries {
		if entry.State != Ready {
			s.notified(dispatcher, entry)
		}
	}
}

// watch writes a line at its start and for each change, until the client leaves or the watches end.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, dispatcher, version int, watches context.Context) {
	out := http.NewResponseController(w)
	wroteAt := time.Time{} // never: the first line is due at once, also where nothing has changed
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
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
		case <-poll.C:
		case <-r.Context().Done():
			return
		case <-watches.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// wireEndpoint is a worker in the protocol of the discovery service.
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

// wireList is a list in the protocol of the discovery service.
type wireList struct {
	Version  int            `json:"seq"`
	Complete bool           `json:"whole"`
	Workers  []wireEndpoint `json:"hosts"`
}

// fullShare is the share of the load that a listed worker takes, relative to the others: all take the same.
const fullShare = 1

// encode returns a list in the protocol of the discovery service, as one dispatcher sees it. A complete list leaves out
// workers that are gone.
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
	if err != nil { // the fields are text and numbers, which can always be encoded
		panic(err)
	}
	return b
}
