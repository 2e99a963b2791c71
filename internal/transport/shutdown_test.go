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
	"canvasroute/internal/protocol"
)

// serverWithSuccessor makes a server that doesn't run, and the listener of a successor that shares its queue.
func serverWithSuccessor(t *testing.T) (s *Server, successor *net.TCPListener) {
	t.Helper()
	ln := listenLoopback(t)
	file, err := ln.File()
	assert.NoError(t, err)
	successor, err = ListenClients("", ListenOptions{Inherited: file})
	assert.NoError(t, err)
	t.Cleanup(func() { successor.Close() })
	return newTestServer(ln, 4, newEchoHandler()), successor
}

// Clients that wait in the listener's queue as the process stops would be reset with it.
func TestQueuedConnectionsAreServedAtShutdown(t *testing.T) {
	s := newTestServer(listenLoopback(t), 4, newEchoHandler())
	var conns [3]net.Conn
	for n := range conns {
		conns[n], _ = connect(t, s)
		io.WriteString(conns[n], echoRequest)
	}
	s.lifecycle.Stop(time.Now())
	runStopped(t, s)
	for _, c := range conns {
		got, err := io.ReadAll(c)
		assert.NoError(t, err)
		assert.Contains(t, string(got), "200 OK")
		assert.Contains(t, string(got), "Connection: close")
	}
	_, err := net.Dial("tcp", s.ln.Addr().String())
	assert.Error(t, err)
}

func TestQueuedConnectionsAreLeftToTheSuccessor(t *testing.T) {
	s, successor := serverWithSuccessor(t)
	connect(t, s)
	assert.NoError(t, s.lifecycle.HandOff(time.Now()))
	s.lifecycle.Stop(time.Now())
	runStopped(t, s)
	successor.SetDeadline(time.Now().Add(testTimeout))
	c, err := successor.Accept()
	assert.NoError(t, err)
	c.Close()
}

// The process is stopped while its successor has the listener already but doesn't serve yet.
func TestSharedListenerKeepsItsBacklog(t *testing.T) {
	s, successor := serverWithSuccessor(t)
	s.ShareListener()
	s.lifecycle.Stop(time.Now())
	runStopped(t, s)
	for range 4 {
		c, err := net.DialTimeout("tcp", successor.Addr().String(), testTimeout)
		assert.NoError(t, err, "its queue holds more than one")
		t.Cleanup(func() { c.Close() })
	}
}

// A process that was drained before it is stopped still is the only one that accepts from its queue.
func TestDrainedServerStillServesNewConnectionsAtShutdown(t *testing.T) {
	s, _, _ := startServer(t, 4)
	s.lifecycle.Drain(time.Now().Add(-lifecycle.DrainGrace))
	s.lifecycle.Stop(time.Now())
	applied, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NoError(t, s.FollowLifecycle(applied)) // it applies the present phase before it looks at the context
	c, r := connect(t, s)
	assert.Equal(t, clientResponse{200, "ab", true}, roundTrip(t, c, r, echoRequest))
}

func TestRequestThatCrossesTheIdleTimeoutIsServed(t *testing.T) {
	for _, tt := range []struct {
		name     string
		stopping bool
	}{
		{"of a serving process", false},
		{"of a stopping process", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, _, _ := startServer(t, 4)
			c, peer, _ := connPair(t)
			if tt.stopping {
				s.lifecycle.Stop(time.Now())
			}
			s.clients.acquire(c)
			io.WriteString(peer, echoRequest)
			assert.Eventually(t, c.hasUnreadData, testTimeout, time.Millisecond)
			c.setReadDeadline(pastDeadline)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				s.serveRequests(c, false)
				s.clients.release(c)
			}()
			response := make([]byte, len("HTTP/1.1 200"))
			peer.SetReadDeadline(time.Now().Add(testTimeout))
			_, err := io.ReadFull(peer, response)
			assert.NoError(t, err)
			assert.Equal(t, "HTTP/1.1 200", string(response))
			peer.Close()
			receive(t, ended)
		})
	}
}

// The process is stopped while the first of two pipelined requests is served.
func TestPipelinedRequestsAreServedAtShutdown(t *testing.T) {
	s, handler, stop, ended := startGatedServer(t)
	c, r := connect(t, s)
	io.WriteString(c, gatedRequest+echoRequest)
	served := receive(t, handler.requested)
	assert.Eventually(t, func() bool {
		return served.stream.bytesRead.Load() == int64(len(gatedRequest+echoRequest))
	}, testTimeout, time.Millisecond)
	s.lifecycle.Stop(time.Now())
	stop()
	assert.Eventually(t, func() bool { return s.lifecycle.PhaseAt(time.Now()) == lifecycle.Closing }, testTimeout,
		time.Millisecond)
	handler.release <- &protocol.Response{Status: 200}
	assert.Equal(t, clientResponse{200, "", false}, readResponse(t, r))
	assert.Equal(t, clientResponse{200, "ab", true}, readResponse(t, r))
	assert.NoError(t, receive(t, ended))
}

func TestShutdownClosesIdleConnectionsAtOnce(t *testing.T) {
	s, _, stop := startServer(t, 4)
	c, r := connect(t, s)
	roundTrip(t, c, r, echoRequest)
	s.lifecycle.Stop(time.Now())
	assert.True(t, roundTrip(t, c, r, echoRequest).closes)
	connect(t, s)
	slow, _ := connect(t, s)
	io.WriteString(slow, "POST /a")
	stop()
}

func TestServerStopsDespiteAClientThatDoesNotReadItsResponse(t *testing.T) {
	s, handler, stop, ended := startGatedServer(t)
	c, _ := connect(t, s)
	io.WriteString(c, gatedRequest)
	served := receive(t, handler.requested)
	handler.release <- &protocol.Response{Status: 200, Body: make([]byte, 64<<20)}
	assert.Eventually(t, func() bool { return served.stream.bytesWritten.Load() > 0 }, testTimeout, time.Millisecond)
	began := time.Now()
	s.lifecycle.Stop(began)
	s.CloseAllAfter(50 * time.Millisecond)
	stop()
	assert.NoError(t, receive(t, ended))
	assert.Less(t, time.Since(began), responseWriteTimeout-time.Second)
}

func TestServerStopsDespiteAClientThatSendsWithoutEnd(t *testing.T) {
	s, _, stop, ended := startGatedServer(t)
	c, r := connect(t, s)
	go io.Copy(io.Discard, r)
	sending := make(chan struct{})
	go func() {
		defer close(sending)
		for {
			if _, err := io.WriteString(c, strings.Repeat(echoRequest, 100)); err != nil {
				return
			}
		}
	}()
	s.lifecycle.Stop(time.Now())
	s.CloseAllAfter(200 * time.Millisecond)
	stop()
	assert.NoError(t, receive(t, ended))
	receive(t, sending)
}
