// Package unit has the values that experiment files are written in.
package unit

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Duration is a time that a file gives as text with its unit, such as "250ms" or "1m30s". It is never negative.
type Duration time.Duration

// UnmarshalText reads a span; the error tells what was there.
func (s *Duration) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil || d < 0 {
		return fmt.Errorf("%q is not a time such as \"250ms\" or \"1m30s\"", b)
	}
	*s = Duration(d)
	return nil
}

// MarshalText writes a span as it is read.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Std is the span for the standard library.
func (s Duration) Std() time.Duration { return time.Duration(s) }

// SignedDuration is a time that may go either way, written like a Span with a sign.
type SignedDuration time.Duration

// UnmarshalText reads a shift; the error tells what was there.
func (s *SignedDuration) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a time such as \"-1h\" or \"90s\"", b)
	}
	*s = SignedDuration(d)
	return nil
}

// MarshalText writes a shift as it is read.
func (s SignedDuration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Std is the shift for the standard library.
func (s SignedDuration) Std() time.Duration { return time.Duration(s) }

// RandomStream is a stream of random figures drawn from a seed and a name, so that one stream that is drawn from
// more often leaves the others as they were. Source: the standard library's PCG.
func RandomStream(seed uint64, stream string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(stream))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}
