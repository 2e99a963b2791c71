package protocol

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func FuzzParsersNeverPanic(f *testing.F) {
	f.Add([]byte(`{"id":"a\ud83d","state":"done","result":"\\"}`))
	f.Add([]byte(`{"seq":1,"whole":true,"hosts":[{"host":"a","health":"Ready"}]}`))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := ParseLine(b); err == nil {
			assert.Contains(t, string(b), "{")
		}
		_, _ = ParseEndpointList(b)
		_, _ = ParseLoad(b, []string{"rif"})
		_, _ = ParseLoads(b)
		if head, _ := ParseRequestHead(b); head.Length > len(b) {
			t.Fatal("more used than there is")
		}
		if head, _ := ParseResponseHead(b); head.Length > len(b) {
			t.Fatal("more used than there is")
		}
	})
}
