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
	watchRetryDelay = 500 * time.Millisecond // from the end of a watch to the next
	maxListBytes    = 8 << 20                // of one line
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
	listed := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		listed[endpoint.ID] = true
		worker := d.backendNamed(endpoint.ID)
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

// backendNamed returns the worker with a name, which it adds if it is new. The caller holds the lock.
func (d *dispatcher) backendNamed(name string) *backend {
	index := slices.IndexFunc(d.backends, func(b *backend) bool { return b.name == name })
	if index >= 0 {
		return d.backends[index]
	}
	added := &backend{name: name}
	d.backends = append(d.backends, added)
	return added
}
