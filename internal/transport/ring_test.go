package transport

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRingReturnsWrappedBytesInOnePiece(t *testing.T) {
	r := NewRing(8)
	assert.Equal(t, 6, r.Write([]byte("abcdef")))
	r.Discard(4)
	assert.Equal(t, 6, r.Write([]byte("ghijklmn")), "no more than fits")
	assert.True(t, r.Full())
	assert.Equal(t, "efghijkl", string(r.Bytes()))
	var out bytes.Buffer
	r.Discard(1)
	assert.Equal(t, 1, r.Write([]byte("m")))
	assert.NoError(t, r.Drain(&out))
	assert.Equal(t, "fghijklm", out.String())
	_, err := r.Fill(strings.NewReader("xyz"))
	assert.NoError(t, err)
	assert.Equal(t, "xyz", string(r.Bytes()))
}
