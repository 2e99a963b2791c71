package gossip

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/balancertest"
	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// singleWorker is an endpoint table with one worker, number 0.
type singleWorker struct{ id string }

func (s singleWorker) Tag(balancer.WorkerID) uint16 { return protocol.WorkerTag(s.id) }

func (s singleWorker) WorkerByTag(tag uint16) (balancer.WorkerID, bool) {
	return 0, tag == protocol.WorkerTag(s.id)
}

// newBalancer returns a balancer of two dispatchers with one worker and one operation.
func newBalancer() *balancer.Shards {
	config := balancertest.Config()
	config.Attempts.Cancellation = true
	shards := balancertest.NewShards(config)
	worker := balancer.Endpoint{Worker: 0, ID: "w", State: balancer.Healthy}
	shards.UpdateEndpoints([]balancer.Endpoint{worker}, balancer.AllEndpoints, balancer.NotFromDiscovery)
	return shards
}

// newExchange returns the exchange of dispatcher 0, without datagrams, and the address of dispatcher 1.
func newExchange() (*Exchange, netip.AddrPort) {
	peers := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7001"), netip.MustParseAddrPort("127.0.0.2:7001")}
	return New(Config{Peers: peers}, newBalancer(), singleWorker{"w"}, nil), peers[1]
}

// connectPeer opens sockets for an exchange and for dispatcher 1, and returns that of dispatcher 1.
func connectPeer(t *testing.T, e *Exchange) *net.UDPConn {
	t.Helper()
	peer, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NoError(t, err)
	t.Cleanup(func() { peer.Close() })
	e.config.Peers[1] = peer.LocalAddr().(*net.UDPAddr).AddrPort()
	e.datagrams, err = transport.ListenDatagrams(netip.MustParseAddrPort("127.0.0.1:0"), transport.ListenOptions{})
	assert.NoError(t, err)
	return peer
}

func hello(millis uint16) []byte {
	return protocol.AppendLoadDatagram(nil, millis, protocol.NoInstance, nil)
}

func TestDroppedDatagramsAreCounted(t *testing.T) {
	e, peer := newExchange()
	load := func(millis uint16) []byte {
		return protocol.AppendLoadDatagram(nil, millis, protocol.NoInstance, []protocol.Load{{Tag: protocol.WorkerTag("w"), InFlight: 3}})
	}
	e.receive(peer, load(5))
	e.receive(peer, load(65530)) // reordered, across the wrap of the timestamp
	e.receive(peer, load(6))
	e.receive(peer, load(40000)) // too old to be reordered: the peer has restarted
	e.receive(peer, []byte("abc"))
	e.receive(netip.MustParseAddrPort("127.0.0.9:7001"), load(7))
	e.receive(e.config.Peers[0], load(7)) // address of this dispatcher
	counters := &e.Counters
	assert.Equal(t, []int64{3, 1, 1, 2}, []int64{
		counters.Received.Load(), counters.Reordered.Load(), counters.Malformed.Load(), counters.UnknownSenders.Load(),
	})
}

// sendsAttemptWithin submits a request and reports whether the balancer sends it to a worker within the timeout.
func sendsAttemptWithin(t *testing.T, timeout time.Duration, shards *balancer.Shards) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	decision, err := shards.Submit(balancer.Arrival{Timeout: 2 * balancer.Second}).Pick(ctx)
	return err == nil && decision.Action == balancer.SendAttempt
}

func TestStartIsAnnouncedByHello(t *testing.T) {
	e, _ := newExchange()
	peer := connectPeer(t, e)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- e.Run(ctx) }()
	datagram := make([]byte, 256)
	assert.NoError(t, peer.SetReadDeadline(time.Now().Add(peertest.EventTimeout)))
	length, err := peer.Read(datagram)
	assert.NoError(t, err)
	hello, err := protocol.ParseLoadDatagram(datagram[:length])
	assert.NoError(t, err)
	assert.Empty(t, hello.Loads)
	cancel()
	assert.NoError(t, <-stopped)

	e.balancer.ReceiveLoad(1, balancer.WorkerLoad{Worker: 0, InFlight: 8})
	assert.False(t, sendsAttemptWithin(t, 50*time.Millisecond, e.balancer), "the peer's load fills the worker")
	e.receive(e.config.Peers[1], datagram[:length])
	assert.True(t, sendsAttemptWithin(t, peertest.EventTimeout, e.balancer), "a new peer has nothing in flight")
}

// Two dispatchers that restart at the same time must not each treat the other as an older one.
func TestRepliesToHellosEndWithLoadOfOlderPeer(t *testing.T) {
	e, _ := newExchange()
	connectPeer(t, e)
	peer := e.config.Peers[1]
	timestampIn := func(millis int64) uint16 { return uint16(time.Now().UnixMilli() + millis) }
	for millis := range int64(3) {
		e.receive(peer, hello(timestampIn(millis)))
	}
	assert.EqualValues(t, 1, e.Counters.Sent.Load(), "only one reply, so that replies do not continue forever")
	e.helloRepliedAt[1] = time.Time{}
	e.balancer.ReceiveLoad(2, balancer.WorkerLoad{Worker: 0, InFlight: 1})
	e.receive(peer, hello(timestampIn(4)))
	assert.EqualValues(t, 1, e.Counters.Sent.Load(), "no reply after load from an older peer")
}

func TestOnlyRecentDatagramsCountAsReordered(t *testing.T) {
	for name, test := range map[string]struct {
		latest timestamp
		millis uint16
		want   bool
	}{
		"first datagram":              {timestamp{}, 5, false},
		"same millisecond":            {timestamp{5, true}, 5, false},
		"later":                       {timestamp{5, true}, 6, false},
		"earlier":                     {timestamp{5, true}, 4, true},
		"earlier, across the wrap":    {timestamp{5, true}, 65530, true},
		"oldest that is reordered":    {timestamp{5000, true}, 5000 - maxReorderMillis + 1, true},
		"too old: the peer restarted": {timestamp{5000, true}, 5000 - maxReorderMillis, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.want, test.latest.isAfter(test.millis)) })
	}
}
