package hotrestart

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
)

// startPredecessor listens for successors until the test ends. It hands over one socket and a text, and sends each
// received update back.
func startPredecessor(t *testing.T, socket ControlSocket, connected chan<- *Link) (shared *net.TCPListener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	shared = listener.(*net.TCPListener)
	predecessor := Listener{
		ControlSocket: socket,
		Log:           zerolog.Nop(),
		IsStopping:    func() bool { return false },
		Sockets:       func() []Socket { return []Socket{{ClientSocket, shared}} },
		Snapshot:      func() any { return "known" },
		HandleSuccessor: func(ctx context.Context, l *Link) {
			defer context.AfterFunc(ctx, l.Close)()
			connected <- l
			_ = l.Receive(Handler{SiblingUpdate: func(b json.RawMessage) { _ = l.SendSiblingUpdate(b) }})
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- predecessor.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
		shared.Close()
	})
	assert.Eventually(t, func() bool {
		_, err := os.Stat(socket.path(socket.file))
		return err == nil
	}, time.Second, time.Millisecond)
	return shared
}

func TestSocketsAndSnapshotAreHandedOver(t *testing.T) {
	for _, c := range []struct{ name, dir string }{
		{"short path", t.TempDir()},
		{"path too long for an address", filepath.Join(t.TempDir(), strings.Repeat("a", 120))},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.NoError(t, os.MkdirAll(c.dir, 0o700))
			socket := NewControlSocket(c.dir, "n3", "127.0.0.1:1")
			connected := make(chan *Link, 2)
			shared := startPredecessor(t, socket, connected)
			for range 2 { // after a successor has failed, another one may connect
				handover, err := Connect(socket)
				if !assert.NoError(t, err) {
					return
				}
				<-connected
				assert.JSONEq(t, `"known"`, string(handover.Snapshot))
				listener, err := net.FileListener(handover.Sockets[ClientSocket])
				assert.NoError(t, err)
				assert.Equal(t, shared.Addr(), listener.Addr(), "both processes accept from one queue")
				listener.Close()
				assert.NoError(t, handover.Link.SendSiblingUpdate(7))
				update, err := handover.Link.receive()
				assert.NoError(t, err)
				assert.JSONEq(t, "7", string(update.Update))
				handover.Link.Close()
			}
		})
	}
}

// A file that another process has left at the path of the control socket must neither fail nor delay a start.
func TestStartSucceedsWithoutPredecessor(t *testing.T) {
	assertNoPredecessor := func(t *testing.T, socket ControlSocket) {
		t.Helper()
		handover, err := Connect(socket)
		assert.Nil(t, handover)
		assert.NoError(t, err)
	}
	socket := NewControlSocket(t.TempDir(), "n3")
	t.Run("no file", func(t *testing.T) { assertNoPredecessor(t, socket) })
	t.Run("socket of a killed process", func(t *testing.T) {
		listener, err := socket.listen()
		assert.NoError(t, err)
		listener.Close()
		assertNoPredecessor(t, socket)
	})
	t.Run("ordinary file", func(t *testing.T) {
		assert.NoError(t, os.Remove(socket.path(socket.file)))
		assert.NoError(t, os.WriteFile(socket.path(socket.file), []byte("x"), 0o600))
		assertNoPredecessor(t, socket)
		startPredecessor(t, socket, make(chan *Link, 1)) // replaces it
	})
	t.Run("no such directory", func(t *testing.T) {
		none := NewControlSocket(filepath.Join(t.TempDir(), "none"), "n3")
		assertNoPredecessor(t, none)
		listener := Listener{ControlSocket: none, Log: zerolog.Nop(), IsStopping: func() bool { return false }}
		assert.NoError(t, listener.Run(context.Background()), "it serves without successors")
	})
}

func TestProcessOfAnotherVersionIsRejected(t *testing.T) {
	socket := NewControlSocket(t.TempDir(), "n3")
	startPredecessor(t, socket, make(chan *Link, 1))
	conn, err := socket.dial()
	assert.NoError(t, err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	assert.NoError(t, newLink(conn).send(message{Version: protocolVersion + 1}))
	_, err = newLink(conn).receive()
	assert.Error(t, err, "the connection is closed without a response")
	assert.ErrorIs(t, (&message{Version: protocolVersion + 1}).checkVersion(), ErrVersionMismatch)
	_, err = parseMessage([]byte(`{"v":`))
	assert.ErrorIs(t, err, ErrVersionMismatch)
}

// Connect must return after handshakeTimeout if the predecessor does not respond.
func TestConnectTimesOutOnUnresponsivePredecessor(t *testing.T) {
	socket := NewControlSocket(t.TempDir(), "n3")
	listener, err := socket.listen()
	assert.NoError(t, err)
	defer listener.Close()
	startedAt := time.Now()
	_, err = Connect(socket)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.InDelta(t, handshakeTimeout.Seconds(), time.Since(startedAt).Seconds(), 0.5)
	assert.NotErrorIs(t, err, syscall.ECONNREFUSED)
}
