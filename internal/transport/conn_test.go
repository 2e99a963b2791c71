package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/protocol"
)

// connPair is a connection under test and the other end of it, on loopback.
func connPair(t *testing.T) (*Conn, *net.TCPConn, *bytes.Buffer) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer ln.Close()
	other, err := net.Dial("tcp", ln.Addr().String())
	assert.NoError(t, err)
	nc, err := ln.Accept()
	assert.NoError(t, err)
	log := &bytes.Buffer{}
	c := newConn(nc, Worker, "w", zerolog.New(log), nil)
	t.Cleanup(func() { c.CloseFor(Stopping, nil); other.Close() })
	return c, other.(*net.TCPConn), log
}

func TestRingHandsOutWhatRunsOverItsEndInOnePiece(t *testing.T) {
	r := NewRing(8)
	assert.Equal(t, 6, r.Write([]byte("abcdef")))
	r.Discard(4)
	assert.Equal(t, 6, r.Write([]byte("ghijklmn")), "no more than fits")
	assert.True(t, r.Full())
	assert.Equal(t, "efghijkl", string(r.Bytes()))
	var out bytes.Buffer
	r.Discard(1)
	assert.Equal(t, 1, r.Write([]byte("m")))
	assert.NoError(t, r.Drain(&out))
	assert.Equal(t, "fghijklm", out.String())
	_, err := r.Fill(strings.NewReader("xyz"))
	assert.NoError(t, err)
	assert.Equal(t, "xyz", string(r.Bytes()))
}

func TestAnswerThatComesInPieces(t *testing.T) {
	c, other, _ := connPair(t)
	go func() {
		text := "HTTP/1.1 103 Early\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
		for n := range len(text) {
			io.WriteString(other, text[n:n+1])
		}
	}()
	c.SetTimeout(5 * time.Second)
	h, err := c.ReadResponseHead()
	assert.NoError(t, err)
	assert.Equal(t, 200, h.Status)
	b, err := protocol.ResponseBody(&h)
	assert.NoError(t, err)
	body, err := c.ReadBody(b, 10)
	assert.NoError(t, err)
	assert.Equal(t, "abc", string(body))
}

func TestBodyLargerThanAllowed(t *testing.T) {
	c, other, _ := connPair(t)
	go io.WriteString(other,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n4\r\nabcd\r\n0\r\n\r\n")
	c.SetTimeout(5 * time.Second)
	h, err := c.ReadResponseHead()
	assert.NoError(t, err)
	b, err := protocol.ResponseBody(&h)
	assert.NoError(t, err)
	_, err = c.ReadBody(b, 6)
	assert.ErrorIs(t, err, protocol.ErrTooLarge)
}

func TestEndWithinAMessageIsToldFromAnEndBetween(t *testing.T) {
	for text, want := range map[string]error{"": io.EOF, "HTTP/1.1 20": ErrTruncated} {
		c, other, _ := connPair(t)
		io.WriteString(other, text)
		other.Close()
		_, err := c.ReadResponseHead()
		assert.ErrorIs(t, err, want)
	}
	assert.Equal(t, []CloseReason{PeerClosed, PeerAborted, Malformed, TooSlow}, []CloseReason{
		CloseReasonOf(io.EOF),
		CloseReasonOf(ErrTruncated),
		CloseReasonOf(protocol.ErrMalformed), CloseReasonOf(context.DeadlineExceeded),
	})
}

func TestEachConnectionLeavesOneLogLine(t *testing.T) {
	c, _, log := connPair(t)
	c.CloseFor(WatchSilent, io.EOF)
	c.CloseFor(Stopping, nil)
	assert.Equal(t, 1, strings.Count(log.String(), "\n"))
	assert.Contains(t, log.String(), `"side":"worker","addr":"w","reason":"silent"`)
}

func TestAttendTellsWhenTheOtherSideLeaves(t *testing.T) {
	c, other, _ := connPair(t)
	left := make(chan error, 1)
	stop := c.WatchForClose(func(err error) { left <- err })
	other.Close()
	assert.ErrorIs(t, <-left, io.EOF)
	stop()
}

func TestAttendKeepsWhatComesEarlyAndThenStops(t *testing.T) {
	c, other, _ := connPair(t)
	stop := c.WatchForClose(func(err error) { t.Error("left:", err) })
	io.WriteString(other, "GET / HTTP/1.1\r\n\r\n")
	assert.Eventually(t, func() bool { return c.stream.bytesRead.Load() > 0 }, 5*time.Second, time.Millisecond)
	stop()
	h, err := c.ReadRequestHead(nil)
	assert.NoError(t, err)
	assert.Equal(t, "GET", h.Method)
}

func TestInterruptEndsAWait(t *testing.T) {
	c, _, _ := connPair(t)
	time.AfterFunc(10*time.Millisecond, c.Interrupt)
	_, err := c.ReadResponseHead()
	assert.Equal(t, TooSlow, CloseReasonOf(err))
}

func TestTooLongADatagramNeverLeaves(t *testing.T) {
	d, err := ListenDatagrams(netip.MustParseAddrPort("127.0.0.1:0"), nil, false)
	assert.NoError(t, err)
	to := d.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	ctx, cancel := context.WithCancel(context.Background())
	came, ended := make(chan int, 2), make(chan error)
	go func() { ended <- d.Run(ctx, func(_ netip.AddrPort, b []byte) { came <- len(b) }) }()
	assert.ErrorIs(t, d.Send(to, make([]byte, 257)), ErrDatagramTooLong)
	assert.NoError(t, d.Send(to, make([]byte, 256)))
	assert.Equal(t, 256, <-came)
	cancel()
	assert.NoError(t, <-ended)
}
