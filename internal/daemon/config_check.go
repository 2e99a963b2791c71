package daemon

import (
	"fmt"
	"math"

	"github.com/valyala/fastjson"
)

// Checks of settings that package settings accepts because the simulator may use such values, but that a dispatcher
// with real connections must reject.

// checkOperations rejects latency objectives and client timeouts that are not positive, and duplicate operation names.
func (r *configReader) checkOperations() {
	indexByName := map[string]int{}
	for n, operation := range r.root.GetArray("settings", "operations") {
		path := fmt.Sprintf("settings.operations[%d]", n)
		for _, key := range []string{"latencyObjectiveS", "clientTimeoutS"} {
			if operation.Exists(key) {
				r.checkPositive(operation.Get(key), path+"."+key)
			}
		}
		name := string(operation.GetStringBytes("name"))
		if previous, repeated := indexByName[name]; repeated {
			r.reject(path+".name", "%q is already the name of settings.operations[%d]", name, previous)
		}
		indexByName[name] = n
	}
}

// checkMaxAttempts rejects a maximum number of attempts that is not a positive whole number.
func (r *configReader) checkMaxAttempts() {
	path := keyPath{"settings", "policyLimits", "maxForwards"}
	field := r.root.Get(path...)
	if field == nil {
		return
	}
	r.checkPositive(field, path.String())
	if n, err := field.Float64(); err == nil && n != math.Trunc(n) {
		r.reject(path.String(), "%s, must be a whole number", field)
	}
}

// checkPositive rejects a value that is not a number greater than 0 and at most math.MaxInt32.
func (r *configReader) checkPositive(v *fastjson.Value, key string) {
	n, err := v.Float64()
	if err != nil || !(n > 0 && n <= math.MaxInt32) {
		r.reject(key, "%s, must be a positive number of up to %d", v, math.MaxInt32)
	}
}
