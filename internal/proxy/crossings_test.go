package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/protocol"
	"canvasroute/internal/transport"
)

// Each test here forces one order of two things that seldom come in it (docs/crossings.md).

const soon = 5 * time.Second // bounds a wait that ends as soon as what it waits for is there

func within[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(soon):
		t.Fatal("it never comes")
	}
	return v
}

// serving runs an invocation of an operation, and tells its answer.
func serving(r *Proxy, ctx context.Context, operation string) <-chan *protocol.Response {
	answered := make(chan *protocol.Response, 1)
	go func() { answered <- r.Serve(ctx, invocation(operation), nil, time.Now()) }()
	return answered
}

// ended waits until no forward is out any more.
func ended(t *testing.T, r *Proxy) {
	t.Helper()
	over := make(chan error, 1)
	go func() { over <- r.forwards.Wait() }()
	assert.NoError(t, within(t, over))
}

// stubborn settings allow neither calling off nor copies.
func stubborn(d *balancer.Config, _ *Config) { d.Cancellation = false }

// counting is a worker that serves, and the number of forwards that reached it whole.
func counting(t *testing.T) (addr string, forwards *atomic.Int32) {
	forwards = &atomic.Int32{}
	return standIn(t, func(c net.Conn, _ *http.Request) {
		forwards.Add(1)
		io.WriteString(c, chunked(done)+last)
	}), forwards
}

func TestNothingIsSentOnForAClientThatLeftAsTheConnectionCameUp(t *testing.T) {
	for _, operation := range []string{"idem", "once"} {
		addr, forwards := counting(t)
		r := routerBy(addr, stubborn)
		ctx, leave := context.WithCancel(context.Background())
		var answered <-chan *protocol.Response
		set, came := make(chan bool), make(chan bool)
		r.beforeSent = func() { // the connection is there, the message is not
			<-set
			leave()
			assert.Nil(t, within(t, answered))
			close(came)
		}
		answered = serving(r, ctx, operation)
		close(set)
		within(t, came)
		ended(t, r)
		assert.Zero(t, forwards.Load())
		assert.Equal(t, []int64{0, 1}, []int64{r.counts.Sent.Load(), r.counts.outcomes[balancer.NotSent].Load()})
		assert.Zero(t, r.pool.OpenConnections(), "what was interrupted is not kept for another")
		assert.Equal(t, 0, r.facade.OpenRequests())
	}
}

// unready is an address at which connections do not come up: its queue is full.
func unready(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	raw, err := ln.(*net.TCPListener).SyscallConn()
	assert.NoError(t, err)
	assert.NoError(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	assert.NoError(t, err)
	for range 4 {
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 20*time.Millisecond)
		if err != nil {
			return ln.Addr().String()
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("its queue never fills")
	return ""
}

// dialing tells once a connection is being opened: it has its place.
func dialing(r *Proxy) func() bool { return func() bool { return r.pool.OpenConnections() == 1 } }

func TestForwardEndsAsItsClientLeavesWhateverItWaitsFor(t *testing.T) {
	late, busy := unready(t), unready(t)
	for name, begin := range map[string]func(*Proxy) (waits func() bool){
		"a connection that comes up late": dialing,
		"a place": func(r *Proxy) func() bool {
			r.pool = transport.NewPool(1, time.Minute, zerolog.Nop())
			held := make(chan error, 1)
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(func() {
				cancel()
				<-held //nolint:errcheck // only its end is waited for
			})
			go func() {
				_, err := r.pool.Get(ctx, busy, transport.AnyConnection)
				held <- err
			}()
			assert.Eventually(t, dialing(r), soon, time.Millisecond)
			return func() bool { return r.facade.OpenRequests() == 1 }
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := routerBy(late, func(d *balancer.Config, terms *Config) {
				stubborn(d, terms)
				terms.DialTimeout = time.Minute
			})
			waits := begin(r)
			ctx, leave := context.WithCancel(context.Background())
			answered := serving(r, ctx, "idem")
			assert.Eventually(t, waits, soon, time.Millisecond)
			leave()
			assert.Nil(t, within(t, answered))
			ended(t, r)
			assert.Zero(t, r.counts.Sent.Load())
		})
	}
}

// fakeRecovery keeps on a disk that is as slow as the test wants.
type fakeRecovery struct {
	keep   func() error
	before func()
	kept   atomic.Int32
}

func (b *fakeRecovery) Ready() error          { return nil }
func (b *fakeRecovery) EndpointsReceived()    {}
func (b *fakeRecovery) EndpointsUnavailable() {}
func (b *fakeRecovery) Admit(balancer.Arrival) (done func(bool), comeBack time.Duration, ok bool) {
	return func(bool) {}, 0, true
}

func (b *fakeRecovery) PriorExecution(string, string, bool) (*PriorExecution, error) {
	b.before()
	return nil, nil
}

func (b *fakeRecovery) PersistKey(context.Context, KeyRecord) error {
	b.kept.Add(1)
	return b.keep()
}

// scoped makes the last operation one whose repeats a zone alone drops: where it goes is kept on a disk.
func scoped(b *fakeRecovery) func(*balancer.Config, *Config) {
	return func(d *balancer.Config, terms *Config) {
		stubborn(d, terms)
		d.Operations[2].DedupScope, terms.Operations[2].DedupScope = balancer.ScopeZone, balancer.ScopeZone
		terms.Recovery = b
	}
}

// keyed is an invocation of the last operation.
func keyed() *protocol.Head {
	h, _, err := protocol.ParseRequestHead([]byte("POST /api HTTP/1.1\r\nReq-Id: a1\r\nReq-Kind: keyed\r\n" +
		"Idempotency-Key: k\r\n\r\n"))
	if err != nil {
		panic(err)
	}
	return &h
}

func TestNothingIsSentOnForAClientThatLeftWhileADiskWasSlow(t *testing.T) {
	addr, forwards := counting(t)
	ctx, leave := context.WithCancel(context.Background())
	answered, came := make(chan *protocol.Response, 1), make(chan bool)
	b := &fakeRecovery{before: func() {}, keep: func() error {
		leave()
		assert.Nil(t, within(t, answered))
		close(came)
		return nil // it is on disk, and too late
	}}
	r := routerBy(addr, scoped(b))
	go func() { answered <- r.Serve(ctx, keyed(), nil, time.Now()) }()
	within(t, came)
	ended(t, r)
	assert.Zero(t, forwards.Load())
	assert.EqualValues(t, 1, b.kept.Load())
}

// told takes one line of a list.
func told(t *testing.T, r *Proxy, of string) {
	assert.NoError(t, r.takeList([]byte(`{"seq":9,"whole":false,"hosts":[{"host":"w",`+of+`}]}`)))
}

// A list comes while the connection comes up, or an idle one is taken: a drain, a worker that has moved and
// whose address is another one's now.
func TestWhatAListTellsWhileAConnectionComesUpHolds(t *testing.T) {
	for name, of := range map[string]string{
		"drains": `"health":"Terminating"`,
		"gone":   `"health":"Gone"`,
		"moved":  `"health":"Ready","dial":"127.0.0.1:1"`,
	} {
		t.Run(name, func(t *testing.T) {
			addr, forwards := counting(t)
			r := routerTo(addr)
			assert.Equal(t, 200, within(t, serving(r, context.Background(), "idem")).Status)
			ended(t, r) // its connection is kept
			r.beforeSent = func() { told(t, r, of) }
			a := within(t, serving(r, context.Background(), "idem"))
			assert.NotEqual(t, 200, a.Status)
			ended(t, r)
			assert.EqualValues(t, 1, forwards.Load())
			assert.Zero(t, r.pool.OpenConnections(), "the connection is of no more use")
		})
	}
}

// However long an invocation has waited, and a connection was late: the first attempt and the next ones alike.
func TestTimeToldToAWorkerIsAtMostWhatIsLeftToTheClient(t *testing.T) {
	told, left := make(chan string, 4), make(chan time.Duration, 4)
	came := time.Now().Add(-500 * time.Millisecond)
	r := routerBy(standIn(t, func(c net.Conn, forward *http.Request) {
		told <- forward.Header.Get("Req-Deadline")
		text := "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
		if len(told) > 1 {
			text = chunked(done) + last
		}
		io.WriteString(c, text)
	}), func(d *balancer.Config, _ *Config) { d.MaxAttempts = 4 })
	r.beforeSent = func() {
		time.Sleep(50 * time.Millisecond)
		left <- time.Until(came.Add(2 * time.Second)) // its client waits for as long
	}
	answered := make(chan *protocol.Response, 1)
	go func() { answered <- r.Serve(context.Background(), invocation("idem"), nil, came) }()
	assert.Equal(t, 200, within(t, answered).Status)
	ended(t, r)
	assert.Len(t, told, 2)
	for range 2 {
		seconds, err := strconv.ParseFloat(within(t, told), 64)
		assert.NoError(t, err)
		const rounded = 0.001
		assert.LessOrEqual(t, seconds, within(t, left).Seconds()+rounded)
		assert.Positive(t, seconds)
	}
}

// repeating are settings by which the last operation may be sent again within a window, in one group.
func repeating(window balancer.Time) func(*balancer.Config, *Config) {
	return func(d *balancer.Config, terms *Config) {
		d.MaxAttempts, d.Operations[2].DedupWindow = 4, window
		d.Operations[2].DedupScope, terms.Operations[2].DedupScope = balancer.ScopeZone, balancer.ScopeZone
		terms.DialTimeout = time.Minute
	}
}

// A repeat is decided on within its retry window, which closes while the connection comes up.
func TestNothingIsSentAgainBehindItsRetryWindowAsTheConnectionCameUpLate(t *testing.T) {
	var forwards atomic.Int32
	const window = time.Second
	addr := standIn(t, func(c net.Conn, _ *http.Request) {
		forwards.Add(1)
		io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n") // it may have run
	})
	r := routerBy(addr, repeating(spanOf(window)))
	attempts := 0
	r.beforeSent = func() {
		if attempts++; attempts > 1 {
			time.Sleep(window)
		}
	}
	answered := make(chan *protocol.Response, 1)
	go func() { answered <- r.Serve(context.Background(), keyed(), nil, time.Now()) }()
	assert.Equal(t, 502, within(t, answered).Status)
	ended(t, r)
	assert.EqualValues(t, 1, forwards.Load(), "from then on its worker would run it a second time")
	assert.Greater(t, attempts, 1, "it was decided on")
	assert.EqualValues(t, 1, r.counts.outcomes[balancer.WorkerError].Load())
}

// A connection that comes up later than the settings wait for one counts as one that never does: nothing has run.
func TestConnectionThatComesUpTooLateIsGivenUp(t *testing.T) {
	r := routerBy(unready(t), func(_ *balancer.Config, terms *Config) { terms.DialTimeout = 20 * time.Millisecond })
	inv, err := protocol.ParseRequest(keyed())
	assert.NoError(t, err)
	f := &passage{r: r, ctx: context.Background(), inv: inv, now: r.now.Load(), until: time.Now().Add(time.Minute)}
	outcomes := make(chan balancer.Outcome, 1)
	go func() {
		how, _, _ := f.run(0)
		outcomes <- how
	}()
	assert.Equal(t, balancer.NoConnection, within(t, outcomes))
	assert.Zero(t, r.pool.OpenConnections(), "its place is free again")
}

// A connection that does not come up is waited for no longer than a repeat may be sent.
func TestWaitForAConnectionEndsWithTheRetryWindow(t *testing.T) {
	r := routerBy(unready(t), repeating(balancer.Second))
	inv, err := protocol.ParseRequest(keyed())
	assert.NoError(t, err)
	f := &passage{
		r: r, ctx: context.Background(), inv: inv, now: r.now.Load(), until: time.Now().Add(time.Minute),
		sendBy: time.Now().Add(50 * time.Millisecond),
	}
	outcomes := make(chan balancer.Outcome, 1)
	go func() {
		how, _, _ := f.run(0)
		outcomes <- how
	}()
	assert.Equal(t, balancer.NotSent, within(t, outcomes), "that says nothing of the worker")
	assert.Zero(t, r.pool.OpenConnections())
}

// As soon as the decisions know of a restart, held work goes to the worker: by then nothing is left that
// leads to the process before.
func TestNothingLeadsToTheProcessBeforeOnceTheDecisionsKnowOfItsEnd(t *testing.T) {
	addr, _ := counting(t)
	r := routerTo(addr)
	assert.Equal(t, 200, within(t, serving(r, context.Background(), "idem")).Status)
	ended(t, r)
	assert.Equal(t, 1, r.pool.OpenConnections())
	asked := false
	r.beforeListed = func() {
		asked = true
		assert.Zero(t, r.pool.OpenConnections())
	}
	told(t, r, fmt.Sprintf(`"health":"Ready","born_ms":%d`, time.Now().UnixMilli()))
	assert.True(t, asked)
}

// A worker whose process has ended is found out although its forward may be handed over, for which reading
// may be stopped and taken up again.
func TestForwardToAProcessThatHasEndedIsResetDuringAnUpgradeToo(t *testing.T) {
	taken := make(chan bool, 1)
	r := routerTo(standIn(t, func(c net.Conn, _ *http.Request) {
		taken <- true
		c.Read(make([]byte, 1))
	}))
	r.terms.MigratesRequests = true
	answered := serving(r, context.Background(), "once")
	within(t, taken)
	told(t, r, fmt.Sprintf(`"health":"Ready","born_ms":%d`, time.Now().Add(time.Second).UnixMilli()))
	assert.Equal(t, 502, within(t, answered).Status)
	assert.EqualValues(t, 1, r.counts.outcomes[balancer.ConnectionReset].Load(), "not by the client's time")
}

// Settings change between the decisions' taking them and the names' doing so; fewer customers are in the new
// ones.
func TestWhatLandsWhileSettingsChangeIsBookedOnItsOwnCustomer(t *testing.T) {
	addr, _ := counting(t)
	customers := func(names ...string) ([]balancer.TenantConfig, []string) {
		var terms []balancer.TenantConfig
		for _, name := range names {
			terms = append(terms, balancer.TenantConfig{Name: name, Quota: 1e9})
		}
		return terms, names
	}
	var d balancer.Config
	var terms Config
	r := routerBy(addr, func(first *balancer.Config, names *Config) {
		first.Tenants, names.Tenants = customers("a", "b", "c")
		d, terms = *first, *names
	})
	ask := func(owner string) int {
		h, _, err := protocol.ParseRequestHead([]byte("POST /api HTTP/1.1\r\nReq-Id: a1\r\nReq-Kind: idem\r\n" +
			"Req-Owner: " + owner + "\r\n\r\n"))
		assert.NoError(t, err)
		return r.Serve(context.Background(), &h, nil, time.Now()).Status
	}
	used := func() map[string]float64 {
		k, by := r.Learned(), map[string]float64{}
		for n, name := range k.Tenants {
			by[name] = k.Learned[0].Tenants[n].Usage
		}
		return by
	}
	r.beforeTold = func() {
		assert.Equal(t, 200, ask("b")) // its name is that of the old settings, and not answered by a fault
		assert.Equal(t, 200, ask("c"))
	}
	d.Tenants, terms.Tenants = customers("c")
	r.Reconfigure(terms, d)
	r.beforeTold = nil
	assert.Equal(t, []int{400, 200}, []int{ask("b"), ask("c")})
	assert.Greater(t, used()["c"], 1.9)
	assert.Less(t, used()["b"], 1.1)
	assert.Zero(t, used()["a"])
	d.Tenants, terms.Tenants = customers("d", "b", "a")
	r.Reconfigure(terms, d)
	assert.Equal(t, 200, ask("d"))
	u := used()
	assert.Equal(t, []bool{true, true, true}, []bool{u["c"] > 1.9, u["b"] < 1.1, u["d"] <= 1 && u["d"] > 0.9},
		"whatever the order: %v", u)
}

// Settings change while an invocation is on its way; its operation is not in the new ones.
func TestInvocationEndsUnderTheSettingsThatItCameUnder(t *testing.T) {
	addr, forwards := counting(t)
	var d balancer.Config
	var terms Config
	b := &fakeRecovery{keep: func() error { return nil }}
	r := routerBy(addr, func(first *balancer.Config, names *Config) {
		scoped(b)(first, names)
		d, terms = *first, *names
	})
	b.before = func() {
		d.Operations, terms.Operations = d.Operations[:1], terms.Operations[:1]
		r.Reconfigure(terms, d)
	}
	assert.Equal(t, 200, r.Serve(context.Background(), keyed(), nil, time.Now()).Status)
	assert.EqualValues(t, 1, b.kept.Load(), "it may run in its group alone: where it went is on disk")
	assert.EqualValues(t, 1, forwards.Load())
	assert.Equal(t, 400, r.Serve(context.Background(), keyed(), nil, time.Now()).Status)
}

// lists is a list service that answers each call with text, and leaves it open.
func lists(t *testing.T, text string) (addr string, asked <-chan bool) {
	calls := make(chan bool, 16)
	return standIn(t, func(c net.Conn, _ *http.Request) {
		calls <- true
		io.WriteString(c, text)
		io.Copy(io.Discard, c)
	}), calls
}

// following runs the parts of a router that follow the list.
func following(t *testing.T, r *Proxy) {
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 2)
	go func() { over <- r.follow(ctx) }()
	go func() { over <- r.facade.Run(ctx, 0) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, within(t, over))
		assert.NoError(t, within(t, over))
	})
}

// patient settings ask for a list that was lost after many seconds only.
func patient(d *balancer.Config, _ *Config) {
	d.PollEndpoints, d.MaxPollInterval = true, 1000*balancer.Second
}

// SIGHUP comes between the end of a watch and its report, twice, there and back: the new place is asked at
// once, and no watch goes on at the old one.
func TestMoveThatComesAsAWatchIsLostTakesHoldAtOnce(t *testing.T) {
	next, asked := lists(t, chunked(`{"seq":9,"whole":false,"hosts":[]}`))
	r := routerBy("127.0.0.1:1", patient)
	moved := make(chan bool)
	r.beforeLost = func() {
		r.beforeLost = nil
		go func() {
			r.SetDiscoveryAddress(next)
			r.SetDiscoveryAddress("127.0.0.1:1")
			r.SetDiscoveryAddress(next)
			close(moved)
		}()
		select {
		case <-moved: // it must not come between the two
		case <-time.After(50 * time.Millisecond):
		}
	}
	r.place.address = standIn(t, says("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", true))
	following(t, r)
	within(t, moved)
	within(t, asked)
	assert.Eventually(t, func() bool { return r.fleet.listVersion() == 9 }, soon, time.Millisecond)
}

// SIGHUP comes while a call to the old place is under way, and as its first line is taken.
func TestMoveTakesHoldWhateverIsUnderWay(t *testing.T) {
	line := chunked(`{"seq":8,"whole":false,"hosts":[]}`)
	for name, c := range map[string]struct {
		first string
		at    func(r *Proxy, move func())
	}{
		"within the call": {"HTTP/1.1 200 OK\r\nTransfer-", func(r *Proxy, move func()) {
			assert.Eventually(t, func() bool {
				r.place.mu.Lock()
				defer r.place.mu.Unlock()
				return r.place.leave != nil
			}, soon, time.Millisecond)
			move()
		}},
		"as a line is taken": {line, func(r *Proxy, move func()) {}},
	} {
		t.Run(name, func(t *testing.T) {
			old, _ := lists(t, c.first)
			next, asked := lists(t, chunked(`{"seq":9,"whole":false,"hosts":[]}`))
			r := routerBy("127.0.0.1:1", patient)
			r.place.address = old
			if c.first == line {
				r.beforeListed = func() {
					r.beforeListed = nil
					r.SetDiscoveryAddress(next)
				}
			}
			following(t, r)
			c.at(r, func() { r.SetDiscoveryAddress(next) })
			within(t, asked)
			assert.Eventually(t, func() bool { return r.fleet.listVersion() == 9 }, soon, time.Millisecond)
		})
	}
}

// Bytes that never make a line are no sign of life: what is missed counts as told 6 s after the last one.
func TestWatchThatDribblesIsGivenUpInTime(t *testing.T) {
	for name, first := range map[string]string{
		"from the start": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"after a line":   chunked(`{"seq":9,"whole":false,"hosts":[]}`),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := routerTo("127.0.0.1:1")
			r.place.address = standIn(t, func(c net.Conn, _ *http.Request) {
				io.WriteString(c, first)
				for range 100 {
					if _, err := io.WriteString(c, "1\r\n \r\n"); err != nil {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
			began := time.Now()
			_, err := r.watch(context.Background(), nil)
			assert.ErrorContains(t, err, "timeout")
			assert.Less(t, time.Since(began), 4500*time.Millisecond)
		})
	}
}

func TestListsMayComeIndented(t *testing.T) {
	r, err := watched(t, chunked("{\n  \"seq\": 9,\n  \"whole\": false,\n  \"hosts\": [\n\n    {\n"+
		"      \"host\": \"v\",\n      \"dial\": \"127.0.0.1:2\",\n      \"health\": \"Ready\"\n    }\n  ]\n}", "",
		`{"seq":10,"whole":false,"hosts":[{"host":"v","health":"Terminating"}]}`)+last, false)
	assert.Contains(t, err, "has ended")
	assert.Equal(t, int64(10), r.fleet.listVersion())
	assert.Equal(t, protocol.Terminating, r.fleet.workers[1].entry.State)
}

// A worker that hangs keeps no process: its client has left, and the settings allow no calling off.
func TestForwardsThatNobodyWaitsForDoNotKeepTheProcess(t *testing.T) {
	taken := make(chan bool, 1)
	r := routerBy(standIn(t, func(c net.Conn, _ *http.Request) {
		taken <- true
		c.Read(make([]byte, 1))
	}), stubborn)
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- r.Run(ctx) }()
	h, _, err := protocol.ParseRequestHead([]byte("POST /api HTTP/1.1\r\nReq-Id: a1\r\nReq-Kind: idem\r\n" +
		"Req-Deadline: 600\r\n\r\n"))
	assert.NoError(t, err)
	client, leave := context.WithCancel(context.Background())
	answered := make(chan *protocol.Response, 1)
	go func() { answered <- r.Serve(client, &h, nil, time.Now()) }()
	within(t, taken)
	known := func() bool { return r.counts.Sent.Load() == 1 } // that it was sent: before that it is held back
	assert.Eventually(t, known, soon, time.Millisecond)
	leave()
	assert.Nil(t, within(t, answered))
	assert.Equal(t, 1, r.facade.OpenRequests(), "it runs on")
	cancel()
	assert.NoError(t, within(t, over))
}

// Answers that never end hold nothing beyond their client's time.
func TestAnswersThatNeverEndHoldNothing(t *testing.T) {
	for name, c := range map[string]struct {
		head, again string
		status      int
	}{
		"interim heads":        {"", "HTTP/1.1 103 Early\r\n\r\n", 0},
		"empty lines":          {chunked(), "1\r\n\n\r\n", 0},
		"running":              {chunked(), chunk(`{"id":"a1","state":"running"}`), 0},
		"bytes":                {chunked(), "1\r\n \r\n", 0},
		"trailers after done":  {chunked(done) + "0\r\n", "A: b\r\n", 200},
		"chunks after done":    {chunked(done), "1\r\n\n\r\n", 200},
		"a body after a 500":   {"HTTP/1.1 500 No\r\nContent-Length: 9999999\r\n\r\n", "b", 0},
		"a body after refusal": {"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := routerTo(standIn(t, func(c2 net.Conn, _ *http.Request) {
				for _, err := io.WriteString(c2, c.head); err == nil; _, err = io.WriteString(c2, c.again) {
					time.Sleep(time.Millisecond)
				}
			}))
			h, _, err := protocol.ParseRequestHead([]byte("POST /api HTTP/1.1\r\nReq-Id: a1\r\nReq-Kind: once\r\n" +
				"Req-Deadline: 0.3\r\n\r\n"))
			assert.NoError(t, err)
			began := time.Now()
			a := r.Serve(context.Background(), &h, nil, began)
			if c.status != 0 {
				assert.Equal(t, c.status, a.Status)
			} else {
				assert.NotEqual(t, 200, a.Status)
			}
			assert.Less(t, time.Since(began), 800*time.Millisecond)
			ended(t, r)
			assert.Zero(t, r.pool.OpenConnections())
			assert.Equal(t, 0, r.facade.OpenRequests())
		})
	}
}

func chunk(line string) string { return fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line) }
