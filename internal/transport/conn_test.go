package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"golang.org/x/sys/unix"

	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
)

func TestConnectionLogsItsCloseOnce(t *testing.T) {
	conn, _, log := connPair(t)
	conn.CloseFor(WatchTimeout, io.EOF)
	conn.CloseFor(Stopping, nil)
	assert.Equal(t, 1, strings.Count(log.String(), "\n"))
	assert.Contains(t, log.String(), `"side":"worker","addr":"w","reason":"silent"`)
}

func TestConnectionThatCannotBeInspectedIsNotReused(t *testing.T) {
	pipe, peer := net.Pipe()
	defer peer.Close()
	conn := newConn(pipe, Client, "", zerolog.Nop(), nil)
	assert.True(t, conn.readable())
	assert.False(t, conn.hasUnreadData())
	_, err := conn.peekSocket()
	assert.True(t, errors.Is(err, errors.ErrUnsupported))
}

// Without TCP_NODELAY, a close that resets the connection can drop small writes that the kernel has delayed.
func TestNoDelayIsSetOnAllConnections(t *testing.T) {
	server, handler, _, _ := startGatedServer(t)
	client, _ := connect(t, server)
	io.WriteString(client, gatedRequest)
	assert.True(t, noDelay(t, peertest.Receive(t, handler.requested)), "client connection")
	handler.release <- &protocol.Response{Status: 200}
	addr, _ := startWorker(t)
	pool := NewPool(2, time.Minute, zerolog.Nop())
	toWorker := mustGet(t, pool, addr)
	assert.True(t, noDelay(t, toWorker), "worker connection")
	toDiscovery, err := Dial(context.Background(), addr, Discovery, zerolog.Nop())
	assert.NoError(t, err)
	assert.True(t, noDelay(t, toDiscovery), "discovery connection")
	file, err := toWorker.nc.(*net.TCPConn).File()
	assert.NoError(t, err)
	defer file.Close()
	migrated, err := net.FileConn(file)
	assert.NoError(t, err)
	assert.True(t, noDelay(t, pool.Import(migrated, addr, nil)), "migrated connection")
}

// noDelay reports whether TCP_NODELAY is set on a connection.
func noDelay(t *testing.T, conn *Conn) bool {
	t.Helper()
	value := 0
	var optionErr error
	err := withDescriptor(conn.Socket(), func(fd int) {
		value, optionErr = unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY)
	})
	assert.NoError(t, err)
	assert.NoError(t, optionErr)
	return value != 0
}
