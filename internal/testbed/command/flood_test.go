package command

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// flood sends texts on one connection as fast as possible, without waiting for responses, until stop is closed. It
// connects again if the connection is closed. Each text has another number.
func (d *testDispatcher) flood(text func(n int) string, stop <-chan struct{}) (ended *sync.WaitGroup) {
	ended = &sync.WaitGroup{}
	ended.Go(func() {
		for n := 0; ; {
			select {
			case <-stop:
				return
			default:
			}
			c, err := net.DialTimeout("tcp", d.listen, time.Second)
			if err != nil {
				continue
			}
			n = floodConnection(c, text, n, stop)
		}
	})
	return ended
}

// floodConnection sends texts on a connection until it fails or stop is closed. It returns the next number.
func floodConnection(c net.Conn, text func(n int) string, n int, stop <-chan struct{}) int {
	const textsPerWrite = 64
	closed := make(chan struct{})
	defer close(closed)
	go func() {
		select {
		case <-stop:
		case <-closed:
		}
		c.Close()
	}()
	go func() { _, _ = io.Copy(io.Discard, c) }()
	for {
		var batch strings.Builder
		for range textsPerWrite {
			batch.WriteString(text(n))
			n++
		}
		if _, err := io.WriteString(c, batch.String()); err != nil {
			return n
		}
	}
}

// sendFromSeveralClients lets clients send a request every 20 ms each. It returns the number of responses with status
// 200, and a description of each other result.
func (d *testDispatcher) sendFromSeveralClients(duration time.Duration) (succeeded int64, others []string) {
	const clients, interval = 5, 20 * time.Millisecond
	var count atomic.Int64
	var mu sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(duration)
	for client := range clients {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				status, err := d.send(fmt.Sprintf("s%d-%d", client, n))
				if err == nil && status == 200 {
					count.Add(1)
				} else {
					mu.Lock()
					others = append(others, fmt.Sprintf("status %d, error %v", status, err))
					mu.Unlock()
				}
				time.Sleep(interval)
			}
		})
	}
	group.Wait()
	return count.Load(), others
}

// One client that sends small or malformed requests on one connection as fast as it can must not cost other clients
// their responses, nor make the process use ever more memory.
func TestFloodOnOneConnectionDoesNotAffectOtherClients(t *testing.T) {
	const (
		sockets  = 256
		memoryMB = 32
		duration = 1500 * time.Millisecond
	)
	const post = "POST /api HTTP/1.1\r\nReq-Id: f%d\r\n"
	const noBody = "Content-Length: 0\r\n\r\n"
	largeBody := "Content-Length: 60000\r\n\r\n" + strings.Repeat("b", 60_000)
	smallChunks := "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nb\r\n", 60_000) + "0\r\n\r\n"
	endlessTrailer := "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("T: b\r\n", 60_000)
	program := buildProgram(t)
	for name, text := range map[string]func(n int) string{
		"health checks":    func(int) string { return "GET /_health HTTP/1.1\r\n\r\n" },
		"unknown kinds":    func(n int) string { return fmt.Sprintf(post+"Req-Kind: k%d\r\n"+noBody, n, n) },
		"new tenants":      func(n int) string { return fmt.Sprintf(post+"Req-Kind: a\r\nReq-Owner: t%d\r\n"+noBody, n, n) },
		"new keys":         func(n int) string { return fmt.Sprintf(post+"Req-Kind: a\r\nIdempotency-Key: k%d\r\n"+noBody, n, n) },
		"no ID":            func(int) string { return "POST /api HTTP/1.1\r\nReq-Kind: a\r\n" + noBody },
		"no time left":     func(n int) string { return fmt.Sprintf(post+"Req-Kind: a\r\nReq-Deadline: 0\r\n"+noBody, n) },
		"large bodies":     func(n int) string { return fmt.Sprintf(post+"Req-Kind: k%d\r\n", n, n) + largeBody },
		"small chunks":     func(n int) string { return fmt.Sprintf(post+"Req-Kind: k%d\r\n", n, n) + smallChunks },
		"endless trailers": func(n int) string { return fmt.Sprintf(post+"Req-Kind: k%d\r\n", n, n) + endlessTrailer },
	} {
		t.Run(name, func(t *testing.T) {
			d := startSmallDispatcher(t, program, sockets, memoryMB)
			stop := make(chan struct{})
			ended := d.flood(text, stop)
			startedAt := time.Now()
			succeeded, others := d.sendFromSeveralClients(duration)
			peak := d.peakMemory(t)
			close(stop)
			ended.Wait()
			t.Logf("%d requests succeeded within %v, peak %.1f MB", succeeded, time.Since(startedAt), float64(peak)/(1<<20))
			assert.Empty(t, others)
			assert.Positive(t, succeeded)
			assert.LessOrEqual(t, peak, int64(memoryMB<<20))
		})
	}
}
