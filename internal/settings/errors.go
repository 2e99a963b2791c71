package settings

import "errors"

// ErrNotObject reports settings that are missing, or are not a JSON object.
var ErrNotObject = errors.New("not an object")

// KeyError reports an invalid value of one key of a configuration.
type KeyError struct {
	Key     string // path of the key, such as "rules.coldFrom" or "operations[0].clientTimeoutS"
	Problem string // what is wrong with the value, and what is accepted
}

// Error returns the key and the problem.
func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

func reject(key, problem string) error { return &KeyError{Key: key, Problem: problem} }
