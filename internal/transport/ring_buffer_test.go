package transport

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRingBufferReturnsWrappedBytesAsOneSlice(t *testing.T) {
	ring := NewRingBuffer(8)
	assert.Equal(t, 6, ring.Write([]byte("abcdef")))
	ring.Discard(4)
	assert.Equal(t, 6, ring.Write([]byte("ghijklmn")), "only the bytes that fit are written")
	assert.True(t, ring.Full())
	assert.Equal(t, "efghijkl", string(ring.Bytes()))
	var out bytes.Buffer
	ring.Discard(1)
	assert.Equal(t, 1, ring.Write([]byte("m")))
	assert.NoError(t, ring.FlushTo(&out))
	assert.Equal(t, "fghijklm", out.String())
	_, err := ring.Fill(strings.NewReader("xyz"))
	assert.NoError(t, err)
	assert.Equal(t, "xyz", string(ring.Bytes()))
}
