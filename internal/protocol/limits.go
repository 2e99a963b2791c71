package protocol

import "errors"

// Limits of what is accepted, in bytes.
const (
	MaxHeadBytes = 8 << 10
	MaxBodyBytes = 64 << 10
	MaxLineBytes = 2*MaxBodyBytes + 1<<10 // a worker's line: a result of which every byte is escaped, and the rest
)

// The errors of parsing; they are wrapped with what is wrong.
var (
	ErrMalformed    = errors.New("malformed")
	ErrTooLarge     = errors.New("body too large")
	ErrHeadTooLarge = errors.New("head too large")
)
