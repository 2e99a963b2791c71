package daemon

import (
	"fmt"
	"math"
	"slices"

	"github.com/valyala/fastjson"
)

// loose are the parts of a configuration that may be there or not, whatever was there before.
var loose = map[string]bool{"known": true, "mgmt": true, "peers_all": true}

// keysOf names each key of a configuration by its path. Of lists, that of the operations alone is looked
// into, for the keys that each operation needs.
func keysOf(v *fastjson.Value) map[string]bool {
	keys := map[string]bool{}
	var walk func(path []string, v *fastjson.Value)
	walk = func(path []string, v *fastjson.Value) {
		if v.Type() != fastjson.TypeObject {
			return
		}
		v.GetObject().Visit(func(k []byte, field *fastjson.Value) {
			at := slices.Concat(path, []string{string(k)})
			if key := dotted(at); !loose[key] {
				keys[key] = true
				walk(at, field)
			}
		})
	}
	walk(nil, v)
	operations := v.GetArray("settings", "operations")
	for _, key := range []string{"name", "repeat", "latencyObjectiveS", "clientTimeoutS", "billedValue"} {
		all := len(operations) > 0
		for _, o := range operations {
			all = all && o.Exists(key)
		}
		if all {
			keys["settings.operations[]."+key] = true
		}
	}
	return keys
}

// missing names a key that a configuration in force has and the next one lacks, "" for none. It guards
// against a file that was written in part: what it lacks would be taken for unsaid, and get its default.
func missing(was, is map[string]bool) string {
	first := ""
	for key := range was {
		if !is[key] && (first == "" || len(key) < len(first) || len(key) == len(first) && key < first) {
			first = key
		}
	}
	return first
}

// positives refuses deadlines and numbers of forwards that are none, and names that stand twice.
func (r *reader) positives() {
	seen := map[string]int{}
	for n, o := range r.v.GetArray("settings", "operations") {
		at := fmt.Sprintf("settings.operations[%d]", n)
		for _, key := range []string{"latencyObjectiveS", "clientTimeoutS"} {
			if o.Exists(key) {
				r.positive(o.Get(key), at+"."+key)
			}
		}
		name := string(o.GetStringBytes("name"))
		if was, twice := seen[name]; twice {
			r.wrong(at+".name", "%q is that of settings.operations[%d] too", name, was)
		}
		seen[name] = n
	}
	path := []string{"settings", "policyLimits", "maxForwards"}
	if most := r.v.Get(path...); most != nil {
		r.positive(most, dotted(path))
		if n, err := most.Float64(); err == nil && n != math.Trunc(n) {
			r.wrong(dotted(path), "%s, must be a whole number", most)
		}
	}
}

func (r *reader) positive(v *fastjson.Value, key string) {
	n, err := v.Float64()
	if err != nil || !(n > 0 && n <= math.MaxInt32) {
		r.wrong(key, "%s, must be a positive number", v)
	}
}
