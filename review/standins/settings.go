package main

// operation returns the settings of one class of requests.
func operation(name, repeat, scope string, windowS, objectiveS, timeoutS, value float64) object {
	return object{
		"name": name, "repeat": repeat, "dedupScope": scope, "dedupWindowS": windowS,
		"latencyObjectiveS": objectiveS, "clientTimeoutS": timeoutS, "billedValue": value,
		"tardyBilledValue": 0.2, "aimStretch": 1.75, "stream": false,
	}
}

// admissionSettings returns the settings of the national admissions service, at its first size, for one dispatcher.
func admissionSettings() object {
	return object{
		"balancers": 1, "position": 0, "zone": 0, "zones": []string{"waw-1", "lodz-1"}, "shapes": []string{"std-3c"},
		"granularityS": 0.002,
		"operations": []object{
			operation("status", "idempotent", "all", 5, 0.5, 7.5, 2),
			operation("confirm", "at_most_once", "all", 5, 1, 15, 2),
		},
		"orgs":             []object{},
		"familyInfo":       object{"tellsStart": true},
		"report":           object{"how": "off", "names": []string{}},
		"registryMode":     "subscribe",
		"billedValueBasis": "work",
		"prices":           object{"peer": 0.01, "crossZone": 0.01, "probe": 0.002},
		"goal":             object{"whole": 0.8, "worstWindow": 0.1, "worstClass": 0.1},
		"policyLimits": object{
			"maxForwards": 6, "mayCancel": true, "secondCopies": true, "probes": true, "peers": true,
			"retryAfter": true, "maxRetryAfterS": 2.0, "connIdleS": 10.0, "dialTimeoutS": 0.25, "streamsPerConn": 1,
		},
		"rules": object{
			"answerSlackS": 0.008, "askWithinS": 10.0, "coldFrom": 0.12, "drainGraceS": 0.5, "fallS": 2.0,
			"overloadFactor": 4.0, "rampTimeS": 24.0,
		},
	}
}

// scoringSettings returns the settings of the admission scoring servers of one server room, for one dispatcher: the
// workers of one rack, a cell, drop a repeat for 40 s.
func scoringSettings() object {
	return object{
		"balancers": 1, "position": 0, "zone": 0, "zones": []string{"krk-serwerownia"}, "shapes": []string{"k2-std"},
		"granularityS": 0.002,
		"operations": []object{
			operation("przelicz", "idempotent", "all", 5, 0.6, 10, 1),
			operation("potwierdz", "deduplicated", "cell", 40, 1.5, 25, 5),
		},
		"orgs":             []object{},
		"familyInfo":       object{"tellsStart": true},
		"report":           object{"how": "off", "names": []string{}},
		"registryMode":     "automatic",
		"billedValueBasis": "work",
		"prices":           object{},
		"goal":             object{"whole": 0.45, "worstWindow": 0.15, "worstClass": 0.3},
		"policyLimits": object{
			"maxForwards": 4, "mayCancel": true, "secondCopies": true, "probes": false, "peers": false,
			"retryAfter": true, "maxRetryAfterS": 2.0, "connIdleS": 10.0, "dialTimeoutS": 0.25, "streamsPerConn": 1,
		},
		"rules": object{
			"answerSlackS": 0.008, "askWithinS": 10.0, "coldFrom": 0.16, "drainGraceS": 0.5, "fallS": 3.0,
			"overloadFactor": 4.0, "rampTimeS": 23.0,
		},
	}
}
