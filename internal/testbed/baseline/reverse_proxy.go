package baseline

import (
	"net/http"
	"net/http/httputil"
	"net/url"
)

// proxy is the standard library's reverse proxy over the listed workers in turn. It knows nothing of retries,
// and passes a worker's lines through as they are: it is there for its cost alone.
func (r *rival) proxy() http.Handler {
	return &httputil.ReverseProxy{Transport: r.transport, Rewrite: func(p *httputil.ProxyRequest) {
		b := r.choose(nil)
		if b == nil {
			return
		}
		r.mu.Lock()
		b.out--
		target := &url.URL{Scheme: "http", Host: b.address}
		r.mu.Unlock()
		p.SetURL(target)
	}}
}
