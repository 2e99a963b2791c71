package protocol

import (
	"errors"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

var errIncomplete = errors.New("body incomplete")

// readBody decodes a body from text that is received in pieces of the given size.
func readBody(body Body, text string, pieceBytes int) (string, error) {
	var content []byte
	buffered := ""
	for len(text) > 0 || len(buffered) > 0 {
		n := min(pieceBytes, len(text))
		buffered += text[:n]
		text = text[n:]
		for {
			piece, err := body.Next([]byte(buffered))
			if err != nil {
				return "", err
			}
			content = append(content, piece.Data...)
			buffered = buffered[piece.Consumed:]
			if piece.Consumed == 0 {
				break
			}
		}
		if body.Done() || n == 0 {
			break
		}
	}
	if !body.Done() {
		return "", errIncomplete
	}
	return string(content), nil
}

// Parsers could disagree on the end of a body with ambiguous framing, which allows request smuggling.
func TestAmbiguousFramingIsMalformed(t *testing.T) {
	for _, tt := range []struct{ name, version, fieldLines string }{
		{"two lengths", "HTTP/1.1", "Content-Length: 3\r\nContent-Length: 4"},
		{"negative length", "HTTP/1.1", "Content-Length: -1"},
		{"length and chunked coding", "HTTP/1.1", "Content-Length: 3\r\nTransfer-Encoding: chunked"},
		{"unsupported transfer coding", "HTTP/1.1", "Transfer-Encoding: gzip"},
		{"non-numeric length", "HTTP/1.1", "Content-Length: 3x"},
		{"chunked coding in HTTP/1.0", "HTTP/1.0", "Transfer-Encoding: chunked"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			head, err := ParseRequestHead([]byte("POST /api " + tt.version + "\r\n" + tt.fieldLines + "\r\n\r\n"))
			assert.NoError(t, err)
			_, err = RequestBody(&head.Head)
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}

func TestRequestChunkLineWithBareLFIsMalformed(t *testing.T) {
	body, err := RequestBody(requestHead(t, "Transfer-Encoding: chunked"))
	assert.NoError(t, err)
	_, err = readBody(body, "1\n", 2)
	assert.ErrorIs(t, err, ErrMalformed)
}

func TestChunkedBodyIsReadInPiecesOfAnySize(t *testing.T) {
	const text = "5;x=y\r\nhello\r\n1\r\n \r\nA\r\n0123456789\r\n0\r\nTrailer: 1\r\n\r\n"
	for pieceBytes := 1; pieceBytes <= len(text); pieceBytes++ {
		t.Run("pieces of "+strconv.Itoa(pieceBytes), func(t *testing.T) {
			got, err := readBody(Body{chunked: true}, text, pieceBytes)
			assert.NoError(t, err)
			assert.Equal(t, "hello 0123456789", got)
		})
	}
}

func TestMalformedChunksAreRejected(t *testing.T) {
	for _, tt := range []struct{ name, text string }{
		{"non-numeric size", "x\r\n"},
		{"negative size", "-1\r\n"},
		{"data longer than its size", "2\r\nabc\r\n0\r\n\r\n"},
		{"size too large", "ffffffffffffffffff\r\n"},
		{"line too long", strings.Repeat("1", 2000)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := readBody(Body{chunked: true}, tt.text, len(tt.text))
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}

func TestResponseBodyIsEmptyIfStatusForbidsBody(t *testing.T) {
	for _, status := range []int{100, 204, 304} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			body, err := ResponseBody(&Head{Status: status})
			assert.NoError(t, err)
			assert.True(t, body.Done())
		})
	}
}

func TestResponseBodyWithoutLengthEndsWithTheConnection(t *testing.T) {
	body, err := ResponseBody(&Head{Status: 200})
	assert.NoError(t, err)
	assert.True(t, body.EndsWithConnection())
}

// A client must not keep the processor busy with a body that consists almost only of framing, nor with endless trailers.
func TestRequestBodyOfMostlyFramingIsMalformed(t *testing.T) {
	const chunks = MaxBodyBytes / 2
	for _, tt := range []struct {
		name, text string
		want       error
	}{
		{"chunks of one byte", strings.Repeat("1\r\nx\r\n", chunks) + "0\r\n\r\n", ErrMalformed},
		{"long chunk extensions", strings.Repeat("1;"+strings.Repeat("e", 800)+"\r\nx\r\n", 100) + "0\r\n\r\n", ErrMalformed},
		{"many trailers", "0\r\n" + strings.Repeat("T: x\r\n", chunks) + "\r\n", ErrMalformed},
		{"a small body in chunks of one byte", strings.Repeat("1\r\nx\r\n", 1000) + "0\r\n\r\n", nil},
		{"a large body in chunks of ten bytes", strings.Repeat("a\r\n0123456789\r\n", MaxBodyBytes/10) + "0\r\n\r\n", nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			head, err := ParseRequestHead([]byte("POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"))
			assert.NoError(t, err)
			body, err := RequestBody(&head.Head)
			assert.NoError(t, err)
			_, err = readBody(body, tt.text, MaxHeadBytes)
			assert.ErrorIs(t, err, tt.want)
		})
	}
}
