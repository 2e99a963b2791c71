package protocol

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestWorkerLinesAreParsed(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		want       Line
	}{
		{
			"unknown keys and escapes",
			`{"id":"a","from":"s-1","state":"done","more":[{"x":null}],"result":"q\"\u00e9\ud83d\ude00\n"}`,
			Line{"a", Done, "q\"é😀\n"},
		},
		{"unknown state", ` {"id":"a","state":"resting","share":0.4} `, Line{"a", Unknown, ""}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			line, err := ParseLine([]byte(tt.text))
			assert.NoError(t, err)
			assert.Equal(t, tt.want, line)
		})
	}
}

func TestMalformedWorkerLinesAreRejected(t *testing.T) {
	for _, tt := range []struct{ name, text string }{
		{"empty", ""},
		{"open object", "{"},
		{"array", "[]"},
		{"string", `"done"`},
		{"no state", `{"id":"a"}`},
		{"done without result", `{"id":"a","state":"done"}`},
		{"id that is a number", `{"id":1,"state":"x"}`},
		{"data after the value", `{"id":"a","state":"x"} x`},
		{"comma before the end", `{"id":"a","state":"x",}`},
		{"no comma", `{"id":"a" "state":"x"}`},
		{"short escape", `{"id":"\u12","state":"x"}`},
		{"unknown escape", `{"id":"\q","state":"x"}`},
		{"control byte in a string", "{\"id\":\"\x01\"}"},
		{"deep nesting", `{"x":` + strings.Repeat("[", 100000)},
		{"open escape", `{"id":"a\`},
		{"open word", `{"id":"a","state":"x","y":nul}`},
		{"open number", `{"id":"a","state":"x","y":1e}`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseLine([]byte(tt.text))
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}
