package network

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// openSockets opens UDP sockets on the loopback interface, and closes them at the end of the test.
func openSockets(t *testing.T, count int) (sockets []*net.UDPConn, listenAddrs []netip.AddrPort) {
	t.Helper()
	for range count {
		socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		assert.NoError(t, err)
		t.Cleanup(func() { socket.Close() })
		sockets = append(sockets, socket)
		listenAddrs = append(listenAddrs, socket.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return sockets, listenAddrs
}

func TestDatagramsArriveFromTheAddressOfTheirSender(t *testing.T) {
	sockets, listenAddrs := openSockets(t, 2)
	n, err := New(Peers, listenAddrs, Conditions{Delay: 20 * time.Millisecond}, PlatformDatagramBytes, 1)
	assert.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- n.Run(ctx) }()
	assert.Equal(t, listenAddrs[0], n.View(0)[0])
	send := func(text string) time.Time {
		_, err := sockets[0].WriteToUDPAddrPort([]byte(text), n.View(0)[1])
		assert.NoError(t, err)
		return time.Now()
	}
	receive := func(within time.Duration) (string, netip.AddrPort) {
		b := make([]byte, 512)
		sockets[1].SetReadDeadline(time.Now().Add(within))
		size, from, err := sockets[1].ReadFromUDPAddrPort(b)
		if err != nil {
			return "", from
		}
		return string(b[:size]), netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	}
	sent := send("hello")
	text, from := receive(2 * time.Second)
	assert.Equal(t, "hello", text)
	assert.Equal(t, n.View(1)[0], from)
	assert.GreaterOrEqual(t, time.Since(sent), 19*time.Millisecond)
	send(string(make([]byte, PlatformDatagramBytes+1)))
	n.SetConditions(Conditions{Partitioned: true})
	send("cut")
	time.Sleep(50 * time.Millisecond) // until the datagram has been read and discarded
	n.SetConditions(Conditions{})
	send("healed")
	text, _ = receive(2 * time.Second)
	assert.Equal(t, "healed", text)
	cancel()
	assert.NoError(t, <-done)
	assert.Equal(t, []int{2, 2}, []int{n.Forwarded, n.Discarded})
}

func TestLossIsDeterministicForASeed(t *testing.T) {
	draws := func(seed uint64) (arrivals []bool) {
		n, err := New(Peers, nil, Conditions{Loss: 0.5}, PlatformDatagramBytes, seed)
		assert.NoError(t, err)
		for range 64 {
			arrivals = append(arrivals, n.drawDelivery(10, 0, 1).isDelivered)
		}
		return arrivals
	}
	assert.Equal(t, draws(3), draws(3))
	assert.NotEqual(t, draws(3), draws(4))
	assert.Contains(t, draws(3), false)
}
