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

// configReader reads values from a configuration file and the environment. It records the first error and continues, so
// that callers need not check for an error after each value.
type configReader struct {
	root   *fastjson.Value     // the file's object
	getenv func(string) string // returns "" for a variable that is not set
	err    error               // the first error: a *settings.KeyError, or an error that wraps its cause
}

// reject records an error about the value of a key. The message describes the problem and the accepted values.
func (r *configReader) reject(key, format string, args ...any) {
	if r.err == nil {
		r.err = &settings.KeyError{Key: key, Problem: fmt.Sprintf(format, args...)}
	}
}

// rejectError records an error from the package that parses the value of a key.
func (r *configReader) rejectError(key string, err error) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: %w", key, err)
	}
}

// String returns the path in the form used in error messages, such as "limits.cores".
func (path keyPath) String() string { return strings.Join(path, ".") }

// text returns the value of an environment variable or, if it is not set, the string at a key of the file, which must
// not be empty. An empty variable name means that no variable overrides the key.
func (r *configReader) text(variable, key string) string {
	if s := r.envOverride(variable); s != "" {
		return s
	}
	field := r.root.Get(key)
	if field == nil || field.Type() != fastjson.TypeString || len(field.GetStringBytes()) == 0 {
		r.reject(key, "must be a non-empty string")
		return ""
	}
	return string(field.GetStringBytes())
}

// envOverride returns the value of an environment variable, or "" if the variable is not set or its name is empty.
func (r *configReader) envOverride(variable string) string {
	if variable == "" {
		return ""
	}
	return r.getenv(variable)
}

// address parses the value that text returns as an IP address with a port. If the value comes from the environment, the
// error names the variable instead of the key.
func (r *configReader) address(variable, key string) netip.AddrPort {
	text := r.text(variable, key)
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		if r.envOverride(variable) != "" {
			key = variable
		}
		r.reject(key, "%q is not an address with a port, such as 127.0.0.1:8080", text)
	}
	return addr
}

// number returns the number at a key, or the default of the key if it is missing.
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

// duration returns the duration at a key, or the default of the key if it is missing or 0.
func (r *configReader) duration(key durationKey) time.Duration {
	s := r.number(numberKey{path: key.path, defaultValue: key.defaultValue.Seconds(), min: 0, max: math.MaxInt32})
	if s == 0 {
		return key.defaultValue
	}
	return time.Duration(s * float64(time.Second))
}

// names returns the list of strings at a path, which is empty if the key is missing.
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
