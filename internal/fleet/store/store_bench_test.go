package store

import (
	"bytes"
	"testing"
)

func opened(b *testing.B) *Store {
	folder, _, err := OpenFolder(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	s, f := Open(folder, "d0")
	if _, err := s.Begin(f.Incarnation, 1, 1, false, 1000); err != nil {
		b.Fatal(err)
	}
	return s
}

// BenchmarkKeep is what one batch of keys costs before its forwards are sent.
func BenchmarkKeep(b *testing.B) {
	for _, size := range []struct {
		name string
		n    int
	}{{"1", 1}, {"64", 64}} {
		b.Run(size.name, func(b *testing.B) {
			s := opened(b)
			keys := make([]Key, size.n)
			for n := range keys {
				keys[n] = Key{Sum: uint64(n), Worker: "s-0badcafe", Zone: "north", SentAt: 1 << 41, ExpiresAt: 1 << 41}
			}
			for b.Loop() {
				if err := s.AppendKeys(keys, 2000); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkLearn is what one write of 100 kB of facts costs, off the way of any invocation.
func BenchmarkLearn(b *testing.B) {
	s, text := opened(b), bytes.Repeat([]byte("fact"), 25_000)
	for b.Loop() {
		if err := s.SaveState(State{Learned: text}); err != nil {
			b.Fatal(err)
		}
	}
}
