package daemon

import (
	"slices"

	"github.com/valyala/fastjson"
)

// optionalKeys may be left out of a file that is reloaded, though the file in force has them.
var optionalKeys = map[string]bool{"known": true, "mgmt": true, "peers_all": true}

// operationKeys are looked for in each operation.
var operationKeys = []string{"name", "repeat", "latencyObjectiveS", "clientTimeoutS", "billedValue"}

// configKeys returns the path of each key of a configuration that is not optional. Lists are not looked into, but for
// the operations: a key that each of them has counts as one, such as "settings.operations[].name".
func configKeys(root *fastjson.Value) map[string]bool {
	keys := map[string]bool{}
	addKeys(keys, nil, root)
	operations := root.GetArray("settings", "operations")
	for _, key := range operationKeys {
		inEach := len(operations) > 0
		for _, o := range operations {
			inEach = inEach && o.Exists(key)
		}
		if inEach {
			keys["settings.operations[]."+key] = true
		}
	}
	return keys
}

// addKeys adds the paths of an object's keys, and of those within them.
func addKeys(keys map[string]bool, path []string, v *fastjson.Value) {
	if v.Type() != fastjson.TypeObject {
		return
	}
	v.GetObject().Visit(func(name []byte, field *fastjson.Value) {
		fieldPath := slices.Concat(path, []string{string(name)})
		key := dotted(fieldPath)
		if optionalKeys[key] {
			return
		}
		keys[key] = true
		addKeys(keys, fieldPath, field)
	})
}

// firstMissingKey returns a key that the current configuration has and the next one lacks, "" for none: the shortest,
// and of several the first in alphabetical order. What is missing from a file that was written in part would otherwise
// get its default unnoticed.
func firstMissingKey(current, next map[string]bool) string {
	first := ""
	for key := range current {
		if !next[key] && (first == "" || shorter(key, first)) {
			first = key
		}
	}
	return first
}

func shorter(a, b string) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a < b
}
