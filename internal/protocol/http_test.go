package protocol

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestHeadIsTakenOnlyWhenWhole(t *testing.T) {
	const text = "\r\nPOST /api?x=1 HTTP/1.1\r\nReq-Id: a\r\nX:  b \r\n\r\nrest"
	for n := range strings.Index(text, "rest") {
		_, used, err := ParseRequestHead([]byte(text[:n]))
		assert.NoError(t, err)
		assert.Zero(t, used)
	}
	h, used, err := ParseRequestHead([]byte(text))
	assert.NoError(t, err)
	assert.Equal(t, "rest", text[used:])
	assert.Equal(t, []string{"POST", "/api?x=1", "/api", "a", "b"},
		[]string{h.Method, h.Target, h.Path(), h.Field("req-id"), h.Field("x")})
	_, used, err = ParseResponseHead([]byte("HTTP/1.1 200 OK\nA: b\n\n"))
	assert.NoError(t, err)
	assert.NotZero(t, used, "of workers bare line ends are taken as well")
}

func TestBadHeadsAreMalformed(t *testing.T) {
	for _, text := range []string{
		"POST /api\r\n\r\n", "POST api HTTP/1.1\r\n\r\n", "P(ST / HTTP/1.1\r\n\r\n", "GET / HTTP/2.0\r\n\r\n",
		"GET / HTTP/1.1\nA: b\n\n", "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", "GET /\x01 HTTP/1.1\r\n\r\n",
		"GET /\xc3\xa9 HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nA: b\x07\r\n\r\n",
		"GET / HTTP/1.1\r\nA: b\rC: d\r\n\r\n",
		"GET / HTTP/1.1\r\nno colon\r\n\r\n", "GET / HTTP/1.1\r\nA b: c\r\n\r\n", "GET / HTTP/1.1\r\n : c\r\n\r\n",
	} {
		_, _, err := ParseRequestHead([]byte(text))
		assert.ErrorIs(t, err, ErrMalformed, text)
	}
	for _, text := range []string{
		"HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1\r\n\r\n", "GARBAGE\r\n\r\n",
		"HTTP/3 200\r\n\r\n",
	} {
		_, _, err := ParseResponseHead([]byte(text))
		assert.ErrorIs(t, err, ErrMalformed, text)
	}
	_, _, err := ParseRequestHead([]byte(strings.Repeat("a", MaxHeadBytes)))
	assert.ErrorIs(t, err, ErrHeadTooLarge)
}

func TestWhoEndsTheConnection(t *testing.T) {
	for text, closes := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n": false, "HTTP/1.0 200 OK\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nConnection: x, Close\r\n\r\n":   true,
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n": false,
	} {
		h, _, err := ParseResponseHead([]byte(text))
		assert.NoError(t, err)
		assert.Equal(t, closes, h.CloseRequested(), text)
	}
}

// Guards against a body that two readers would end in different places.
func TestLengthThatCanBeReadInTwoWaysIsMalformed(t *testing.T) {
	for _, fields := range []string{
		"Content-Length: 3\r\nContent-Length: 4", "Content-Length: -1",
		"Content-Length: 3\r\nTransfer-Encoding: chunked", "Transfer-Encoding: gzip", "Content-Length: 3x",
	} {
		h, _, err := ParseRequestHead([]byte("POST /api HTTP/1.1\r\n" + fields + "\r\n\r\n"))
		assert.NoError(t, err)
		_, err = RequestBody(&h)
		assert.ErrorIs(t, err, ErrMalformed, fields)
	}
	h, _, err := ParseRequestHead([]byte("POST /api HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"))
	assert.NoError(t, err)
	_, err = RequestBody(&h)
	assert.ErrorIs(t, err, ErrMalformed)
	_, err = whole(Body{chunked: true, strictLines: true}, "1\n", 2)
	assert.ErrorIs(t, err, ErrMalformed, "the line of a chunk that ends in a bare LF")
}

// whole puts a body together from pieces of the given size.
func whole(b Body, text string, piece int) (string, error) {
	var out []byte
	held := ""
	for len(text) > 0 || len(held) > 0 {
		n := min(piece, len(text))
		held, text = held+text[:n], text[n:]
		for {
			data, used, err := b.Next([]byte(held))
			if err != nil {
				return "", err
			}
			out, held = append(out, data...), held[used:]
			if used == 0 {
				break
			}
		}
		if b.Done() || n == 0 {
			break
		}
	}
	if !b.Done() {
		return "", errors.New("not done")
	}
	return string(out), nil
}

func TestChunksComeTogetherHoweverTheyArrive(t *testing.T) {
	const text = "5;x=y\r\nhello\r\n1\r\n \r\nA\r\n0123456789\r\n0\r\nTrailer: 1\r\n\r\n"
	for piece := 1; piece <= len(text); piece++ {
		got, err := whole(Body{chunked: true}, text, piece)
		assert.NoError(t, err)
		assert.Equal(t, "hello 0123456789", got)
	}
	for _, bad := range []string{
		"x\r\n", "-1\r\n", "2\r\nabc\r\n0\r\n\r\n", "ffffffffffffffffff\r\n",
		strings.Repeat("1", 2000),
	} {
		_, err := whole(Body{chunked: true}, bad, len(bad))
		assert.ErrorIs(t, err, ErrMalformed, bad)
	}
}

func TestAnswersWithoutABody(t *testing.T) {
	for _, status := range []int{100, 204, 304} {
		b, err := ResponseBody(&Head{Status: status})
		assert.NoError(t, err)
		assert.True(t, b.Done())
	}
	b, err := ResponseBody(&Head{Status: 200})
	assert.NoError(t, err)
	assert.True(t, b.EndsWithConnection())
}

func askHead(t *testing.T, fields string) *Head {
	h, _, err := ParseRequestHead([]byte("POST /api?q=1 HTTP/1.1\r\n" + fields + "\r\n\r\n"))
	assert.NoError(t, err)
	return &h
}

func TestInvocationGoesOnUnchanged(t *testing.T) {
	inv, err := ParseRequest(askHead(t,
		"Req-Id: 9b\r\nReq-Kind: render\r\nReq-Deadline: 0.48\r\nReq-Cost: 1500\r\n"+
			"Req-Extra: memory=2,slots=3\r\nIdempotency-Key: k\r\nReq-Owner: o"))
	assert.NoError(t, err)
	assert.Equal(t, []any{480 * time.Millisecond, 1500 * time.Microsecond, 3.0, "render", "o"},
		[]any{inv.Timeout, inv.SizeHint, inv.Slots, inv.Operation, inv.Tenant})
	inv.Body = []byte("body")
	assert.Equal(t, "POST /api?q=1 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: 9b\r\nReq-Deadline: 0.250\r\n"+
		"Idempotency-Key: k\r\nContent-Length: 4\r\n\r\nbody",
		string(AppendWorkerRequest(nil, inv, 250*time.Millisecond)))
}

func TestInvocationsThatCannotBeTaken(t *testing.T) {
	for _, fields := range []string{
		"Req-Kind: a", "Req-Id: ", "Req-Id: a\r\nReq-Id: b",
		"Req-Id: a\r\nReq-Deadline: x",
		"Req-Id: a\r\nReq-Deadline: ", "Req-Id: a\r\nReq-Deadline: 1e1", "Req-Id: a\r\nReq-Deadline: 0x1p3",
		"Req-Id: a\r\nReq-Deadline: 0", "Req-Id: a\r\nReq-Cost:", "Req-Id: a b", "Req-Id: \xe9",
		"Req-Id: a\r\nIdempotency-Key: ", "Req-Id: a\r\nReq-Cost: 1\r\nReq-Cost: 2",
		"Req-Id: a\r\nReq-Deadline: -1", "Req-Id: a\r\nReq-Deadline: NaN", "Req-Id: a\r\nReq-Cost: Inf",
		"Req-Id: a\r\nReq-Extra: slots=x", "Req-Id: a\r\nReq-Cost: 1e15", "Req-Id: a\r\nReq-Extra: slots=1e9",
		"Req-Id: " + strings.Repeat("a", 300),
	} {
		_, err := ParseRequest(askHead(t, fields))
		assert.ErrorIs(t, err, ErrMalformed, fields)
	}
}

func TestAnswerHead(t *testing.T) {
	assert.Equal(t,
		"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\nRetry-After: 0.25\r\nConnection: close\r\n\r\n",
		string(AppendResponseHead(nil, &Response{Status: 429, RetryAfter: 250 * time.Millisecond}, true)))
	assert.Equal(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
		string(AppendResponseHead(nil, &Response{Status: 200, Body: []byte("ab")}, false)))
	assert.Equal(t, []int{413, 431, 400, 408}, []int{
		RejectionOf(ErrTooLarge).Status,
		RejectionOf(ErrHeadTooLarge).Status,
		RejectionOf(ErrMalformed).Status, RejectionOf(errors.New("late")).Status,
	})
}

func TestDeclinedOnlyWhereTheWorkerSaysSo(t *testing.T) {
	for text, declined := range map[string]bool{
		"503 No\r\nSrv-Declined: 1": true,
		"504 No\r\nsrv-declined: 1": true,
		"503 No":                    false, "500 No\r\nSrv-Declined: 1": false,
		"503 No\r\nSrv-Declined: 0": false,
	} {
		h, _, err := ParseResponseHead([]byte("HTTP/1.1 " + text + "\r\n\r\n"))
		assert.NoError(t, err)
		assert.Equal(t, declined, Declined(&h), text)
	}
}
