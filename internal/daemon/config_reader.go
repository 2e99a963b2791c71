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

// configReader reads values from a configuration file and the environment. It keeps the first fault and continues, so
// that its callers need not check after each value.
type configReader struct {
	root   *fastjson.Value     // the file's object
	getenv func(string) string // "" for a variable that is not set
	err    error               // the first fault: a *settings.KeyError, or one that wraps the cause
}

// reject records what is wrong with the value of a key, and what is accepted.
func (r *configReader) reject(key, format string, args ...any) {
	if r.err == nil {
		r.err = &settings.KeyError{Key: key, Problem: fmt.Sprintf(format, args...)}
	}
}

// rejectError records the error of the package that has parsed the value of a key.
func (r *configReader) rejectError(key string, err error) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: %w", key, err)
	}
}

// String is the path as faults have it, such as "limits.cores".
func (path keyPath) String() string { return strings.Join(path, ".") }

// text returns the value of an environment variable or, where it is not set, the non-empty string at the file's key.
// With "" for variable, no variable overrides the key.
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

// override returns the value of an environment variable, "" where it is not set or there is none for the key.
func (r *configReader) override(variable string) string {
	if variable == "" {
		return ""
	}
	return r.getenv(variable)
}

// address returns the IP address with a port that text returns. A fault names the variable where that has the value.
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

// number returns the number at a key, or the key's default.
func (r *configReader) number(key numberKey) float64 {
	field := r.root.Get(key.path...)
	if field == nil {
		return key.defaultValue
	}
	n, err := field.Float64()
	if err != nil || !(n >= key.min && n <= key.max) {
		r.reject(key.path.String(), "%s, must be a number from %v to %v", field, key.min, key.max)
		return key.defaultValue
	}
	return n
}

// seconds returns the duration at a key, or the key's default.
func (r *configReader) seconds(key durationKey) time.Duration {
	s := r.number(numberKey{path: key.path, defaultValue: key.defaultValue.Seconds(), min: 0, max: math.MaxInt32})
	if s == 0 {
		return key.defaultValue
	}
	return time.Duration(s * float64(time.Second))
}

// names returns the list of strings at a path, empty where the file has none.
func (r *configReader) names(path ...string) []string {
	var names []string
	for n, v := range r.root.GetArray(path...) {
		if v.Type() != fastjson.TypeString {
			r.reject(fmt.Sprintf("%s[%d]", keyPath(path), n), "must be a string")
		}
		names = append(names, string(v.GetStringBytes()))
	}
	return names
}
