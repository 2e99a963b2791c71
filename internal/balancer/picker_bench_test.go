package balancer

import (
	"context"
	"fmt"
	"testing"
)

// BenchmarkLandPickReport is the cost of one request's decisions without any contention: arrival, picking,
// the start notice and the report, beside requests that stay open. Run it with
//
//	go test ./internal/balancer -run '^$' -bench LandPickReport -benchmem
func BenchmarkLandPickReport(b *testing.B) {
	for _, workers := range []int{16, 256, 4096} {
		for _, open := range []int{0, 4, 16} {
			b.Run(fmt.Sprintf("workers=%d/open=%d", workers, open), func(b *testing.B) {
				picker := facadeWithOpen(b, workers, open)
				b.ReportAllocs()
				for b.Loop() {
					carry(b, picker)
				}
			})
		}
	}
}

// facadeWithOpen has workers that are believed to have room for all that is open, and so many open on each. None
// of those comes to its time while the clock stands still.
func facadeWithOpen(b *testing.B, workers, open int) *Picker {
	picker, _ := newTestPicker(testConfig, workers)
	picker.balancer.slots.kinds[0].Estimate = float64(open + 8)
	picker.balancer.slots.kinds[0].MaxObserved = picker.balancer.slots.kinds[0].Estimate
	for range workers * open {
		t := picker.Submit(Arrival{Timeout: 1000 * Second, SizeHint: 100})
		c, err := t.Pick(context.Background())
		if err != nil || c.Action != SendAttempt {
			b.Fatal("not sent: ", c, err)
		}
		t.ReportStarted(c.Attempt)
	}
	return picker
}

func carry(b *testing.B, picker *Picker) {
	t := picker.Submit(Arrival{Timeout: 3 * Second, SizeHint: 100})
	c, err := t.Pick(context.Background())
	if err != nil || c.Action != SendAttempt {
		b.Fatal("not sent: ", c, err)
	}
	t.ReportStarted(c.Attempt)
	t.Report(c.Attempt, Succeeded)
	if c, err = t.Pick(context.Background()); err != nil || c.Action != RespondResult {
		b.Fatal("not answered: ", c, err)
	}
}

// BenchmarkListRenewedWhole is a list of 4,096 workers that comes whole while 65,536 requests are open.
func BenchmarkListRenewedWhole(b *testing.B) {
	picker := facadeWithOpen(b, 4096, 16)
	list := make([]Endpoint, 4096)
	for w := range list {
		list[w] = Endpoint{Worker: WorkerID(w), ID: fmt.Sprintf("w%d", w), Zone: ZoneID(w % 2), Cell: CellID(w)}
	}
	for b.Loop() {
		picker.UpdateEndpoints(list, AllEndpoints, FromDiscovery)
	}
}

// BenchmarkLandingBesideHeld is a arrival and its end by its client where all 256 workers are full and 10,000 are
// pending.
func BenchmarkLandingBesideHeld(b *testing.B) {
	picker := facadeWithOpen(b, 256, 8)
	picker.balancer.slots.kinds[0].Estimate = 8
	for n := range 10000 {
		picker.Submit(Arrival{Timeout: 1000 * Second, SizeHint: Work(100 + n%50)})
	}
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	for b.Loop() {
		t := picker.Submit(Arrival{Timeout: 3 * Second, SizeHint: 100})
		if _, err := t.Pick(gone); err == nil {
			b.Fatal("it was not pending")
		}
	}
}

// BenchmarkAllWorkersCold is one request's way where each of 4,096 workers has just started.
func BenchmarkAllWorkersCold(b *testing.B) {
	picker, now := newTestPicker(testConfig, 0)
	var list []Endpoint
	for w := range 4096 {
		list = append(list, Endpoint{Worker: WorkerID(w), ID: fmt.Sprintf("w%d", w), StartedAt: *now - Second})
	}
	picker.UpdateEndpoints(list, AllEndpoints, FromDiscovery)
	for b.Loop() {
		*now += 10 // what was sent counts no more after the span
		carry(b, picker)
	}
}

// BenchmarkSweep goes through 65,536 open requests, as every tenth of the shortest objective.
func BenchmarkSweep(b *testing.B) {
	picker := facadeWithOpen(b, 4096, 16)
	for b.Loop() {
		picker.balancer.reviewOpenRequests()
	}
}
