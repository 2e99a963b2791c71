package protocol

import "errors"

// Limits on accepted messages, in bytes.
const (
	MaxHeadBytes = 8 << 10
	MaxBodyBytes = 64 << 10

	// MaxLineBytes is the maximum length of a line of a worker's response. The result in a line is at most as long as a
	// body, and an escape sequence takes two bytes for one byte of the result.
	MaxLineBytes = escapedByteLength*MaxBodyBytes + lineOverheadBytes

	escapedByteLength = 2
	lineOverheadBytes = 1 << 10 // upper bound for the other keys of a line
)

// Errors of parsing. They are wrapped with a description of the problem.
var (
	ErrMalformed    = errors.New("malformed")
	ErrTooLarge     = errors.New("body too large") // the body exceeds the reader's limit
	ErrHeadTooLarge = errors.New("head too large") // the head exceeds MaxHeadBytes
)
