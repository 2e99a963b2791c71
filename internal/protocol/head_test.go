package protocol

import (
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestHeadIsParsedOnlyWhenComplete(t *testing.T) {
	const text = "\r\nPOST /api?x=1 HTTP/1.1\r\nReq-Id: a\r\nX: y\r\nExpect:  b \r\n\r\nrest"
	for n := range strings.Index(text, "rest") {
		head, err := ParseRequestHead([]byte(text[:n]))
		assert.NoError(t, err)
		assert.Zero(t, head.Length)
	}
	head, err := ParseRequestHead([]byte(text))
	assert.NoError(t, err)
	assert.Equal(t, "rest", text[head.Length:])
	assert.Equal(t, []string{"POST", "/api?x=1", "/api", "a", "b"},
		[]string{head.Method, head.Target, head.Path(), head.Field("req-id"), head.Field("expect")})
}

func TestResponseHeadMayHaveBareLineFeeds(t *testing.T) {
	head, err := ParseResponseHead([]byte("HTTP/1.1 200 OK\nA: b\n\n"))
	assert.NoError(t, err)
	assert.NotZero(t, head.Length)
}

func TestMalformedRequestHeadsAreRejected(t *testing.T) {
	for _, tt := range []struct{ name, text string }{
		{"no version", "POST /api\r\n\r\n"},
		{"relative target", "POST api HTTP/1.1\r\n\r\n"},
		{"method that is not a token", "P(ST / HTTP/1.1\r\n\r\n"},
		{"unsupported version", "GET / HTTP/2.0\r\n\r\n"},
		{"bare LF on all lines", "GET / HTTP/1.1\nA: b\n\n"},
		{"bare LF on one line", "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n"},
		{"control byte in the target", "GET /\x01 HTTP/1.1\r\n\r\n"},
		{"non-ASCII target", "GET /\xc3\xa9 HTTP/1.1\r\n\r\n"},
		{"control byte in a field value", "GET / HTTP/1.1\r\nA: b\x07\r\n\r\n"},
		{"bare CR", "GET / HTTP/1.1\r\nA: b\rC: d\r\n\r\n"},
		{"field without colon", "GET / HTTP/1.1\r\nno colon\r\n\r\n"},
		{"field name with a space", "GET / HTTP/1.1\r\nA b: c\r\n\r\n"},
		{"empty field name", "GET / HTTP/1.1\r\n : c\r\n\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseRequestHead([]byte(tt.text))
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}

func TestMalformedResponseHeadsAreRejected(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1\r\n\r\n", "GARBAGE\r\n\r\n", "HTTP/3 200\r\n\r\n",
	} {
		t.Run(text, func(t *testing.T) {
			_, err := ParseResponseHead([]byte(text))
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}

// A head must not take much more memory than its text, whatever its fields are. Otherwise clients that send heads of very
// many short fields and then stop make the process exceed its memory limit.
func TestHeadOfManyFieldsTakesLittleMemory(t *testing.T) {
	const heads = 100
	fieldsLike := func(line string) string {
		const start = "POST /api HTTP/1.1\r\n"
		return start + strings.Repeat(line, (MaxHeadBytes-len(start)-len("\r\n"))/len(line)) + "\r\n"
	}
	for name, text := range map[string]string{
		"unknown":  fieldsLike("a:\r\n"),
		"repeated": fieldsLike("Expect:\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			kept := make([]ParsedHead, heads)
			runtime.ReadMemStats(&before)
			for n := range kept {
				kept[n], _ = ParseRequestHead([]byte(text))
			}
			runtime.ReadMemStats(&after)
			const copiesOfTheText = 2 // one by the test
			allocated := (after.TotalAlloc - before.TotalAlloc) / heads
			assert.LessOrEqual(t, allocated, uint64((copiesOfTheText+1)*MaxHeadBytes))
			runtime.KeepAlive(kept)
		})
	}
}

func TestHeadAboveTheLimitIsTooLarge(t *testing.T) {
	_, err := ParseRequestHead([]byte(strings.Repeat("a", MaxHeadBytes)))
	assert.ErrorIs(t, err, ErrHeadTooLarge)
}

func TestCloseRequested(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		want       bool
	}{
		{"HTTP/1.1", "HTTP/1.1 200 OK", false},
		{"HTTP/1.0", "HTTP/1.0 200 OK", true},
		{"HTTP/1.1 with close", "HTTP/1.1 200 OK\r\nConnection: x, Close", true},
		{"HTTP/1.0 with keep-alive", "HTTP/1.0 200 OK\r\nConnection: keep-alive", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.want, responseHead(t, tt.text).CloseRequested())
		})
	}
}

func TestIsDeclined(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		want       bool
	}{
		{"503 with the field", "HTTP/1.1 503 No\r\nSrv-Declined: 1", true},
		{"504 with the field in lower case", "HTTP/1.1 504 No\r\nsrv-declined: 1", true},
		{"503 without the field", "HTTP/1.1 503 No", false},
		{"500 with the field", "HTTP/1.1 500 No\r\nSrv-Declined: 1", false},
		{"503 with another value", "HTTP/1.1 503 No\r\nSrv-Declined: 0", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.want, IsDeclined(responseHead(t, tt.text)))
		})
	}
}
