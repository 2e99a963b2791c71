package baseline

import (
	"net/http"
	"net/http/httputil"
	"net/url"
)

// reverseProxy is the standard library's reverse proxy over the listed workers in turn. It knows nothing of retries,
// and passes a worker's lines through as they are: it is there for its cost alone.
func (r *dispatcher) reverseProxy() http.Handler {
	return &httputil.ReverseProxy{Transport: r.transport, Rewrite: func(p *httputil.ProxyRequest) {
		b := r.pick(nil)
		if b == nil {
			return
		}
		r.mu.Lock()
		b.inFlight--
		target := &url.URL{Scheme: "http", Host: b.address}
		r.mu.Unlock()
		p.SetURL(target)
	}}
}
