package baseline

import (
	"net/http"
	"net/http/httputil"
	"net/url"
)

// reverseProxy returns the standard library's reverse proxy over the listed workers in turn. It does not retry, and
// passes the workers' lines through unchanged, as it serves to compare cost only.
func (d *dispatcher) reverseProxy() http.Handler {
	return &httputil.ReverseProxy{Transport: d.transport, Rewrite: func(request *httputil.ProxyRequest) {
		worker := d.pick(nil)
		if worker == nil {
			return
		}
		d.release(worker) // nothing in flight is counted
		d.mu.Lock()
		target := &url.URL{Scheme: "http", Host: worker.address}
		d.mu.Unlock()
		request.SetURL(target)
	}}
}
