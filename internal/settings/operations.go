package settings

import (
	"fmt"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
)

// idempotencies are the values of an operation's repeat.
var idempotencies = map[string]balancer.Idempotency{
	"idempotent":   balancer.Idempotent,
	"deduplicated": balancer.IdempotentByKey,
	"at_most_once": balancer.NonIdempotent,
}

// dedupScopes are the values of an operation's dedupScope, which may be left out.
var dedupScopes = map[string]balancer.DedupScope{
	"":     balancer.ScopeAll,
	"all":  balancer.ScopeAll,
	"zone": balancer.ScopeZone,
	"cell": balancer.ScopeCell,
}

func operationKey(n int, key string) string { return fmt.Sprintf("operations[%d].%s", n, key) }

// parseOperations reads the operations. info has what is known of them besides, in lists in the same order.
func parseOperations(list []*fastjson.Value, info *fastjson.Value) ([]balancer.OperationConfig, error) {
	var operations []balancer.OperationConfig
	for n, v := range list {
		operation, err := parseOperation(n, v, info)
		if err != nil {
			return nil, err
		}
		operations = append(operations, operation)
	}
	return operations, nil
}

func parseOperation(n int, v, info *fastjson.Value) (balancer.OperationConfig, error) {
	repeat := string(v.GetStringBytes("repeat"))
	idempotency, known := idempotencies[repeat]
	if !known {
		return balancer.OperationConfig{}, reject(operationKey(n, "repeat"),
			fmt.Sprintf("%q, must be one of %s", repeat, words(idempotencies)))
	}
	scopeWord := string(v.GetStringBytes("dedupScope"))
	scope, known := dedupScopes[scopeWord]
	if !known {
		return balancer.OperationConfig{}, reject(operationKey(n, "dedupScope"),
			fmt.Sprintf("%q, must be one of %s", scopeWord, words(dedupScopes)))
	}
	operation := balancer.OperationConfig{
		Name:             string(v.GetStringBytes("name")),
		LatencyObjective: DurationOf(v.GetFloat64("latencyObjectiveS")),
		DedupWindow:      DurationOf(v.GetFloat64("dedupWindowS")),
		Value:            v.GetFloat64("billedValue"),
		LateShare:        v.GetFloat64("tardyBilledValue"),
		Idempotency:      idempotency,
		DedupScope:       scope,
		Kind:             balancer.AnyKind,
	}
	if stretches := info.GetArray("classStretch"); n < len(stretches) {
		operation.Stretch = stretches[n].GetFloat64()
	}
	if v.Exists("aimStretch") {
		operation.Stretch = v.GetFloat64("aimStretch")
	}
	if kinds := info.GetArray("classKind"); n < len(kinds) {
		operation.Kind = balancer.KindID(kinds[n].GetInt())
	}
	return operation, nil
}
