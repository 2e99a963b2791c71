package protocol

import "errors"

// Limits of the messages that are accepted, in bytes.
const (
	MaxHeadBytes = 8 << 10
	MaxBodyBytes = 64 << 10

	// MaxLineBytes limits a line of a worker's response. An escape takes two bytes of it for one of the result, which is
	// no longer than a body.
	MaxLineBytes = escapedByteLength*MaxBodyBytes + lineOverheadBytes

	escapedByteLength = 2
	lineOverheadBytes = 1 << 10 // for the other keys of a line
)

// The errors of parsing; they are wrapped with what is wrong.
var (
	ErrMalformed    = errors.New("malformed")
	ErrTooLarge     = errors.New("body too large") // of more than the reader's limit
	ErrHeadTooLarge = errors.New("head too large") // of more than MaxHeadBytes
)
