package baseline

import (
	"net/http"
	"net/http/httputil"
	"net/url"
)

// reverseProxy is the standard library's reverse proxy over the listed workers in turn. It does not retry and passes the
// workers' lines through unchanged: it serves to compare cost only.
func (d *dispatcher) reverseProxy() http.Handler {
	return &httputil.ReverseProxy{Transport: d.transport, Rewrite: func(config *httputil.ProxyRequest) {
		b := d.pick(nil)
		if b == nil {
			return
		}
		d.mu.Lock()
		b.inFlight--
		target := &url.URL{Scheme: "http", Host: b.address}
		d.mu.Unlock()
		config.SetURL(target)
	}}
}
