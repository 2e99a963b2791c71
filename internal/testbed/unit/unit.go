// Package unit defines the value types of experiment files, and named streams of random numbers for experiments.
package unit

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Duration is a non-negative time.Duration, written in files as text with units, such as "250ms" or "1m30s".
type Duration time.Duration

// UnmarshalText parses a duration. The error quotes the text.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return fmt.Errorf("%q is not a time such as \"250ms\" or \"1m30s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes the duration in the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// SignedDuration is a time.Duration that may be negative, written like a Duration with an optional sign.
type SignedDuration time.Duration

// UnmarshalText parses a signed duration. The error quotes the text.
func (d *SignedDuration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a time such as \"-1h\" or \"90s\"", text)
	}
	*d = SignedDuration(parsed)
	return nil
}

// MarshalText writes the signed duration in the form that UnmarshalText reads.
func (d SignedDuration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns the signed duration as a time.Duration.
func (d SignedDuration) Std() time.Duration { return time.Duration(d) }

// RandomStream returns a PCG random number generator that is seeded with a seed and a stream name. Each use has its own
// stream, so that additional draws from one stream do not change the values of another.
func RandomStream(seed uint64, stream string) *rand.Rand {
	hash := fnv.New64a()
	hash.Write([]byte(stream))
	return rand.New(rand.NewPCG(seed, hash.Sum64()))
}
