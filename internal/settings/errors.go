package settings

import "errors"

// ErrNotObject is returned for settings that are missing or no JSON object.
var ErrNotObject = errors.New("not an object")

// KeyError is a fault of one key of a configuration.
type KeyError struct {
	Key     string // path of the key, such as "rules.coldFrom" or "operations[0].clientTimeoutS"
	Problem string // what is wrong with the value, and what is accepted
}

// Error is the key and the problem.
func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

func reject(key, problem string) error { return &KeyError{Key: key, Problem: problem} }
