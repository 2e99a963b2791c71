package transport

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDatagramOverTheLimitIsNotSent(t *testing.T) {
	socket, err := ListenDatagrams(netip.MustParseAddrPort("127.0.0.1:0"), ListenOptions{})
	assert.NoError(t, err)
	to := socket.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	ctx, cancel := context.WithCancel(context.Background())
	received, ended := make(chan int, 2), make(chan error)
	go func() { ended <- socket.Run(ctx, func(_ netip.AddrPort, payload []byte) { received <- len(payload) }) }()
	assert.ErrorIs(t, socket.Send(to, make([]byte, 257)), ErrDatagramTooLong)
	assert.NoError(t, socket.Send(to, make([]byte, 256)))
	assert.Equal(t, 256, <-received)
	cancel()
	assert.NoError(t, <-ended)
}
