package protocol

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestWorkerLinesAreParsed(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		want       WorkerLine
	}{
		{
			"unknown keys and escapes",
			`{"id":"a","from":"s-1","state":"done","more":[{"x":null}],"result":"q\"\u00e9\ud83d\ude00\n"}`,
			WorkerLine{"a", AttemptDone, "q\"é😀\n"},
		},
		{"unknown state", ` {"id":"a","state":"resting","share":0.4} `, WorkerLine{"a", AttemptUnknown, ""}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			line, err := ParseWorkerLine([]byte(tt.text))
			assert.NoError(t, err)
			assert.Equal(t, tt.want, line)
		})
	}
}

func TestMalformedWorkerLinesAreRejected(t *testing.T) {
	for _, tt := range []struct{ name, text string }{
		{"empty", ""},
		{"unterminated object", "{"},
		{"array instead of an object", "[]"},
		{"string instead of an object", `"done"`},
		{"no state", `{"id":"a"}`},
		{"done without result", `{"id":"a","state":"done"}`},
		{"numeric ID", `{"id":1,"state":"x"}`},
		{"data after the value", `{"id":"a","state":"x"} x`},
		{"trailing comma", `{"id":"a","state":"x",}`},
		{"no comma", `{"id":"a" "state":"x"}`},
		{"short escape", `{"id":"\u12","state":"x"}`},
		{"unknown escape", `{"id":"\q","state":"x"}`},
		{"control byte in a string", "{\"id\":\"\x01\"}"},
		{"nesting deeper than the limit", `{"x":` + strings.Repeat("[", 100000)},
		{"unterminated escape", `{"id":"a\`},
		{"incomplete word", `{"id":"a","state":"x","y":nul}`},
		{"incomplete number", `{"id":"a","state":"x","y":1e}`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseWorkerLine([]byte(tt.text))
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}
