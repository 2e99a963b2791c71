package settings

import "errors"

// ErrNotObject is returned for settings that are missing or are not a JSON object.
var ErrNotObject = errors.New("not an object")

// KeyError is returned for an invalid value of a configuration key.
type KeyError struct {
	Key     string // path of the key, such as "rules.coldFrom" or "operations[0].clientTimeoutS"
	Problem string // description of the problem and of the valid values
}

// Error returns the key and the problem.
func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

func newKeyError(key, problem string) error { return &KeyError{Key: key, Problem: problem} }
