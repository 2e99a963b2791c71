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

// Limits and timing of the endpoint watch.
const (
	watchRetryDelay = 500 * time.Millisecond // delay between the end of a watch and the next one
	maxListBytes    = 8 << 20                // maximum length of a line
)

// serveHealth handles health checks. The status is 200 if a worker is ready, and 503 otherwise.
func (d *dispatcher) serveHealth(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.ContainsFunc(d.backends, func(b *backend) bool { return b.state == protocol.Ready }) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// watchEndpoints watches the endpoint list until ctx is done. It restarts a watch watchRetryDelay after it has ended.
func (d *dispatcher) watchEndpoints(ctx context.Context) {
	for ctx.Err() == nil {
		if err := d.runWatch(ctx); err != nil && ctx.Err() == nil {
			d.log.Warn().Err(err).Msg("endpoint watch failed")
		}
		select {
		case <-time.After(watchRetryDelay):
		case <-ctx.Done():
		}
	}
}

// runWatch opens a watch of the endpoint list, and applies its lines until it ends.
func (d *dispatcher) runWatch(ctx context.Context) error {
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

// updateEndpoints applies a complete endpoint list or changes to it.
func (d *dispatcher) updateEndpoints(list *protocol.EndpointList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version = list.Version
	listed := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		listed[endpoint.ID] = true
		worker := d.findOrAddBackend(endpoint.ID)
		worker.state = endpoint.State
		if endpoint.Address != "" {
			worker.address = endpoint.Address
		}
		if endpoint.StartedAtMillis > 0 {
			worker.startedAt = time.UnixMilli(int64(endpoint.StartedAtMillis))
		}
	}
	for _, worker := range d.backends {
		if list.Complete && !listed[worker.name] {
			worker.state = protocol.Gone
		}
	}
}

// findOrAddBackend returns the worker with the given name, and adds it if it is unknown. The caller must hold d.mu.
func (d *dispatcher) findOrAddBackend(name string) *backend {
	index := slices.IndexFunc(d.backends, func(b *backend) bool { return b.name == name })
	if index >= 0 {
		return d.backends[index]
	}
	added := &backend{name: name}
	d.backends = append(d.backends, added)
	return added
}
