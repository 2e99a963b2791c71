package proxy

import (
	"context"
	"sync"
	"time"

	"canvasroute/internal/transport"
)

// pauseTimeout limits the wait for an attempt's goroutine to stop reading.
const pauseTimeout = 100 * time.Millisecond

// readPause lets the goroutines that export a request, called the exporter, pause the goroutine that reads a response.
// The exporter then either resumes the reader or ends it. A resumed reader reads the response again from its first
// byte, so that a pause loses no data.
//
// The exporter calls tryPause and, if that returns true, either resumeReader or endReader exactly once. The reader
// calls enable, awaitDecision and disable.
type readPause struct {
	// mu guards conn and requested. The reader clears requested and sends to paused with mu held, so that a call of
	// tryPause that times out observes both changes or neither.
	mu        sync.Mutex
	conn      *transport.Conn // set while the attempt waits for its worker, nil otherwise
	requested bool            // the exporter waits for the reader to stop

	paused    chan struct{} // receives a value when the reader has stopped and waits for shouldEnd
	shouldEnd chan bool     // true: the reader returns without an outcome (endReader); false: it continues
	ended     chan struct{} // closed when the attempt no longer waits for its worker
}

func newReadPause() *readPause {
	return &readPause{paused: make(chan struct{}, 1), shouldEnd: make(chan bool, 1), ended: make(chan struct{})}
}

// tryPause stops the reader and reports whether it has stopped. It returns false if the attempt is not waiting for its
// worker, or if the reader does not stop within pauseTimeout.
func (p *readPause) tryPause() bool {
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
	case <-p.paused: // the reader stopped after the timeout
		return true
	default:
		return false
	}
}

// resumeReader lets the paused reader continue.
func (p *readPause) resumeReader() { p.shouldEnd <- false }

// endReader makes the paused reader return without an outcome, because the sibling process has taken over the
// connection, or because the migration failed or was abandoned.
func (p *readPause) endReader() { p.shouldEnd <- true }

// enable allows pauses from now on. It is called before conn is read.
func (p *readPause) enable(conn *transport.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = conn
}

// disable makes later calls of tryPause return false.
func (p *readPause) disable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = nil
}

// awaitDecision is called by the reader after it was stopped. It waits for the exporter's decision, and reports whether
// the reader must return without an outcome (endReader). It returns false at once if tryPause has timed out.
func (p *readPause) awaitDecision() (shouldEnd bool) {
	p.mu.Lock()
	if !p.requested { // the call of tryPause has timed out
		p.mu.Unlock()
		return false
	}
	p.requested = false
	p.paused <- struct{}{} // never blocks: the channel is buffered
	p.mu.Unlock()
	return <-p.shouldEnd
}

// receiveResponse reads a worker's response. The exporter may pause it.
func (a *attempt) receiveResponse(ctx context.Context, conn *transport.Conn) workerResponse {
	a.pause.enable(conn)
	defer close(a.pause.ended)
	for {
		response := a.readResponse(ctx, conn)
		if !stoppedByPause(ctx, conn, response.err) {
			a.pause.disable()
			return response
		}
		if shouldEnd := a.pause.awaitDecision(); shouldEnd {
			return workerResponse{endedByExporter: true}
		}
		if err := conn.Rewind(); err != nil {
			return workerResponse{outcome: a.lostOutcome(ctx, err), err: err}
		}
	}
}

// stoppedByPause reports whether a read failed because of a pause. A pause makes reads time out, and so do the end of
// ctx and an interrupt of the connection, which take precedence. Reads have no other timeout.
func stoppedByPause(ctx context.Context, conn *transport.Conn, readErr error) bool {
	timedOut := readErr != nil && transport.CloseReasonOf(readErr) == transport.TimedOut
	return timedOut && ctx.Err() == nil && !conn.Interrupted()
}
