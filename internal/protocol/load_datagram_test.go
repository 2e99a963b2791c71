package protocol

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestLoadDatagramsAreEncodedAndParsed(t *testing.T) {
	for _, tt := range []struct {
		name         string
		instance     int
		wantInstance int
	}{
		{"only instance of a process", NoInstance, 0},
		{"one of several instances", 3, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			encoded := AppendLoadDatagram(nil, 0xfffe, tt.instance, []Load{{WorkerTag("s-1"), 3}, {WorkerTag("s-2"), 300}})
			datagram, err := ParseLoadDatagram(encoded)
			assert.NoError(t, err)
			assert.Equal(t, uint16(0xfffe), datagram.Timestamp)
			assert.Equal(t, tt.wantInstance, datagram.Instance)
			assert.Equal(t, []Load{{WorkerTag("s-1"), 3}, {WorkerTag("s-2"), 255}}, datagram.Loads)
			largest := AppendLoadDatagram(nil, 0, tt.instance, make([]Load, 1000))
			assert.LessOrEqual(t, len(largest), 256, "the datagram must not exceed the maximum length")
		})
	}
}

// A datagram of 2 bytes is a hello; datagrams of 3 and 6 bytes have an instance number.
func TestDatagramsOfInvalidLengthAreMalformed(t *testing.T) {
	for _, length := range []int{0, 1, 4, 7, 257} {
		t.Run(strconv.Itoa(length), func(t *testing.T) {
			_, err := ParseLoadDatagram(make([]byte, length))
			assert.ErrorIs(t, err, ErrMalformedDatagram)
		})
	}
}
