package transport

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/lifecycle"
	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
)

// serverWithSuccessor returns a server that is not running, and the listener of a successor that shares its queue.
func serverWithSuccessor(t *testing.T) (server *Server, successor *net.TCPListener) {
	t.Helper()
	ln := listenLoopback(t)
	file, err := ln.File()
	assert.NoError(t, err)
	successor, err = ListenClients("", ListenOptions{Inherited: file})
	assert.NoError(t, err)
	t.Cleanup(func() { successor.Close() })
	return newTestServer(ln, 4, newEchoHandler()), successor
}

// Connections that are still in the listener's queue when the listener is closed would be reset.
func TestQueuedConnectionsAreServedAtShutdown(t *testing.T) {
	server := newTestServer(listenLoopback(t), 4, newEchoHandler())
	var conns [3]net.Conn
	for n := range conns {
		conns[n], _ = connect(t, server)
		io.WriteString(conns[n], echoRequest)
	}
	server.lifecycle.Stop(time.Now())
	runWithCanceledContext(t, server)
	for _, conn := range conns {
		got, err := io.ReadAll(conn)
		assert.NoError(t, err)
		assert.Contains(t, string(got), "200 OK")
		assert.Contains(t, string(got), "Connection: close")
	}
	_, err := net.Dial("tcp", server.ln.Addr().String())
	assert.Error(t, err)
}

func TestQueuedConnectionsAreLeftToTheSuccessor(t *testing.T) {
	server, successor := serverWithSuccessor(t)
	connect(t, server)
	assert.NoError(t, server.lifecycle.HandOff(time.Now()))
	server.lifecycle.Stop(time.Now())
	runWithCanceledContext(t, server)
	successor.SetDeadline(time.Now().Add(testTimeout))
	conn, err := successor.Accept()
	assert.NoError(t, err)
	conn.Close()
}

// The process is stopped after its successor has inherited the listener, but before the successor accepts connections.
func TestSharedListenerKeepsItsBacklog(t *testing.T) {
	server, successor := serverWithSuccessor(t)
	server.MarkListenerShared()
	server.lifecycle.Stop(time.Now())
	runWithCanceledContext(t, server)
	for range 4 {
		conn, err := net.DialTimeout("tcp", successor.Addr().String(), testTimeout)
		assert.NoError(t, err, "the queue holds more than one connection")
		t.Cleanup(func() { conn.Close() })
	}
}

// Even if a process was drained before it is stopped, no other process accepts from its queue.
func TestDrainedServerStillServesNewConnectionsAtShutdown(t *testing.T) {
	server, _, _ := startServer(t, 4)
	server.lifecycle.Drain(time.Now().Add(-lifecycle.DrainGrace))
	server.lifecycle.Stop(time.Now())
	canceledCtx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NoError(t, server.FollowLifecycle(canceledCtx)) // applies the current phase before it checks the context
	client, reader := connect(t, server)
	assert.Equal(t, clientResponse{200, "ab", true}, roundTrip(t, client, reader, echoRequest))
}

func TestRequestReceivedAsTheIdleTimeoutExpiresIsServed(t *testing.T) {
	for _, tt := range []struct {
		name     string
		stopping bool
	}{
		{"of a serving process", false},
		{"of a stopping process", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			server, _, _ := startServer(t, 4)
			conn, peer, _ := connPair(t)
			if tt.stopping {
				server.lifecycle.Stop(time.Now())
			}
			server.clients.acquire(conn)
			io.WriteString(peer, echoRequest)
			assert.Eventually(t, conn.hasUnreadData, testTimeout, time.Millisecond)
			conn.setReadDeadline(pastDeadline)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				server.serveRequests(conn, admitted)
				server.clients.release(conn)
			}()
			response := make([]byte, len("HTTP/1.1 200"))
			peer.SetReadDeadline(time.Now().Add(testTimeout))
			_, err := io.ReadFull(peer, response)
			assert.NoError(t, err)
			assert.Equal(t, "HTTP/1.1 200", string(response))
			peer.Close()
			peertest.Receive(t, ended)
		})
	}
}

// The process is stopped while the first of two pipelined requests is being served.
func TestPipelinedRequestsAreServedAtShutdown(t *testing.T) {
	server, handler, stop, ended := startGatedServer(t)
	client, reader := connect(t, server)
	io.WriteString(client, gatedRequest+echoRequest)
	served := peertest.Receive(t, handler.requested)
	assert.Eventually(t, func() bool {
		return served.stream.bytesRead.Load() == int64(len(gatedRequest+echoRequest))
	}, testTimeout, time.Millisecond)
	server.lifecycle.Stop(time.Now())
	stop()
	assert.Eventually(t, func() bool { return server.lifecycle.PhaseAt(time.Now()) == lifecycle.Closing }, testTimeout,
		time.Millisecond)
	handler.release <- &protocol.Response{Status: 200}
	assert.Equal(t, clientResponse{200, "", false}, readResponse(t, reader))
	assert.Equal(t, clientResponse{200, "ab", true}, readResponse(t, reader))
	assert.NoError(t, peertest.Receive(t, ended))
}

func TestShutdownClosesIdleConnectionsAtOnce(t *testing.T) {
	server, _, stop := startServer(t, 4)
	client, reader := connect(t, server)
	roundTrip(t, client, reader, echoRequest)
	server.lifecycle.Stop(time.Now())
	assert.True(t, roundTrip(t, client, reader, echoRequest).closes)
	connect(t, server)
	slow, _ := connect(t, server)
	io.WriteString(slow, "POST /a")
	stop()
}

func TestServerStopsDespiteAClientThatDoesNotReadItsResponse(t *testing.T) {
	server, handler, stop, ended := startGatedServer(t)
	client, _ := connect(t, server)
	io.WriteString(client, gatedRequest)
	served := peertest.Receive(t, handler.requested)
	handler.release <- &protocol.Response{Status: 200, Body: make([]byte, 64<<20)}
	assert.Eventually(t, func() bool { return served.stream.bytesWritten.Load() > 0 }, testTimeout, time.Millisecond)
	began := time.Now()
	server.lifecycle.Stop(began)
	server.CloseAllAfter(50 * time.Millisecond)
	stop()
	assert.NoError(t, peertest.Receive(t, ended))
	assert.Less(t, time.Since(began), responseWriteTimeout-time.Second)
}

func TestServerStopsDespiteAClientThatSendsContinuously(t *testing.T) {
	server, _, stop, ended := startGatedServer(t)
	client, reader := connect(t, server)
	go io.Copy(io.Discard, reader)
	sending := make(chan struct{})
	go func() {
		defer close(sending)
		for {
			if _, err := io.WriteString(client, strings.Repeat(echoRequest, 100)); err != nil {
				return
			}
		}
	}()
	server.lifecycle.Stop(time.Now())
	server.CloseAllAfter(200 * time.Millisecond)
	stop()
	assert.NoError(t, peertest.Receive(t, ended))
	peertest.Receive(t, sending)
}
