package protocol

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestForwardedRequestKeepsFieldsAndBody(t *testing.T) {
	request, err := ParseRequest(requestHead(t,
		"Req-Id: 9b\r\nReq-Kind: render\r\nReq-Deadline: 0.48\r\nReq-Cost: 1500\r\n"+
			"Req-Extra: memory=2,slots=3\r\nIdempotency-Key: k\r\nReq-Owner: o"))
	assert.NoError(t, err)
	assert.Equal(t, []any{480 * time.Millisecond, 1500 * time.Microsecond, 3.0, "render", "o"},
		[]any{request.Timeout, request.SizeHint, request.Slots, request.Operation, request.Tenant})
	request.Body = []byte("body")
	assert.Equal(t, "POST /api?q=1 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: 9b\r\nReq-Deadline: 0.250\r\n"+
		"Idempotency-Key: k\r\nContent-Length: 4\r\n\r\nbody",
		string(AppendWorkerRequest(nil, request, 250*time.Millisecond)))
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	for _, tt := range []struct{ name, fieldLines string }{
		{"no ID", "Req-Kind: a"},
		{"empty ID", "Req-Id: "},
		{"two IDs", "Req-Id: a\r\nReq-Id: b"},
		{"ID with a space", "Req-Id: a b"},
		{"non-ASCII ID", "Req-Id: \xe9"},
		{"ID longer than the limit", "Req-Id: " + strings.Repeat("a", 300)},
		{"non-numeric timeout", "Req-Id: a\r\nReq-Deadline: x"},
		{"empty timeout", "Req-Id: a\r\nReq-Deadline: "},
		{"timeout with an exponent", "Req-Id: a\r\nReq-Deadline: 1e1"},
		{"hexadecimal timeout", "Req-Id: a\r\nReq-Deadline: 0x1p3"},
		{"timeout of 0", "Req-Id: a\r\nReq-Deadline: 0"},
		{"negative timeout", "Req-Id: a\r\nReq-Deadline: -1"},
		{"timeout NaN", "Req-Id: a\r\nReq-Deadline: NaN"},
		{"empty size hint", "Req-Id: a\r\nReq-Cost:"},
		{"two size hints", "Req-Id: a\r\nReq-Cost: 1\r\nReq-Cost: 2"},
		{"infinite size hint", "Req-Id: a\r\nReq-Cost: Inf"},
		{"size hint with an exponent", "Req-Id: a\r\nReq-Cost: 1e15"},
		{"empty idempotency key", "Req-Id: a\r\nIdempotency-Key: "},
		{"non-numeric slots", "Req-Id: a\r\nReq-Extra: slots=x"},
		{"slots with an exponent", "Req-Id: a\r\nReq-Extra: slots=1e9"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseRequest(requestHead(t, tt.fieldLines))
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}
