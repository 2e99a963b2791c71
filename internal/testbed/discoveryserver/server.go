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

// Outage is a failure mode of the list service.
type Outage uint8

// The values of Outage.
const (
	Healthy     Outage = iota
	Down               // watches end, connections are reset
	Unavailable        // watches end, calls are answered with 503
)

// pollInterval is how often a watch looks for changes, keepAliveInterval how often it writes an empty line without any.
const (
	pollInterval      = 20 * time.Millisecond
	keepAliveInterval = 2 * time.Second
)

// Server is the list service.
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

// New opens a listener for each dispatcher. notified is called for each entry that is written to a dispatcher.
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

// Address returns the address of the list for a dispatcher.
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

// Update adds or changes an entry.
func (s *Server) Update(e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog.Update(s.clock(), e)
}

// SetLag sets the lag for changes that are not visible yet.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog.SetLag(s.clock(), lag)
}

// SetOutage changes the failure mode, and ends all watches.
func (s *Server) SetOutage(t Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = t
	s.endWatches()
	s.watches, s.endWatches = context.WithCancel(context.Background())
}

// CompleteList returns the visible list as a dispatcher sees it, as JSON.
func (s *Server) CompleteList(dispatcher int) []byte {
	s.mu.Lock()
	version, entries := s.catalog.Complete(s.clock())
	s.mu.Unlock()
	return encode(version, true, entries, dispatcher)
}

// serve answers a call for the list, or a watch of it.
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

func (s *Server) serveList(w http.ResponseWriter, dispatcher int) {
	s.mu.Lock()
	version, entries := s.catalog.Complete(s.clock())
	s.mu.Unlock()
	s.notify(dispatcher, entries, true)
	_, _ = w.Write(append(encode(version, true, entries, dispatcher), '\n'))
	s.notify(dispatcher, entries, false)
}

// watch writes a line at its start and for each change, until the client leaves or the watches end.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, dispatcher, version int,
	watches context.Context,
) {
	out := http.NewResponseController(w)
	wroteAt := time.Time{} // never: the first line is due at once, also where nothing has changed
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		s.mu.Lock()
		newest, complete, entries := s.catalog.ChangesSince(s.clock(), version)
		s.mu.Unlock()
		var line []byte
		changed := wroteAt.IsZero() || newest != version
		if changed {
			line = encode(newest, complete, entries, dispatcher)
		}
		if changed || time.Since(wroteAt) >= keepAliveInterval {
			s.notify(dispatcher, entries, true)
			if _, err := w.Write(append(line, '\n')); err != nil {
				return
			}
			if out.Flush() != nil {
				return
			}
			s.notify(dispatcher, entries, false)
			version = newest
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

// notify reports the entries written to a dispatcher: ready ones before they are written (ready), others afterwards. A
// dispatcher that reacts before its notification is recorded would otherwise seem to violate a drain.
func (s *Server) notify(dispatcher int, entries []Entry, ready bool) {
	for _, e := range entries {
		if ready == (e.State == Ready) {
			s.notified(dispatcher, e)
		}
	}
}

// wireEndpoint is a worker in the protocol of the list service.
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

// encode writes entries in the protocol of the list service, as one dispatcher sees them. A complete list leaves out
// workers that are gone.
func encode(version int, complete bool, entries []Entry, dispatcher int) []byte {
	list := struct {
		Version  int            `json:"seq"`
		Complete bool           `json:"whole"`
		Workers  []wireEndpoint `json:"hosts"`
	}{version, complete, []wireEndpoint{}}
	for _, entry := range entries {
		if complete && entry.State == Gone {
			continue
		}
		endpoint := wireEndpoint{
			Name: entry.Name, Address: entry.Addresses[dispatcher], Zone: entry.Zone, Kind: entry.Kind, Cell: entry.Cell,
			State: entry.State, Share: 1,
		}
		if !entry.StartedAt.IsZero() {
			endpoint.StartedAtMillis = entry.StartedAt.UnixMilli()
		}
		list.Workers = append(list.Workers, endpoint)
	}
	b, err := json.Marshal(list)
	if err != nil { // the fields are text and numbers, which can always be encoded
		panic(err)
	}
	return b
}
