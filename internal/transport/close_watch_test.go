package transport

import (
	"errors"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/lifecycle"
	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
)

// maxDetectionTime is the maximum time to detect a client's close. After this time, nothing may be sent to a worker for
// the client.
const maxDetectionTime = 100 * time.Millisecond

// watchClose watches a connection until the test ends, and returns a channel that receives the cause of its close.
func watchClose(t *testing.T, conn *Conn) <-chan error {
	t.Helper()
	closed := make(chan error, 1)
	stop := conn.WatchForClose(func(err error) { closed <- err })
	t.Cleanup(stop)
	return closed
}

// readInterims reads count interim responses.
func readInterims(t *testing.T, peer net.Conn, count int) {
	t.Helper()
	want := strings.Repeat(protocol.Continue, count)
	got := make([]byte, len(want))
	assert.NoError(t, peer.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err := io.ReadFull(peer, got)
	assert.NoError(t, err)
	assert.Equal(t, want, string(got))
}

func TestCloseWatchReportsThatThePeerClosed(t *testing.T) {
	conn, peer, _ := connPair(t)
	closed := make(chan error, 1)
	stop := conn.WatchForClose(func(err error) { closed <- err })
	peer.Close()
	assert.ErrorIs(t, <-closed, io.EOF)
	stop()
}

func TestCloseWatchBuffersEarlyDataAndStops(t *testing.T) {
	conn, peer, _ := connPair(t)
	stop := conn.WatchForClose(func(err error) { t.Error("closed:", err) })
	io.WriteString(peer, "GET / HTTP/1.1\r\n\r\n")
	assert.Eventually(t, func() bool { return conn.stream.bytesRead.Load() > 0 }, testTimeout, time.Millisecond)
	stop()
	head, err := conn.ReadRequestHead(nil)
	assert.NoError(t, err)
	assert.Equal(t, "GET", head.Method)
}

func TestCloseAfterUnreadDataIsDetected(t *testing.T) {
	conn, peer, _ := connPair(t)
	conn.acceptsInterim = true
	_, err := peer.Write(make([]byte, 3*readBufferBytes))
	assert.NoError(t, err)
	closed := watchClose(t, conn)
	peer.Close()
	assert.Error(t, peertest.Receive(t, closed))
}

func TestCloseAfterMoreDataThanTheKernelBuffersIsDetected(t *testing.T) {
	conn, peer, _ := connPair(t)
	conn.acceptsInterim = true
	go func() {
		_, _ = peer.Write(make([]byte, 8<<20)) // blocks until the peer is closed
	}()
	closed := watchClose(t, conn)
	readInterims(t, peer, 2)
	assert.Empty(t, closed, "no close is reported while the peer reads")
	peer.Close()
	assert.Error(t, peertest.Receive(t, closed))
}

// Interim responses must not be sent to an HTTP/1.0 client, so the close has to be detected without probing.
func TestCloseAfterUnreadDataOfAnHTTP10ClientIsDetected(t *testing.T) {
	conn, peer, _ := connPair(t)
	_, err := peer.Write(make([]byte, 3*readBufferBytes))
	assert.NoError(t, err)
	closed := watchClose(t, conn)
	peer.Close()
	assert.ErrorIs(t, peertest.Receive(t, closed), errClosedAfterUnreadData)
}

// The reset of a client may be delayed. A client that has half-closed its connection first sends a reset only when it
// receives data after the full close.
func TestCloseAfterHalfCloseIsDetectedInTime(t *testing.T) {
	conn, peer, _ := connPair(t)
	conn.acceptsInterim = true
	closed := watchClose(t, conn)
	assert.NoError(t, peer.CloseWrite())
	readInterims(t, peer, 3) // two probes have shown that the peer still reads
	assert.Empty(t, closed)
	peer.Close()
	closedAt := time.Now()
	assert.ErrorIs(t, peertest.Receive(t, closed), io.EOF)
	assert.Less(t, time.Since(closedAt), maxDetectionTime)
}

// A close must be detected in time regardless of its time between two probes and of the data sent before it.
func TestCloseIsDetectedInTimeAtAnyPointBetweenProbes(t *testing.T) {
	for _, tt := range []struct {
		name        string
		beforeClose func(peer *net.TCPConn) error
	}{
		{"close at once", func(*net.TCPConn) error { return nil }},
		{"half-close first", (*net.TCPConn).CloseWrite},
		{"more data sent than is buffered", func(peer *net.TCPConn) error {
			_, err := peer.Write(make([]byte, 3*readBufferBytes))
			return err
		}},
		{"reset with data sent before", func(peer *net.TCPConn) error {
			_, err := peer.Write(make([]byte, 64))
			return errors.Join(err, peer.SetLinger(0))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			const steps = 24
			late := 0
			for step := range steps {
				conn, peer, _ := connPair(t)
				conn.acceptsInterim = true
				closed := watchClose(t, conn)
				assert.NoError(t, tt.beforeClose(peer))
				time.Sleep(time.Duration(step) * pollsPerProbe * closePollInterval / steps)
				peer.Close()
				closedAt := time.Now()
				assert.Error(t, peertest.Receive(t, closed))
				if time.Since(closedAt) > maxDetectionTime {
					late++
				}
			}
			assert.Less(t, late, 3, "up to two may be late because of scheduling delays")
		})
	}
}

// A client may time out while its connection waits in the listener's queue, for example because the process has no free
// descriptors. Its request must not be served. A client that has only half-closed its connection gets a response.
func TestRequestOfAClientThatClosedWhileQueuedIsNotServed(t *testing.T) {
	handler := newGatedHandler()
	server := newTestServer(listenLoopback(t), 4, handler)
	closed, _ := connect(t, server)
	io.WriteString(closed, gatedRequest)
	halfClosed, reader := connect(t, server)
	io.WriteString(halfClosed, gatedRequest)
	assert.NoError(t, halfClosed.(*net.TCPConn).CloseWrite())
	assert.NoError(t, closed.Close())
	time.Sleep(2 * queuedThreshold)
	stop, ended := runServer(server)
	peertest.Receive(t, handler.requested)
	handler.release <- &protocol.Response{Status: 200}
	assert.Equal(t, 200, readFinalResponse(t, reader).status)
	assert.Eventually(t, func() bool { return server.OpenConnections() == 0 }, testTimeout, time.Millisecond)
	assert.Empty(t, handler.requested, "the request on the closed connection is not served")
	stop()
	assert.NoError(t, peertest.Receive(t, ended))
}

// A client may close its connection while its later requests are unread, behind one that is answered without a worker.
// It may also have sent so much that the kernel has not received the close yet. None of its requests may be served.
func TestRequestsOfAClientThatClosedWhileTheyWereUnreadAreNotServed(t *testing.T) {
	const rejectedRequest = "POST /none HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
	const moreThanTheKernelBuffers = 8 << 20 // bytes
	for name, text := range map[string]string{
		"behind another request": rejectedRequest + gatedRequest,
		"behind many others":     strings.Repeat(rejectedRequest, 1000) + gatedRequest,
		"much data behind it":    gatedRequest + strings.Repeat("x", moreThanTheKernelBuffers),
		"much data behind a later one": rejectedRequest + gatedRequest +
			strings.Repeat("x", moreThanTheKernelBuffers),
	} {
		t.Run(name, func(t *testing.T) { assertNothingServedAfterClose(t, text) })
	}
}

// assertNothingServedAfterClose lets clients send a text and close their connections, before a server accepts them.
func assertNothingServedAfterClose(t *testing.T, text string) {
	t.Helper()
	const clients = 20
	handler := newGatedHandler()
	server := newTestServer(listenLoopback(t), clients, handler)
	for range clients {
		closed, _ := connect(t, server)
		closed.SetWriteDeadline(time.Now().Add(queuedThreshold / 10))
		_, _ = io.WriteString(closed, text) // an error if the buffers are full
		assert.NoError(t, closed.Close())
	}
	time.Sleep(2 * queuedThreshold)
	stop, ended := runServer(server)
	assert.Never(t, func() bool { return len(handler.requested) > 0 }, 5*resetTimeout, time.Millisecond)
	for range len(handler.requested) {
		handler.release <- &protocol.Response{Status: 200}
	}
	assert.Eventually(t, func() bool { return server.OpenConnections() == 0 }, testTimeout, time.Millisecond)
	stop()
	assert.NoError(t, peertest.Receive(t, ended))
}

// Where the system can't tell the state of a socket, no client may be taken for one that has left.
func TestSocketWithoutTCPStateIsNotTakenForClosed(t *testing.T) {
	ln, err := net.Listen("unix", filepath.Join(t.TempDir(), "socket"))
	assert.NoError(t, err)
	defer ln.Close()
	client, err := net.Dial("unix", ln.Addr().String())
	assert.NoError(t, err)
	defer client.Close()
	accepted, err := ln.Accept()
	assert.NoError(t, err)
	conn := newConn(accepted, Client, "c", zerolog.Nop(), nil)
	defer conn.CloseFor(Stopping, nil)
	assert.False(t, conn.closedWhileUnwatched())
}

func TestDeadlineThatPassesAsARequestCompletesDoesNotEndTheCloseWatch(t *testing.T) {
	conn, peer, _ := connPair(t)
	limiter := newClientLimiter(4, &lifecycle.State{})
	limiter.acquire(conn)
	limiter.mu.Lock()
	assert.True(t, limiter.evictOne())
	limiter.mu.Unlock()
	conn.setReadDeadline(pastDeadline)
	limiter.markServing(conn)
	limiter.mu.Lock()
	assert.False(t, limiter.evictOne(), "a connection is not evicted while its request is served")
	limiter.mu.Unlock()
	limiter.shortenDeadlines()
	closed := watchClose(t, conn)
	peer.Close()
	assert.ErrorIs(t, peertest.Receive(t, closed), io.EOF)
}
