package hotrestart

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"golang.org/x/sys/unix"
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

// The sockets that were received with a part of a message must be closed. Otherwise their clients would wait for a
// response until this process exits.
func TestSocketsOfAPartOfAMessageAreClosed(t *testing.T) {
	for _, c := range []struct {
		name    string
		receive func(*net.UnixConn) error
	}{
		{"request", func(conn *net.UnixConn) error { return newLink(conn).Receive(Handler{}) }},
		{"handshake of a predecessor", func(conn *net.UnixConn) error {
			_, err := receiveHandover(conn)
			return err
		}},
		{"handshake of a successor", func(conn *net.UnixConn) error {
			listener := Listener{}
			return listener.handleSuccessor(t.Context(), conn)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sender, receiver := newSocketPair(t)
			client, handedOver := newSocketPair(t)
			raw, err := handedOver.SyscallConn()
			assert.NoError(t, err)
			assert.NoError(t, raw.Control(func(fd uintptr) {
				_, _, err := sender.WriteMsgUnix([]byte(`{"sockets":["clients"],`), unix.UnixRights(int(fd)), nil)
				assert.NoError(t, err)
			}))
			assert.NoError(t, handedOver.Close())
			assert.NoError(t, sender.CloseWrite())
			assert.Error(t, c.receive(receiver))
			client.SetReadDeadline(time.Now().Add(time.Second))
			_, err = client.Read(make([]byte, 1))
			assert.ErrorIs(t, err, io.EOF)
		})
	}
}

// If the sockets of a message do not all arrive, because the receiver has no free descriptors, only that message may be
// incomplete. Requests that are handed over after it must be received with their own sockets.
func TestMessageWithoutSomeOfItsSocketsIsReceived(t *testing.T) {
	first, second := newSocketPair(t)
	client, handedOver := newSocketPair(t)
	raw, err := handedOver.SyscallConn()
	assert.NoError(t, err)
	names := []string{ClientSocket}
	for n := range maxSockets { // one more than the receiver takes
		names = append(names, strconv.Itoa(n))
	}
	line, err := marshal(message{Request: json.RawMessage("1"), Sockets: names})
	assert.NoError(t, err)
	assert.NoError(t, raw.Control(func(fd uintptr) {
		rights := unix.UnixRights(slices.Repeat([]int{int(fd)}, len(names))...)
		_, _, err := first.WriteMsgUnix(append(line, '\n'), rights, nil)
		assert.NoError(t, err)
	}))
	assert.NoError(t, newLink(first).SendRequest(2, []Socket{{ClientSocket, client}}))
	first.Close()
	var received [][]string // names of the sockets of each request
	err = newLink(second).Receive(Handler{Request: func(_ json.RawMessage, files map[string]*os.File) {
		received = append(received, slices.Collect(maps.Keys(files)))
		closeFiles(files)
	}})
	assert.ErrorIs(t, err, io.EOF)
	if assert.Len(t, received, 2) {
		assert.ElementsMatch(t, names[:maxSockets], received[0])
		assert.Equal(t, []string{ClientSocket}, received[1])
	}
}
