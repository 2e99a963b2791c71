package proxy

import (
	"context"
	"fmt"
	"os"
	"time"

	"canvasroute/internal/admission"
)

// sampleQueueingDelay measures how long arriving data waits before a goroutine reads it. It reports the delay to the
// admission controller until ctx ends, and no delay while the controller wants no sample.
func (p *Proxy) sampleQueueingDelay(ctx context.Context) error {
	pipe, err := newDelayPipe()
	if err != nil {
		return fmt.Errorf("queueing delay: %w", err)
	}
	defer pipe.close()
	began := time.Now()
	ticker := time.NewTicker(admission.SampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		sentAt := time.Now()
		if !p.admission.ShouldSample() {
			p.admission.ObserveDelay(sentAt.Sub(began), 0)
			continue
		}
		arrivedAt, err := pipe.sendByte(ctx)
		switch {
		case err != nil && ctx.Err() != nil:
			return nil
		case err != nil:
			return fmt.Errorf("queueing delay: %w", err)
		}
		p.admission.ObserveDelay(sentAt.Sub(began), arrivedAt.Sub(sentAt))
	}
}

// delayPipe is a pipe to this process, which shows how long data waits for a goroutine that reads it.
//
// Neither a timer nor the run queue shows that delay. While goroutines have work, readable sockets wait in the kernel's
// list for the next poll, in the order in which they became readable. A byte in a pipe goes through the same list.
type delayPipe struct {
	reader   *os.File
	writer   *os.File
	arrivals chan time.Time // of the bytes; has room for one
	ended    chan struct{}  // closed when the reading goroutine has ended
}

func newDelayPipe() (*delayPipe, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	pipe := &delayPipe{
		reader:   reader,
		writer:   writer,
		arrivals: make(chan time.Time, 1),
		ended:    make(chan struct{}),
	}
	go pipe.timestampReads()
	return pipe, nil
}

// sendByte sends a byte through the pipe and returns when it was read. The error is that of ctx or of the write.
func (d *delayPipe) sendByte(ctx context.Context) (arrivedAt time.Time, err error) {
	if _, err := d.writer.Write([]byte{0}); err != nil {
		return time.Time{}, err
	}
	select {
	case arrivedAt = <-d.arrivals:
		return arrivedAt, nil
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
}

// timestampReads sends the time of each byte that it reads, until the writer is closed. sendByte sends the next byte
// only after it has received that time.
func (d *delayPipe) timestampReads() {
	defer close(d.ended)
	buffer := make([]byte, 1)
	for {
		if _, err := d.reader.Read(buffer); err != nil {
			return
		}
		d.arrivals <- time.Now()
	}
}

// close ends the reading goroutine and closes the pipe.
func (d *delayPipe) close() {
	d.writer.Close()
	<-d.ended
	d.reader.Close()
}
