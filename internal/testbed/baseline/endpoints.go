package baseline

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"canvasroute/internal/protocol"
)

// Bounds of the endpoint watch.
const (
	watchRetryDelay = 500 * time.Millisecond
	maxListBytes    = 8 << 20
)

// health answers 200 once a worker is ready.
func (d *dispatcher) health(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.ContainsFunc(d.backends, func(b *backend) bool { return b.state == protocol.Ready }) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// followEndpoints watches the endpoint list until ctx ends.
func (d *dispatcher) followEndpoints(ctx context.Context) {
	for ctx.Err() == nil {
		if err := d.watch(ctx); err != nil && ctx.Err() == nil {
			d.log.Warn().Err(err).Msg("endpoint watch failed")
		}
		select {
		case <-time.After(watchRetryDelay):
		case <-ctx.Done():
		}
	}
}

// watch applies the lines of one watch until it ends.
func (d *dispatcher) watch(ctx context.Context) error {
	d.mu.Lock()
	target := "http://" + d.settings.Proxy.DiscoveryAddress + protocol.WatchTarget(d.version)
	d.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("endpoint list: status %d", response.StatusCode)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxListBytes)
	for lines.Scan() {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		list, err := protocol.ParseEndpointList(lines.Bytes())
		if err != nil {
			return err
		}
		d.updateEndpoints(&list)
	}
	return lines.Err()
}

// updateEndpoints applies a list, or the changes to one.
func (d *dispatcher) updateEndpoints(list *protocol.EndpointList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version = list.Version
	seen := map[string]bool{}
	for _, e := range list.Endpoints {
		seen[e.ID] = true
		n := slices.IndexFunc(d.backends, func(b *backend) bool { return b.name == e.ID })
		if n < 0 {
			n = len(d.backends)
			d.backends = append(d.backends, &backend{name: e.ID})
		}
		b := d.backends[n]
		if e.Address != "" {
			b.address = e.Address
		}
		b.state = e.State
		if e.StartedAtMillis > 0 {
			b.startedAt = time.UnixMilli(int64(e.StartedAtMillis))
		}
	}
	for _, b := range d.backends {
		if list.Complete && !seen[b.name] {
			b.state = protocol.Gone
		}
	}
}
