package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

func TestInvocationsThatCannotBeTakenAreAnswered(t *testing.T) {
	r := routerTo("127.0.0.1:1")
	assert.Equal(t, 400, r.Serve(context.Background(), invocation("unheard-of"), nil, time.Now()).Status)
	assert.Equal(t, 400, r.Serve(context.Background(), &protocol.Head{Method: "POST"}, nil, time.Now()).Status)
	assert.Equal(t, 400, r.Serve(context.Background(), invocation("keyed"), nil, time.Now()).Status, "no key")
	r.now.Load().customers["o"] = 0
	assert.Equal(t, 400, r.Serve(context.Background(), invocation("idem"), nil, time.Now()).Status, "no owner")
	assert.Equal(t, int64(0), r.counts.Taken.Load())
	assert.Equal(t, int64(4), r.counts.Malformed.Load())
}

// Guards against a client that sends the id of another one's open invocation: workers go by the id alone.
func TestIdThatIsOpenIsRefusedAndTheFirstGoesOn(t *testing.T) {
	var r *Proxy
	second := 0
	r = routerTo(standIn(t, func(c net.Conn, _ *http.Request) {
		second = r.Serve(context.Background(), invocation("idem"), nil, time.Now()).Status
		io.WriteString(c, chunked(done)+last)
	}))
	for range 2 { // an id that is no longer open is taken
		a := r.Serve(context.Background(), invocation("idem"), nil, time.Now())
		assert.Equal(t, []int{200, 409}, []int{a.Status, second})
		assert.NoError(t, r.forwards.Wait())
	}
}

func TestPathsAndMethods(t *testing.T) {
	r := routerTo("127.0.0.1:1")
	for target, want := range map[string]int{"/": 404, "/api/x": 404, "/_health?x": 405} {
		assert.Equal(t, want, r.Check(&protocol.Head{Method: "POST", Target: target}).Status, target)
	}
	assert.Nil(t, r.Check(&protocol.Head{Method: "POST", Target: "/api?x=1"}))
	assert.Equal(t, &protocol.Response{Status: 405, Allow: "POST"}, r.Check(&protocol.Head{
		Method: "PUT",
		Target: "/api",
	}))
}

func TestHealthIsGoodOnlyWhenReady(t *testing.T) {
	r, h := routerTo("127.0.0.1:1"), &protocol.Head{Method: "GET", Target: "/_health"}
	assert.Equal(t, 503, r.Check(h).Status, "a list from before the start, and no call for it has ended")
	r.settled.Store(true)
	assert.Equal(t, 200, r.Check(h).Status)
	r.fleet.take(&protocol.EndpointList{Complete: true})
	assert.Equal(t, 503, r.Check(h).Status, "there is no worker")
	r.fleet.take(&protocol.EndpointList{Endpoints: []protocol.Endpoint{{ID: "w", State: protocol.Ready}}})
	r.drain.Stop(time.Now())
	assert.Equal(t, 503, r.Check(h).Status, "it drains")
}

// Guards against work that is begun in the last seconds, cut off, and then may not be sent away any more; and
// against clients that are sent away while there is nowhere else to go.
func TestDispatcherThatDrainsServesWhatItCanStillFinish(t *testing.T) {
	r := routerTo(standIn(t, says(chunked(done)+last, false)))
	r.now.Load().comeBackMost = 2 * time.Second
	r.drain.Stop(time.Now())
	r.StopWithin(2 * time.Second)
	h, _, err := protocol.ParseRequestHead([]byte("POST /api HTTP/1.1\r\nReq-Id: a2\r\nReq-Kind: once\r\n" +
		"Req-Cost: 1500000\r\n\r\n"))
	assert.NoError(t, err)
	a := r.Serve(context.Background(), &h, nil, time.Now())
	assert.Equal(t, &protocol.Response{Status: 503, RetryAfter: 2 * time.Second}, a)
	a = r.Serve(context.Background(), invocation("once"), nil, time.Now())
	assert.Equal(t, 200, a.Status)
}

func TestClientThatLeavesGetsNoAnswer(t *testing.T) {
	for _, operation := range []string{"idem", "once"} { // also where it may have run
		ctx, leave := context.WithCancel(context.Background())
		r := routerTo(standIn(t, func(c net.Conn, _ *http.Request) {
			leave()
			c.Read(make([]byte, 1))
		}))
		assert.Nil(t, r.Serve(ctx, invocation(operation), nil, time.Now()))
		assert.NoError(t, r.forwards.Wait())
		assert.Equal(t, 0, r.facade.OpenRequests())
		assert.Equal(t, int64(1), r.counts.Sent.Load(), "it is not sent again")
	}
}

func TestWorkerThatBreaksEndsANonIdempotentInvocationAsErrored(t *testing.T) {
	r := routerTo(standIn(t, says("", true)))
	assert.Equal(t, 502, r.Serve(context.Background(), invocation("once"), nil, time.Now()).Status)
}

func TestWorkerThatDeclinesLetsANonIdempotentInvocationBeThrottled(t *testing.T) {
	r := routerTo(standIn(t, says("HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", false)))
	assert.Equal(t, 429, r.Serve(context.Background(), invocation("once"), nil, time.Now()).Status)
}

func TestNumberOfAWorkerIsTiedToItsNameInTheLog(t *testing.T) {
	var log bytes.Buffer
	r := routerTo("127.0.0.1:1")
	r.fleet.log = zerolog.New(&log)
	v := protocol.Endpoint{ID: "v", Address: "127.0.0.1:2", State: protocol.Ready}
	r.fleet.take(&protocol.EndpointList{Endpoints: []protocol.Endpoint{v}})
	r.fleet.take(&protocol.EndpointList{Endpoints: []protocol.Endpoint{v}})
	line := `{"level":"info","worker":1,"host":"v","addr":"127.0.0.1:2","message":"worker named"}`
	assert.JSONEq(t, line, log.String(), "once")
}

func TestListNamesConnectionsOfNoMoreUse(t *testing.T) {
	r := routerTo("127.0.0.1:1")
	take := func(whole bool, e ...protocol.Endpoint) []string {
		_, old := r.fleet.take(&protocol.EndpointList{Version: 8, Complete: whole, Endpoints: e})
		addresses := []string{}
		for _, o := range old {
			addresses = append(addresses, o.address)
		}
		return addresses
	}
	w := protocol.Endpoint{ID: "w", Address: "127.0.0.1:1", State: protocol.Ready}
	assert.Empty(t, take(false, w), "nothing has changed")
	w.StartedAtMillis = 1000
	assert.Equal(t, []string{"127.0.0.1:1"}, take(false, w), "it has restarted")
	w.Address = "127.0.0.1:2"
	assert.Equal(t, []string{"127.0.0.1:1"}, take(false, w), "it has moved")
	assert.Equal(t, "127.0.0.1:2", r.fleet.address(0))
	w.State = protocol.Terminating
	assert.Equal(t, []string{"127.0.0.1:2"}, take(false, w), "it drains")
	assert.Equal(t, []string{"127.0.0.1:2"}, take(true), "it is listed no more")
	assert.Empty(t, take(true))
	assert.Equal(t, int64(8), r.fleet.listVersion())
}

// Guards against a machine that vanishes and comes back: what it had taken is gone, and nobody says so.
func TestForwardToAProcessThatHasSinceRestartedIsReset(t *testing.T) {
	taken := make(chan bool, 1)
	r := routerTo(standIn(t, func(c net.Conn, _ *http.Request) {
		taken <- true
		c.Read(make([]byte, 1))
	}))
	go func() {
		<-taken
		line := fmt.Sprintf(`{"seq":9,"whole":false,"hosts":[{"host":"w","health":"Ready","born_ms":%d}]}`,
			time.Now().Add(time.Second).UnixMilli())
		assert.NoError(t, r.takeList([]byte(line)))
	}()
	assert.Equal(t, 502, r.Serve(context.Background(), invocation("once"), nil, time.Now()).Status)
	assert.Equal(t, int64(1), r.counts.outcomes[balancer.ConnectionReset].Load())
}

// Guards against two zones taken for one: a dedup group would be too large.
func TestZonesThatTheSettingsDoNotNameAreUnlikeAllOthers(t *testing.T) {
	r := routerTo("127.0.0.1:1")
	r.fleet.zones = numbered([]string{"a"})
	entries, _ := r.fleet.take(&protocol.EndpointList{Endpoints: []protocol.Endpoint{
		{ID: "1", Zone: "a", State: protocol.Ready},
		{ID: "2", Zone: "x", State: protocol.Ready},
		{ID: "3", Zone: "y", State: protocol.Ready},
	}})
	assert.NotEqual(t, entries[0].Zone, entries[1].Zone)
	assert.NotEqual(t, entries[1].Zone, entries[2].Zone)
}

func TestDatagramsThatAreDroppedAndCounted(t *testing.T) {
	r := routerTo("127.0.0.1:1")
	peer := r.terms.Peers[1]
	news := func(at uint16) []byte {
		return protocol.AppendLoads(nil, at, protocol.NoInstance, []protocol.Load{{Tag: protocol.Tag("w"), InFlight: 3}})
	}
	r.hear(peer, news(5))
	r.hear(peer, news(65530)) // sent before, by a clock that has gone round
	r.hear(peer, news(6))
	r.hear(peer, news(40000)) // far off: it has started again
	r.hear(peer, []byte("abc"))
	r.hear(netip.MustParseAddrPort("127.0.0.9:7001"), news(7))
	r.hear(r.terms.Peers[0], news(7)) // our own address
	c := &r.counts
	assert.Equal(t, []int64{3, 1, 1, 2}, []int64{
		c.DatagramsHeard.Load(), c.Overtaken.Load(),
		c.DatagramsBroken.Load(), c.Strangers.Load(),
	})
}

func TestDispatcherGreetsItsPeersAsItStarts(t *testing.T) {
	r := routerTo("127.0.0.1:1")
	peer, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NoError(t, err)
	defer peer.Close()
	r.terms.Peers[1] = peer.LocalAddr().(*net.UDPAddr).AddrPort()
	r.datagrams, err = transport.ListenDatagrams(netip.MustParseAddrPort("127.0.0.1:0"), nil, false)
	assert.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = r.tell(ctx, 0) }()
	defer cancel()
	b := make([]byte, 256)
	assert.NoError(t, peer.SetReadDeadline(time.Now().Add(5*time.Second)))
	n, err := peer.Read(b)
	assert.NoError(t, err)
	_, _, loads, err := protocol.ParseLoads(b[:n])
	assert.NoError(t, err)
	assert.Empty(t, loads)
	r.facade.ReceiveLoad(1, balancer.Load{Worker: 0, InFlight: 8})
	r.hear(r.terms.Peers[1], b[:n])
	a := r.Serve(context.Background(), invocation("idem"), nil, time.Now())
	assert.NotZero(t, r.counts.outcomes[balancer.ConnectionRefused].Load(), "the worker is not taken to be full", a)
}

// Guards against two that restart at once, each of which takes the other for one that has lived on.
func TestGreetingIsAnsweredByOneAsLongAsNobodyOlderIsMet(t *testing.T) {
	r := routerTo("127.0.0.1:1")
	peer, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NoError(t, err)
	defer peer.Close()
	r.terms.Peers[1] = peer.LocalAddr().(*net.UDPAddr).AddrPort()
	r.datagrams, err = transport.ListenDatagrams(netip.MustParseAddrPort("127.0.0.1:0"), nil, false)
	assert.NoError(t, err)
	stamp := func(ms int) uint16 { return uint16(time.Now().UnixMilli() + int64(ms)) }
	for n := range 3 {
		r.hear(r.terms.Peers[1], protocol.AppendLoads(nil, stamp(n), protocol.NoInstance, nil))
	}
	assert.EqualValues(t, 1, r.counts.DatagramsSent.Load(), "once, so that two do not go on for ever")
	r.greeted[1] = time.Time{}
	r.facade.ReceiveLoad(2, balancer.Load{Worker: 0, InFlight: 1})
	r.hear(r.terms.Peers[1], protocol.AppendLoads(nil, stamp(4), protocol.NoInstance, nil))
	assert.EqualValues(t, 1, r.counts.DatagramsSent.Load(), "it has met one who has lived longer")
}

// watched makes one call to a list service that answers with text, and returns how it ended.
func watched(t *testing.T, text string, ends bool) (*Proxy, string) {
	asked := make(chan string, 1)
	r := routerTo("127.0.0.1:1")
	r.place.address = standIn(t, func(c net.Conn, q *http.Request) {
		asked <- q.URL.String()
		says(text, ends)(c, q)
	})
	_, err := r.watch(context.Background(), nil)
	assert.Equal(t, "/catalog/members?stream=1&index=7", <-asked)
	return r, err.Error()
}

func TestWatchTakesLinesUntilItEnds(t *testing.T) {
	r, err := watched(t,
		chunked(`{"seq":9,"whole":false,"hosts":[{"host":"v","dial":"127.0.0.1:2","health":"Ready"}]}`, "")+last,
		false)
	assert.Contains(t, err, "has ended")
	assert.Equal(t, int64(9), r.fleet.listVersion())
	assert.Equal(t, "127.0.0.1:2", r.fleet.address(1))
	assert.True(t, r.settled.Load())
}

// Guards against calls that come again soon to a service that has too many, and against waits after one that is down.
func TestCallThatWasTurnedAwayAfterAWaitIsToldFromOthers(t *testing.T) {
	for wait, busy := range map[time.Duration]bool{0: false, busyAfter + 50*time.Millisecond: true} {
		r := routerTo("127.0.0.1:1")
		r.place.address = standIn(t, func(c net.Conn, _ *http.Request) {
			time.Sleep(wait)
			io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
		})
		answered, err := r.watch(context.Background(), nil)
		assert.False(t, answered)
		assert.ErrorContains(t, err, "status 503")
		assert.Equal(t, busy, listEnd(answered, err) == balancer.WatchRejected, "after %v", wait)
	}
}

func TestWatchesThatFail(t *testing.T) {
	for text, want := range map[string]string{
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n": "status 503", chunked(`{"seq":x}`): "malformed",
		chunked(`{"seq":`): "within a message", "": "EOF", // it may be indented: the rest is still to come
		chunked("") + "1": "within a message",
	} {
		r, err := watched(t, text, true)
		assert.Contains(t, err, want)
		assert.Equal(t, int64(7), r.fleet.listVersion())
	}
}

// Guards against a drain that is seen too late since the watch that told of it was cut.
func TestWatchThatIsCutLeavesWhatItToldWhole(t *testing.T) {
	r, err := watched(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n"+
		`{"seq":9,"whole":true,"hosts":[{"host":"w","health":"Terminating"},`+
		`{"host":"v","dial":"127.0.0.1:2","hea`, true)
	assert.Contains(t, err, "within a message")
	assert.Equal(t, int64(7), r.fleet.listVersion(), "the next watch tells all of it again")
	assert.Equal(t, protocol.Terminating, r.fleet.workers[0].entry.State)
	assert.Len(t, r.fleet.workers, 1, "nothing is taken of what is not whole")
	r, err = watched(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n"+
		`{"seq":9,"whole":true,"hosts":[{"host":"w","health":"Terminating"},{"ho`, false)
	assert.Contains(t, err, "timeout", "one that stalls half-way through a list is given up")
	assert.Equal(t, protocol.Terminating, r.fleet.workers[0].entry.State)
	assert.Equal(t, int64(7), r.fleet.listVersion())
}

func TestSilentWatchIsGivenUp(t *testing.T) {
	began := time.Now()
	_, err := watched(t, chunked(`{"seq":9,"whole":false,"hosts":[]}`), false)
	assert.Contains(t, err, "timeout")
	assert.InDelta(t, silentAfter.Seconds(), time.Since(began).Seconds(), 1)
}
