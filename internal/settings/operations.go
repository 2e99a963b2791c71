package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
)

var idempotencies = map[string]balancer.Idempotency{
	wordIdempotent:      balancer.Idempotent,
	wordIdempotentByKey: balancer.IdempotentByKey,
	wordNonIdempotent:   balancer.NonIdempotent,
}

// dedupScopes has the entry "" for operations that do not set the scope. See parseDedupScope.
var dedupScopes = map[string]balancer.DedupScope{
	"":            balancer.ScopeAll,
	wordScopeAll:  balancer.ScopeAll,
	wordScopeZone: balancer.ScopeZone,
	wordScopeCell: balancer.ScopeCell,
}

// operationPath returns the path of a key of the n-th operation, as used in errors.
func operationPath(n int, key string) string { return fmt.Sprintf("%s[%d].%s", keyOperations, n, key) }

// parseOperations parses the operations. workload, which may be nil, has lists of further values in the order of the
// operations.
func parseOperations(list []*fastjson.Value, workload *fastjson.Value) ([]balancer.OperationConfig, error) {
	var operations []balancer.OperationConfig
	for n, fields := range list {
		operation, err := parseOperation(n, fields, workload)
		if err != nil {
			return nil, err
		}
		operations = append(operations, operation)
	}
	return operations, nil
}

// parseOperation parses the n-th operation. A stretch in the operation takes precedence over the one in the workload.
// If the workload does not specify a kind of worker, attempts may be sent to any kind.
func parseOperation(n int, fields, workload *fastjson.Value) (balancer.OperationConfig, error) {
	idempotency, err := parseEnum(n, fields, keyIdempotency, idempotencies)
	if err != nil {
		return balancer.OperationConfig{}, err
	}
	scope, err := parseDedupScope(n, fields, idempotency)
	if err != nil {
		return balancer.OperationConfig{}, err
	}
	operation := balancer.OperationConfig{
		Name:             string(fields.GetStringBytes(keyName)),
		LatencyObjective: DurationFromSeconds(fields.GetFloat64(keyLatencyObjective)),
		DedupWindow:      DurationFromSeconds(fields.GetFloat64(keyDedupWindow)),
		Value:            fields.GetFloat64(keyValue),
		LateShare:        fields.GetFloat64(keyLateShare),
		Idempotency:      idempotency,
		DedupScope:       scope,
		Kind:             balancer.AnyKind,
	}
	if stretches := workload.GetArray(keyOperationStretch); n < len(stretches) {
		operation.Stretch = stretches[n].GetFloat64()
	}
	if fields.Exists(keyStretch) {
		operation.Stretch = fields.GetFloat64(keyStretch)
	}
	if kinds := workload.GetArray(keyOperationKind); n < len(kinds) {
		operation.Kind = balancer.KindID(kinds[n].GetInt())
	}
	return operation, nil
}

// parseDedupScope parses the scope of the n-th operation. An operation that is idempotent by key must set it: the widest
// scope, the default of the others, would allow a second execution by a worker that does not know the key.
func parseDedupScope(n int, fields *fastjson.Value, idempotency balancer.Idempotency) (balancer.DedupScope, error) {
	scope, err := parseEnum(n, fields, keyDedupScope, dedupScopes)
	if err != nil {
		return scope, err
	}
	if idempotency == balancer.IdempotentByKey && len(fields.GetStringBytes(keyDedupScope)) == 0 {
		return scope, newKeyError(operationPath(n, keyDedupScope), fmt.Sprintf(
			"missing, must be set for a %s operation to one of %s", wordIdempotentByKey, listWords(dedupScopes)))
	}
	return scope, nil
}

// parseEnum parses a key of the n-th operation whose value must be one of several words. It returns a *KeyError that
// lists the words if the value is invalid.
func parseEnum[T any](n int, fields *fastjson.Value, key string, choices map[string]T) (T, error) {
	field := fields.Get(key)
	if field != nil && field.Type() != fastjson.TypeString {
		var none T
		return none, newKeyError(operationPath(n, key), fmt.Sprintf("%s, must be one of %s", field, listWords(choices)))
	}
	word := string(fields.GetStringBytes(key))
	choice, known := choices[word]
	if !known {
		return choice, newKeyError(operationPath(n, key), fmt.Sprintf("%q, must be one of %s", word, listWords(choices)))
	}
	return choice, nil
}

// listWords returns the words of the choices in alphabetical order, without "", which represents an omitted key.
func listWords[T any](choices map[string]T) string {
	var words []string
	for word := range choices {
		if word != "" {
			words = append(words, word)
		}
	}
	slices.Sort(words)
	return strings.Join(words, ", ")
}
