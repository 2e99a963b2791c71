package protocol

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// requestHead parses the head of a POST request with the given field lines.
func requestHead(t *testing.T, fieldLines string) *Head {
	t.Helper()
	head, err := ParseRequestHead([]byte("POST /api?q=1 HTTP/1.1\r\n" + fieldLines + "\r\n\r\n"))
	assert.NoError(t, err)
	return &head.Head
}

// responseHead parses the head of a response that starts with the given text.
func responseHead(t *testing.T, text string) *Head {
	t.Helper()
	head, err := ParseResponseHead([]byte(text + "\r\n\r\n"))
	assert.NoError(t, err)
	return &head.Head
}
