package hotrestart

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// If a message was written in part, because the other process did not read in time, no other message may follow. The
// other process would take both for one malformed message, and lose all that has been sent after it.
func TestNothingIsSentAfterAPartOfAMessage(t *testing.T) {
	first, second := newSocketPair(t)
	sender, receiver := newLink(first), newLink(second)
	const moreThanTheSocketBuffers = 8 << 20 // bytes
	assert.Error(t, sender.SendSiblingUpdate(strings.Repeat("x", moreThanTheSocketBuffers)))
	received := make(chan error, 1)
	go func() { received <- receiver.Receive(Handler{}) }()
	assert.Error(t, sender.SendCommand("LEAVE"))
	assert.ErrorIs(t, <-received, io.EOF)
	assert.NoError(t, receiver.SendCommand("LEAVE"))
	command, err := sender.receive()
	assert.NoError(t, err, "the other direction is not affected")
	assert.Equal(t, "LEAVE", command.Command)
}
