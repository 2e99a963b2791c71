package proxy

import (
	"context"
	"sync"
	"time"

	"canvasroute/internal/transport"
)

// pauseTimeout bounds the wait for an attempt's goroutine to stop reading.
const pauseTimeout = 100 * time.Millisecond

// readPause lets another goroutine stop the reading of a response, and then either resume it or take the connection
// over. Reading starts again from the first byte of the response, so that a pause loses nothing.
type readPause struct {
	mu        sync.Mutex
	conn      *transport.Conn // while the attempt waits for its worker
	requested bool

	paused   chan struct{} // the reader has stopped and waits for takeOver
	takeOver chan bool     // true: the sibling process reads on; false: the reader does
	ended    chan struct{} // closed when the attempt no longer waits for its worker
}

func newReadPause() *readPause {
	return &readPause{paused: make(chan struct{}, 1), takeOver: make(chan bool, 1), ended: make(chan struct{})}
}

// request stops the reading. It returns false where the attempt does not wait for its worker, or does not stop in time.
func (p *readPause) request() bool {
	p.mu.Lock()
	if p.conn == nil {
		p.mu.Unlock()
		return false
	}
	p.requested = true
	p.conn.StopReading()
	p.mu.Unlock()
	select {
	case <-p.paused:
		return true
	case <-p.ended:
		return false
	case <-time.After(pauseTimeout):
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requested = false
	select {
	case <-p.paused: // since the timeout
		return true
	default:
		return false
	}
}

// resume lets the paused reader go on.
func (p *readPause) resume() { p.takeOver <- false }

// end lets the paused reader end without an outcome: the connection is the sibling process's, or is given up.
func (p *readPause) end() { p.takeOver <- true }

// begin allows pauses while conn is read.
func (p *readPause) begin(conn *transport.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = conn
}

// finish allows no pause any more.
func (p *readPause) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = nil
}

// wait is called by a reader that was stopped. It returns true where the sibling process takes over.
func (p *readPause) wait() (takenOver bool) {
	p.mu.Lock()
	if !p.requested { // request has given up waiting
		p.mu.Unlock()
		return false
	}
	p.requested = false
	p.paused <- struct{}{} // under the lock: request must not miss it and leave the reader waiting
	p.mu.Unlock()
	return <-p.takeOver
}

// receive reads a worker's response, and lets itself be paused meanwhile.
func (a *attempt) receive(ctx context.Context, conn *transport.Conn) response {
	a.pause.begin(conn)
	defer close(a.pause.ended)
	for {
		r := a.readResponse(ctx, conn)
		paused := r.err != nil && transport.CloseReasonOf(r.err) == transport.TooSlow && ctx.Err() == nil &&
			!conn.Interrupted()
		if !paused {
			a.pause.finish()
			return r
		}
		if a.pause.wait() {
			return response{migrated: true}
		}
		if err := conn.Rewind(); err != nil {
			return response{outcome: a.lostOutcome(ctx, err), err: err}
		}
	}
}
