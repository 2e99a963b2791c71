package protocol

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestLineReaderReturnsLinesForPiecesOfAnySize(t *testing.T) {
	const text = "{\"a\":1}\r\n{\n  \"b\": [\n    \"}\\\"\"\n  ]\n}\n{\"broken\n{\"rest\""
	want := []string{`{"a":1}`, "{\n  \"b\": [\n    \"}\\\"\"\n  ]\n}", `{"broken`}
	for pieceBytes := 1; pieceBytes <= len(text); pieceBytes++ {
		t.Run("pieces of "+strconv.Itoa(pieceBytes), func(t *testing.T) {
			var reader LineReader
			var lines []string
			for start := 0; start < len(text); start += pieceBytes {
				reader.Write([]byte(text[start:min(start+pieceBytes, len(text))]))
				for {
					line, complete := reader.Next()
					if !complete {
						break
					}
					lines = append(lines, string(line))
				}
			}
			assert.Equal(t, want, lines)
			assert.Equal(t, `{"rest"`, string(reader.Remainder()))
		})
	}
}
