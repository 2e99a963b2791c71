package proxy

import (
	"context"
	"fmt"
	"os"
	"time"

	"canvasroute/internal/admission"
)

// sampleQueueingDelay measures how long arriving data waits before a goroutine reads it. It reports the delay to the
// admission controller until ctx ends.
//
// Neither a timer nor the run queue shows that delay. While goroutines have work, readable sockets wait in the kernel's
// list for the next poll, in the order in which they became readable. So a byte is sent through that list, by a pipe to
// this process, while the admission controller wants samples.
func (p *Proxy) sampleQueueingDelay(ctx context.Context) error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("queueing delay: %w", err)
	}
	arrivals := make(chan time.Time, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		timestampReads(reader, arrivals)
	}()
	defer func() {
		writer.Close()
		<-ended
		reader.Close()
	}()
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
		if _, err := writer.Write([]byte{0}); err != nil {
			return fmt.Errorf("queueing delay: %w", err)
		}
		select {
		case arrivedAt := <-arrivals:
			p.admission.ObserveDelay(sentAt.Sub(began), arrivedAt.Sub(sentAt))
		case <-ctx.Done():
			return nil
		}
	}
}

// timestampReads sends the time of each byte that it reads, until the pipe's writer is closed. The writer sends the
// next byte only after it has received that time.
func timestampReads(reader *os.File, arrivals chan<- time.Time) {
	buffer := make([]byte, 1)
	for {
		if _, err := reader.Read(buffer); err != nil {
			return
		}
		arrivals <- time.Now()
	}
}
