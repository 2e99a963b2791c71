package proxy

import (
	"context"
	"fmt"
	"os"
	"time"

	"canvasroute/internal/admission"
)

// sampleQueueingDelay measures how long arriving data waits until a goroutine reads it, and reports the delay to the
// admission controller until ctx ends. It reports a delay of 0 without measuring if the controller needs no sample.
func (p *Proxy) sampleQueueingDelay(ctx context.Context) error {
	pipe, err := newDelayPipe()
	if err != nil {
		return fmt.Errorf("measuring the queueing delay: %w", err)
	}
	defer pipe.close()
	startedAt := time.Now()
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
			p.admission.ObserveDelay(sentAt.Sub(startedAt), 0)
			continue
		}
		arrivedAt, err := pipe.sendByte(ctx)
		switch {
		case err != nil && ctx.Err() != nil:
			return nil
		case err != nil:
			return fmt.Errorf("measuring the queueing delay: %w", err)
		}
		p.admission.ObserveDelay(sentAt.Sub(startedAt), arrivedAt.Sub(sentAt))
	}
}

// delayPipe is a pipe from this process to itself, which measures how long data waits until a goroutine reads it.
//
// Neither a timer nor the length of the run queue reflects that delay. While goroutines are runnable, readable sockets
// wait in the kernel's ready list for the next poll, in the order in which they became readable. A byte in a pipe waits
// in the same list.
type delayPipe struct {
	reader       *os.File
	writer       *os.File
	arrivals     chan time.Time // read times of the bytes; buffered for one
	readerExited chan struct{}  // closed when the reading goroutine has exited
}

func newDelayPipe() (*delayPipe, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	pipe := &delayPipe{
		reader:       reader,
		writer:       writer,
		arrivals:     make(chan time.Time, 1),
		readerExited: make(chan struct{}),
	}
	go pipe.timestampReads()
	return pipe, nil
}

// sendByte writes a byte to the pipe, waits until it is read, and returns the time of the read. The error is that of
// ctx or of the write.
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

// timestampReads sends the read time of each byte to arrivals until the writer is closed. sendByte writes the next byte
// only after it has received that time.
func (d *delayPipe) timestampReads() {
	defer close(d.readerExited)
	buffer := make([]byte, 1)
	for {
		if _, err := d.reader.Read(buffer); err != nil {
			return
		}
		d.arrivals <- time.Now()
	}
}

// close stops the reading goroutine and closes the pipe.
func (d *delayPipe) close() {
	d.writer.Close()
	<-d.readerExited
	d.reader.Close()
}
