package proxy

import (
	"context"
	"fmt"
	"os"
	"time"

	"canvasroute/internal/admission"
)

// beat tells the door how long what comes waits before a goroutine reads it. Neither a timer nor the run queue shows
// that: while goroutines have work, what is readable waits in the kernel's list for the next poll, in the order in
// which it came. So a byte is sent through that list, by way of a pipe to ourselves, while there is much to read.
func (r *Proxy) beat(ctx context.Context) error {
	in, out, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("the door's pipe: %w", err)
	}
	defer out.Close()
	came := make(chan time.Time, 1)
	go func() { // ends with the pipe
		defer in.Close()
		for b := make([]byte, 1); ; {
			if _, err := in.Read(b); err != nil {
				return
			}
			came <- time.Now()
		}
	}()
	began, ticker := time.Now(), time.NewTicker(admission.SampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		sent := time.Now()
		if !r.door.Overloaded() {
			r.door.ObserveDelay(sent.Sub(began), 0)
			continue
		}
		if _, err := out.Write([]byte{0}); err != nil {
			return fmt.Errorf("the door's pipe: %w", err)
		}
		select {
		case at := <-came:
			r.door.ObserveDelay(sent.Sub(began), at.Sub(sent))
		case <-ctx.Done():
			return nil
		}
	}
}
