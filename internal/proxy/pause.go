package proxy

import (
	"context"
	"sync"
	"time"

	"canvasroute/internal/transport"
)

// pauseTimeout bounds the wait for an attempt's goroutine to stop reading.
const pauseTimeout = 100 * time.Millisecond

// readPause lets another goroutine, the exporter, stop the reading of a response. The exporter then either resumes the
// reader or takes the connection over. Reading starts again from the first byte of the response, so that a pause loses
// nothing.
//
// The exporter calls request and, after true, either resume or end once. The reader calls begin, wait and finish.
type readPause struct {
	// mu guards conn and requested. A reader sends to paused under it, so that a request that times out sees either
	// both or none.
	mu        sync.Mutex
	conn      *transport.Conn // while the attempt waits for its worker, nil otherwise
	requested bool            // the exporter waits for the reader to stop

	paused   chan struct{} // the reader has stopped and waits for takeOver
	takeOver chan bool     // true: the sibling process reads on; false: the reader does
	ended    chan struct{} // closed when the attempt no longer waits for its worker
}

func newReadPause() *readPause {
	return &readPause{paused: make(chan struct{}, 1), takeOver: make(chan bool, 1), ended: make(chan struct{})}
}

// request stops the reading, and reports whether the reader has stopped. It has not where the attempt does not wait for
// its worker, or does not stop within pauseTimeout.
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

// resume lets the paused reader continue.
func (p *readPause) resume() { p.takeOver <- false }

// end lets the paused reader end without an outcome: the connection is the sibling process's, or is given up.
func (p *readPause) end() { p.takeOver <- true }

// begin allows pauses while conn is read.
func (p *readPause) begin(conn *transport.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = conn
}

// finish allows no further pause.
func (p *readPause) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = nil
}

// wait is called by a reader that was stopped. It returns once the exporter has decided, and reports whether the
// sibling process takes over.
func (p *readPause) wait() (takenOver bool) {
	p.mu.Lock()
	if !p.requested { // the request has timed out
		p.mu.Unlock()
		return false
	}
	p.requested = false
	p.paused <- struct{}{} // has room
	p.mu.Unlock()
	return <-p.takeOver
}

// receive reads a worker's response, and lets itself be paused meanwhile.
func (a *attempt) receive(ctx context.Context, conn *transport.Conn) workerResponse {
	a.pause.begin(conn)
	defer close(a.pause.ended)
	for {
		answer := a.readResponse(ctx, conn)
		if !stoppedByPause(ctx, conn, answer.err) {
			a.pause.finish()
			return answer
		}
		if takenOver := a.pause.wait(); takenOver {
			return workerResponse{migrated: true}
		}
		if err := conn.Rewind(); err != nil {
			return workerResponse{outcome: a.lostOutcome(ctx, err), err: err}
		}
	}
}

// stoppedByPause reports whether a pause has ended the reading. A pause makes reads time out; so do the end of ctx and
// an interrupt of the connection, which take precedence. Reading has no other timeout.
func stoppedByPause(ctx context.Context, conn *transport.Conn, readErr error) bool {
	timedOut := readErr != nil && transport.CloseReasonOf(readErr) == transport.TimedOut
	return timedOut && ctx.Err() == nil && !conn.Interrupted()
}
