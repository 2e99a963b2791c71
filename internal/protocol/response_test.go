package protocol

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestResponseHeadHasOptionalFieldsOnlyIfSet(t *testing.T) {
	assert.Equal(t,
		"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\nRetry-After: 0.25\r\nConnection: close\r\n\r\n",
		string(AppendResponseHead(nil, &Response{Status: 429, RetryAfter: 250 * time.Millisecond}, CloseAfterResponse)))
	assert.Equal(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
		string(AppendResponseHead(nil, &Response{Status: 200, Body: []byte("ab")}, KeepAlive)))
}

func TestRejectionForError(t *testing.T) {
	for _, tt := range []struct {
		err    error
		status int
	}{
		{ErrTooLarge, 413},
		{ErrHeadTooLarge, 431},
		{ErrMalformed, 400},
		{errors.New("any other error"), 408},
	} {
		t.Run(tt.err.Error(), func(t *testing.T) {
			assert.Equal(t, tt.status, RejectionForError(tt.err).Status)
		})
	}
}
