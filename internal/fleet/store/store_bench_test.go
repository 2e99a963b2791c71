package store

import (
	"bytes"
	"testing"
)

// openBenchmarkStore returns a store in a temporary folder.
func openBenchmarkStore(b *testing.B) *Store {
	b.Helper()
	folder, err := OpenFolder(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	s, recovered := Open(folder, "d0")
	if _, err := s.Begin(BeginOptions{Previous: recovered.Incarnation, Nonce: 1, At: 1000}); err != nil {
		b.Fatal(err)
	}
	return s
}

// BenchmarkAppendKeys measures the write of one batch of keys, which must be durable before its requests are sent.
func BenchmarkAppendKeys(b *testing.B) {
	for _, size := range []struct {
		name string
		n    int
	}{{"1", 1}, {"64", 64}} {
		b.Run(size.name, func(b *testing.B) {
			s := openBenchmarkStore(b)
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

// BenchmarkSaveState measures one write of 100 kB of state. No request waits for this write.
func BenchmarkSaveState(b *testing.B) {
	s := openBenchmarkStore(b)
	text := bytes.Repeat([]byte("fact"), 25_000)
	for b.Loop() {
		if err := s.SaveState(State{Learned: text}); err != nil {
			b.Fatal(err)
		}
	}
}
