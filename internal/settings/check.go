package settings

import (
	"fmt"
	"strings"

	"github.com/valyala/fastjson"
)

// nonNegativeSettings are the paths of numbers that must not be negative.
var nonNegativeSettings = [][]string{
	{keyGranularity},
	{keyPolicyLimits, keyMaxRetryAfter},
	{keyRules, keyMaxPollInterval},
	{keyRules, keyWarmupDuration},
	{keyRules, keyDrainGrace},
	{keyRules, keyWarmupWindow},
	{keyRules, keyInitialWarmup},
}

// nonNegativeOperationSettings are the keys of operations whose values must not be negative.
var nonNegativeOperationSettings = []string{keyLatencyObjective, keyClientTimeout, keyDedupWindow}

// check returns a *KeyError for the first value that is invalid for every dispatcher, or nil if there is none.
func check(root *fastjson.Value) error {
	if len(root.GetArray(keyOperations)) == 0 {
		return newKeyError(keyOperations, "there must be at least one")
	}
	dispatchers := root.GetInt(keyDispatchers)
	if dispatchers < 1 {
		return newKeyError(keyDispatchers, fmt.Sprintf("%d, must be at least 1", dispatchers))
	}
	if position := root.GetInt(keyPosition); position < 0 || position >= dispatchers {
		return newKeyError(keyPosition, fmt.Sprintf("%d, must be from 0 to %d, as there are %d balancers", position,
			dispatchers-1, dispatchers))
	}
	for _, path := range nonNegativeSettings {
		if err := checkNotNegative(root.GetFloat64(path...), strings.Join(path, ".")); err != nil {
			return err
		}
	}
	for n, operation := range root.GetArray(keyOperations) {
		for _, key := range nonNegativeOperationSettings {
			if err := checkNotNegative(operation.GetFloat64(key), operationPath(n, key)); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkNotNegative(value float64, path string) error {
	if value < 0 {
		return newKeyError(path, fmt.Sprintf("%v, must not be negative", value))
	}
	return nil
}
