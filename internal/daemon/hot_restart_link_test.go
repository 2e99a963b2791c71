package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/hotrestart"
	"canvasroute/internal/peertest"
	"canvasroute/internal/proxy"
)

// linkToPredecessor returns the link of a successor to a predecessor that runs a function with its own link.
func linkToPredecessor(t *testing.T, runPredecessor func(*hotrestart.Link)) *hotrestart.Link {
	t.Helper()
	t.Setenv("TMPDIR", t.TempDir())
	config, _ := newTestConfig(t, time.Millisecond)
	predecessor := hotrestart.Listener{
		ControlSocket:   hotrestart.NewControlSocket(os.TempDir(), config.Name, config.Listen, config.PeerListen),
		Sockets:         func() []hotrestart.Socket { return nil },
		Snapshot:        func() any { return nil },
		IsStopping:      func() bool { return false },
		Log:             nopLog,
		HandleSuccessor: func(_ context.Context, link *hotrestart.Link) { runPredecessor(link) },
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- predecessor.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	listens := func() bool {
		sockets, err := filepath.Glob(filepath.Join(os.TempDir(), "canvasroute-*.sock"))
		return err == nil && len(sockets) > 0
	}
	assert.Eventually(t, listens, peertest.EventTimeout, peertest.PollInterval)
	return connectAsSuccessor(t, config).Link
}

// awaitFailedUpdate sends an update, which must fail because the sibling has exited.
func awaitFailedUpdate(t *testing.T, link *hotrestart.Link) {
	t.Helper()
	h := &hotRestart{log: nopLog}
	failures := 0
	stop := h.sendUpdates(t.Context(), link, func() proxy.SiblingUpdate { return proxy.SiblingUpdate{} },
		func() { failures++ })
	stop()
	assert.Equal(t, 1, failures)
}

// Requests that the predecessor has handed over before it exited must be received, also if an update to it cannot be
// sent meanwhile. Otherwise their clients get no response.
func TestHandedOverRequestsAreReceivedAfterAnUpdateCannotBeSent(t *testing.T) {
	const requests = 3
	client, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer client.Close()
	exited := make(chan struct{})
	link := linkToPredecessor(t, func(link *hotrestart.Link) {
		defer close(exited)
		sockets := []hotrestart.Socket{{Name: hotrestart.ClientSocket, Conn: client.(*net.TCPListener)}}
		for range requests {
			assert.NoError(t, link.SendRequest("request", sockets))
		}
		link.Close()
	})
	<-exited
	awaitFailedUpdate(t, link)
	received := 0
	err = link.Receive(hotrestart.Handler{Request: func(_ json.RawMessage, sockets map[string]*os.File) {
		received++
		for _, socket := range sockets {
			assert.NoError(t, socket.Close())
		}
	}})
	assert.ErrorIs(t, err, io.EOF, "the predecessor's exit")
	assert.Equal(t, requests, received)
}

// The client of a request that cannot be parsed must not wait for a response that nobody will send.
func TestClientOfARequestThatCannotBeParsedIsDisconnected(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	assert.NoError(t, err)
	defer client.Close()
	atPredecessor, err := ln.Accept()
	assert.NoError(t, err)
	file, err := atPredecessor.(*net.TCPConn).File()
	assert.NoError(t, err)
	assert.NoError(t, atPredecessor.Close())
	config, _ := newTestConfig(t, time.Millisecond)
	p := &process{config: &config, log: nopLog}
	p.applyResourceLimits()
	p.buildBalancer()
	p.buildProxy()
	h := &hotRestart{log: nopLog, proxy: p.proxy}
	h.importRequest([]byte("{"), map[string]*os.File{hotrestart.ClientSocket: file})
	client.SetReadDeadline(time.Now().Add(time.Second))
	_, err = client.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// A LEAVE that a successor has answered before it exited must be received, also if an update to it cannot be sent
// meanwhile. Otherwise the predecessor resumes serving.
func TestDrainOfAnExitedSuccessorIsReceived(t *testing.T) {
	exited := make(chan struct{})
	commands := make(chan string, 1)
	successor := linkToPredecessor(t, func(link *hotrestart.Link) {
		defer close(commands)
		<-exited
		awaitFailedUpdate(t, link)
		err := link.Receive(hotrestart.Handler{
			Command: func(command hotrestart.Command) { commands <- command.Name },
		})
		assert.ErrorIs(t, err, io.EOF, "the successor's exit")
	})
	assert.NoError(t, successor.SendCommand(commandLeave))
	successor.Close()
	close(exited)
	assert.Equal(t, commandLeave, <-commands)
}
