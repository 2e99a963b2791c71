package protocol

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func FuzzParsersNeverPanic(f *testing.F) {
	f.Add([]byte(`{"id":"a\ud83d","state":"done","result":"\\"}`))
	f.Add([]byte(`{"seq":1,"whole":true,"hosts":[{"host":"a","health":"Ready"}]}`))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		if _, err := ParseWorkerLine(input); err == nil {
			assert.Contains(t, string(input), "{")
		}
		_, _ = ParseEndpointList(input)
		_, _ = ParseLoadReport(input, []string{"rif"})
		_, _ = ParseLoadDatagram(input)
		if head, _ := ParseRequestHead(input); head.Length > len(input) {
			t.Fatal("head length exceeds the input")
		}
		if head, _ := ParseResponseHead(input); head.Length > len(input) {
			t.Fatal("head length exceeds the input")
		}
	})
}
