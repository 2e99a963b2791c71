package daemon

import (
	"slices"

	"github.com/valyala/fastjson"
)

// optionalKeys are the keys that a reloaded file may omit even if the current configuration has them.
var optionalKeys = map[string]bool{"known": true, "mgmt": true, "peers_all": true}

// operationKeys are the keys of an operation that configKeys includes.
var operationKeys = []string{"name", "repeat", "latencyObjectiveS", "clientTimeoutS", "billedValue"}

// configKeys returns the paths of the keys in a file, except optional ones. Of the keys inside lists it includes only
// the operationKeys that every operation has, as paths such as "settings.operations[].name".
func configKeys(root *fastjson.Value) map[string]bool {
	keys := map[string]bool{}
	addKeys(keys, nil, root)
	operations := root.GetArray("settings", "operations")
	for _, key := range operationKeys {
		inEach := len(operations) > 0
		for _, operation := range operations {
			inEach = inEach && operation.Exists(key)
		}
		if inEach {
			keys["settings.operations[]."+key] = true
		}
	}
	return keys
}

// addKeys adds the paths of an object's keys and, recursively, of the keys of nested objects.
func addKeys(keys map[string]bool, path keyPath, v *fastjson.Value) {
	if v.Type() != fastjson.TypeObject {
		return
	}
	v.GetObject().Visit(func(name []byte, field *fastjson.Value) {
		fieldPath := slices.Concat(path, keyPath{string(name)})
		key := fieldPath.String()
		if optionalKeys[key] {
			return
		}
		keys[key] = true
		addKeys(keys, fieldPath, field)
	})
}

// firstMissingKey returns a key that the current configuration has and the next one lacks, or "" if there is none. If
// several are missing, it returns the shortest, and among those of equal length the first in alphabetical order. The
// check prevents a partially written file from silently resetting keys to their defaults.
func firstMissingKey(current, next map[string]bool) string {
	first := ""
	for key := range current {
		if !next[key] && (first == "" || sortsBefore(key, first)) {
			first = key
		}
	}
	return first
}

// sortsBefore reports whether a is shorter than b or, if their lengths are equal, precedes b in alphabetical order.
func sortsBefore(a, b string) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a < b
}
