// Package unit defines the value types of experiment files, and the named random streams that experiments draw from.
package unit

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Duration is a non-negative time.Duration that a file gives as text with its unit, such as "250ms" or "1m30s".
type Duration time.Duration

// UnmarshalText parses a duration. The error quotes the text.
func (s *Duration) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil || d < 0 {
		return fmt.Errorf("%q is not a time such as \"250ms\" or \"1m30s\"", b)
	}
	*s = Duration(d)
	return nil
}

// MarshalText writes the duration in the form that UnmarshalText reads.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Std returns the duration as a time.Duration.
func (s Duration) Std() time.Duration { return time.Duration(s) }

// SignedDuration is a time.Duration that may be negative, written like a Duration with an optional sign.
type SignedDuration time.Duration

// UnmarshalText parses a signed duration. The error quotes the text.
func (s *SignedDuration) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a time such as \"-1h\" or \"90s\"", b)
	}
	*s = SignedDuration(d)
	return nil
}

// MarshalText writes the signed duration in the form that UnmarshalText reads.
func (s SignedDuration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Std returns the signed duration as a time.Duration.
func (s SignedDuration) Std() time.Duration { return time.Duration(s) }

// RandomStream returns a random number generator (PCG) seeded by a seed and a stream name. Each use has a stream of
// its own, so that more draws from one do not change the values of another.
func RandomStream(seed uint64, stream string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(stream))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}
