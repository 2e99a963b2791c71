package daemon

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"canvasroute/internal/settings"
)

// configReader takes values out of a configuration file and the environment. It keeps the first fault and goes on, so
// that its callers need not check after each value.
type configReader struct {
	root   *fastjson.Value
	getenv func(string) string
	err    error // a *settings.KeyError
}

// bounds are the default of a number, and the least and greatest value that is accepted.
type bounds struct{ unset, min, max float64 }

func (r *configReader) reject(key, format string, args ...any) {
	if r.err == nil {
		r.err = &settings.KeyError{Key: key, Problem: fmt.Sprintf(format, args...)}
	}
}

// rejectError rejects a key for an error that says all about it.
func (r *configReader) rejectError(key string, err error) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: %w", key, err)
	}
}

// dotted is the path of a key as it is written in faults.
func dotted(path []string) string { return strings.Join(path, ".") }

// text reads a non-empty string that must be there, in the environment variable or at the file's key. No variable
// overrides a key for which variable is "".
func (r *configReader) text(variable, key string) string {
	if s := r.override(variable); s != "" {
		return s
	}
	field := r.root.Get(key)
	if field == nil || field.Type() != fastjson.TypeString || len(field.GetStringBytes()) == 0 {
		r.reject(key, "must be a non-empty string")
		return ""
	}
	return string(field.GetStringBytes())
}

func (r *configReader) override(variable string) string {
	if variable == "" {
		return ""
	}
	return r.getenv(variable)
}

// address reads an IP address with a port, as text reads it.
func (r *configReader) address(variable, key string) netip.AddrPort {
	text := r.text(variable, key)
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		if r.override(variable) != "" {
			key = variable
		}
		r.reject(key, "%q is not an address with a port, such as 127.0.0.1:8080", text)
	}
	return addr
}

// number reads a number within bounds, or its default where the file has none.
func (r *configReader) number(b bounds, path ...string) float64 {
	field := r.root.Get(path...)
	if field == nil {
		return b.unset
	}
	n, err := field.Float64()
	if err != nil || !(n >= b.min && n <= b.max) {
		r.reject(dotted(path), "%s, must be a number from %v to %v", field, b.min, b.max)
		return b.unset
	}
	return n
}

// seconds reads a duration in seconds. 0 selects the default.
func (r *configReader) seconds(unset time.Duration, path ...string) time.Duration {
	s := r.number(bounds{unset.Seconds(), 0, math.MaxInt32}, path...)
	if s == 0 {
		return unset
	}
	return time.Duration(s * float64(time.Second))
}

// names reads a list of strings, empty where the file has none.
func (r *configReader) names(path ...string) []string {
	var names []string
	for n, v := range r.root.GetArray(path...) {
		if v.Type() != fastjson.TypeString {
			r.reject(fmt.Sprintf("%s[%d]", dotted(path), n), "must be a string")
		}
		names = append(names, string(v.GetStringBytes()))
	}
	return names
}
