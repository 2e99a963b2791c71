package baseline

import (
	"net/http"
	"net/http/httputil"
	"net/url"
)

// reverseProxy returns a reverse proxy of the standard library that uses the ready workers in turn. It is only used to
// compare the cost per request: it does not retry, and forwards the workers' lines unchanged.
func (d *dispatcher) reverseProxy() http.Handler {
	return &httputil.ReverseProxy{Transport: d.transport, Rewrite: func(request *httputil.ProxyRequest) {
		worker := d.pickWorker(nil)
		if worker == nil {
			return
		}
		d.releaseWorker(worker) // this policy does not use the number of attempts in flight
		d.mu.Lock()
		target := &url.URL{Scheme: "http", Host: worker.address}
		d.mu.Unlock()
		request.SetURL(target)
	}}
}
