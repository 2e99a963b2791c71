package daemon

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/settings"
)

// completeConfig has the keys that the platform's page lists for its settings, with two operations of different
// idempotency. An optional key is set where the tests need it.
const completeConfig = `{"name":"n3","listen":"127.0.0.1:8080","discovery":"127.0.0.1:8500","mgmt":"127.0.0.1:8600",
"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.1:7946",
"peers":["127.0.0.1:7946"],"settings":{"balancers":1,"position":0,"zone":0,"zones":["a","b"],"shapes":["m"],
"granularityS":0.002,"registryMode":"subscribe","billedValueBasis":"work","surplusBilledValue":0.1,
"operations":[
{"name":"status","repeat":"idempotent","dedupScope":"all","dedupWindowS":5,"latencyObjectiveS":0.5,"clientTimeoutS":7,
"billedValue":2,"tardyBilledValue":0.2,"stream":false},
{"name":"choices","repeat":"deduplicated","dedupScope":"zone","dedupWindowS":40,"latencyObjectiveS":3,
"clientTimeoutS":25,"billedValue":5,"tardyBilledValue":0.2,"stream":false,"aimStretch":1.5}],
"orgs":[{"name":"acme","quotaPerS":3,"share":0.5},{"name":"globex","quotaPerS":4,"share":0.5}],
"familyInfo":{"tellsStart":true,"classStretch":[2,1.75]},"report":{"how":"off","names":[]},
"prices":{"peer":0.01,"crossZone":0.01},"goal":{"whole":0.8,"worstWindow":0.1,"worstClass":0.1},
"policyLimits":{"maxForwards":6,"mayCancel":true,"secondCopies":true,"probes":true,"peers":true,"retryAfter":true,
"maxRetryAfterS":2,"connIdleS":10,"dialTimeoutS":0.25},
"rules":{"askWithinS":10,"rampTimeS":24,"fallS":2,"coldFrom":0.12,"overloadFactor":4,"drainGraceS":0.5}}}`

// place is a key of an object in a decoded configuration file.
type place struct {
	path   string // with the index of a list's element, such as "settings.operations[1].dedupScope"
	object map[string]any
	key    string
}

// places returns the places of all keys in a decoded file, sorted by path.
func places(path string, value any) (found []place) {
	switch value := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(value)) {
			at := strings.TrimPrefix(path+"."+key, ".")
			found = append(found, place{at, value, key})
			found = append(found, places(at, value[key])...)
		}
	case []any:
		for n, element := range value {
			found = append(found, places(fmt.Sprintf("%s[%d]", path, n), element)...)
		}
	}
	return found
}

func decodeConfig(t *testing.T) map[string]any {
	t.Helper()
	var file map[string]any
	assert.NoError(t, json.Unmarshal([]byte(completeConfig), &file))
	return file
}

// reloadError returns the error with which a dispatcher that runs with completeConfig rejects a file at SIGHUP.
func reloadError(t *testing.T, file map[string]any) error {
	t.Helper()
	current, err := parseConfig([]byte(completeConfig), fakeEnv())
	assert.NoError(t, err)
	text, err := json.Marshal(file)
	assert.NoError(t, err)
	next, err := parseConfig(text, fakeEnv())
	if err != nil {
		return err
	}
	return current.checkReload(next)
}

// isOptionalPlace reports whether a place of completeConfig may be absent from a complete file.
func isOptionalPlace(path string) bool {
	return slices.Contains([]string{"mgmt", "settings.operations[1].aimStretch"}, path)
}

// A file that lacks any key, also one inside a list, must not be applied: a key that is taken for its default may allow
// a second execution in another zone (dedupScope).
func TestReloadRejectsAFileWithoutAnyOneKey(t *testing.T) {
	for n, p := range places("", decodeConfig(t)) {
		t.Run(p.path, func(t *testing.T) {
			file := decodeConfig(t)
			same := places("", file)[n]
			delete(same.object, same.key)
			err := reloadError(t, file)
			if isOptionalPlace(p.path) {
				assert.NoError(t, err)
				return
			}
			assert.ErrorContains(t, err, p.key)
		})
	}
}

// A key with the value null, or a value of another type, must not be taken for its default either.
func TestReloadRejectsAFileWithAnyOneValueOfAnotherType(t *testing.T) {
	for n, p := range places("", decodeConfig(t)) {
		if isOptionalPlace(p.path) {
			continue
		}
		for _, other := range []any{nil, []any{[]any{}}, map[string]any{"other": 1}} {
			t.Run(fmt.Sprintf("%s = %v", p.path, other), func(t *testing.T) {
				file := decodeConfig(t)
				same := places("", file)[n]
				same.object[same.key] = other
				assert.Error(t, reloadError(t, file))
			})
		}
	}
}

func TestReloadNamesThePlaceOfAMissingKey(t *testing.T) {
	file := decodeConfig(t)
	operations := file["settings"].(map[string]any)["operations"].([]any)
	delete(operations[1].(map[string]any), "dedupWindowS")
	err := reloadError(t, file)
	var keyError *settings.KeyError
	if assert.ErrorAs(t, err, &keyError) {
		assert.Equal(t, "settings.operations[1].dedupWindowS", keyError.Key)
		assert.Equal(t, "missing, but set in the current configuration", keyError.Problem)
	}
}

// Operations may appear, change and vanish. A new one must have the keys that all current ones have.
func TestReloadChecksNewOperationsByTheKeysOfAllCurrentOnes(t *testing.T) {
	newOperation := func(without string) map[string]any {
		operation := map[string]any{
			"name": "confirm", "repeat": "at_most_once", "dedupScope": "all", "dedupWindowS": 5, "latencyObjectiveS": 1,
			"clientTimeoutS": 15, "billedValue": 2, "tardyBilledValue": 0.2, "stream": false,
		}
		delete(operation, without)
		return operation
	}
	setOperations := func(operations ...any) error {
		file := decodeConfig(t)
		file["settings"].(map[string]any)["operations"] = operations
		return reloadError(t, file)
	}
	assert.NoError(t, setOperations(newOperation("")), "the others vanish")
	for key := range newOperation("") {
		assert.ErrorContains(t, setOperations(newOperation(key)), key)
	}
	assert.Error(t, setOperations("confirm"), "not an object")
}
