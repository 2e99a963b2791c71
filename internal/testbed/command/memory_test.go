package command

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// requestStart returns the start of a request that announces a body of maximum size. Its head has further fields.
func requestStart(id, fields string, bodyBytes int) string {
	const announced = 64 << 10
	return fmt.Sprintf("POST /api HTTP/1.1\r\nReq-Id: %s\r\nReq-Kind: a\r\nContent-Length: %d\r\n%s\r\n%s",
		id, announced, fields, strings.Repeat("b", bodyBytes))
}

// sendUnfinishedRequests keeps clients connected until stop is closed. Each sends a text, which is different for each
// connection, a chunk at a time with a pause after each, waits until its connection is closed, and connects again.
func (d *testDispatcher) sendUnfinishedRequests(clients, chunk int, pause time.Duration, text func(id string) string,
	stop <-chan struct{},
) (ended *sync.WaitGroup) {
	ended = &sync.WaitGroup{}
	for client := range clients {
		ended.Go(func() {
			for connection := 0; ; connection++ {
				select {
				case <-stop:
					return
				default:
				}
				if c, err := net.DialTimeout("tcp", d.listen, time.Second); err == nil {
					sendSlowly(c, text(fmt.Sprintf("u%d-%d", client, connection)), chunk, pause, stop)
				}
			}
		})
	}
	return ended
}

// sendSlowly sends a text, and closes the connection when the peer does or stop is closed.
func sendSlowly(c net.Conn, text string, chunk int, pause time.Duration, stop <-chan struct{}) {
	defer c.Close()
	closed := make(chan struct{})
	go func() {
		select {
		case <-stop:
			c.Close()
		case <-closed:
		}
	}()
	defer close(closed)
	for len(text) > 0 {
		n := min(chunk, len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(pause)
	}
	_, _ = io.Copy(io.Discard, c)
}

// Hundreds of clients that send requests slowly, stop before the end, or send heads of very many short fields, must not
// make a process exceed its memory limit, for which the platform kills it.
func TestUnfinishedRequestsStayWithinTheMemoryLimit(t *testing.T) {
	const (
		memoryMB = 32
		sockets  = 1024
		clients  = 320
		duration = 4 * time.Second
	)
	program := buildProgram(t)
	shortFields := strings.Repeat("a:\r\n", 1900) // a head of almost the maximum size
	for _, c := range []struct {
		name  string
		text  func(id string) string
		chunk int
		pause time.Duration
	}{
		{"without the end", func(id string) string { return requestStart(id, "", 64<<10-1) }, 128 << 10, 0},
		{"slow", func(id string) string { return requestStart(id, "", 64<<10-1) }, 1000, 20 * time.Millisecond},
		{"many fields", func(id string) string { return requestStart(id, shortFields, 0) }, 128 << 10, 0},
		{"many fields without the end", func(id string) string { return requestStart(id, shortFields, 64<<10-1) }, 128 << 10, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startSmallDispatcher(t, program, sockets, memoryMB)
			stop := make(chan struct{})
			ended := d.sendUnfinishedRequests(clients, c.chunk, c.pause, c.text, stop)
			time.Sleep(duration)
			peak := d.peakMemory(t)
			close(stop)
			ended.Wait()
			t.Logf("peak %.1f MB", float64(peak)/(1<<20))
			assert.LessOrEqual(t, peak, int64(memoryMB<<20))
		})
	}
}
