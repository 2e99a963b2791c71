package daemon

import (
	"slices"

	"github.com/valyala/fastjson"
)

// optionalKeys may be missing from a file that is reloaded, though the configuration in force has them.
var optionalKeys = map[string]bool{"known": true, "mgmt": true, "peers_all": true}

// operationKeys are the keys within an operation that configKeys lists.
var operationKeys = []string{"name", "repeat", "latencyObjectiveS", "clientTimeoutS", "billedValue"}

// configKeys returns the paths of a file's keys, except optional ones. Of the keys within lists it has only those that
// each operation has, such as "settings.operations[].name".
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

// addKeys adds the paths of an object's keys, and of the keys within their values.
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

// firstMissingKey returns a key that the current configuration has and the next one lacks, "" for none. Of several it
// returns the shortest, and of the shortest the first in alphabetical order. The check keeps a file that was written in
// part from setting defaults unnoticed.
func firstMissingKey(current, next map[string]bool) string {
	first := ""
	for key := range current {
		if !next[key] && (first == "" || precedes(key, first)) {
			first = key
		}
	}
	return first
}

// precedes reports whether a is shorter than b or, at the same length, before it in alphabetical order.
func precedes(a, b string) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a < b
}
