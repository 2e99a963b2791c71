package balancer

import (
	"context"
	"fmt"
	"testing"
)

// benchmarkFleetSize is the number of workers of the largest benchmarks.
const benchmarkFleetSize = 4096

// BenchmarkServeRequest measures the decisions for one request without contention, while other requests are open: its
// arrival, the choice of a worker, the start notice and the report. Run it with
//
//	go test ./internal/balancer -run '^$' -bench ServeRequest -benchmem
func BenchmarkServeRequest(b *testing.B) {
	for _, workers := range []int{16, 256, benchmarkFleetSize} {
		for _, open := range []int{0, 4, 16} {
			b.Run(fmt.Sprintf("workers=%d/open=%d", workers, open), func(b *testing.B) {
				picker := newPickerWithOpenRequests(b, workers, open)
				b.ReportAllocs()
				for b.Loop() {
					serveRequest(b, picker)
				}
			})
		}
	}
}

// newPickerWithOpenRequests returns a Picker with openPerWorker attempts running at each worker, and an estimated
// number of slots that leaves eight of them free. No request times out while the clock does not advance.
func newPickerWithOpenRequests(b *testing.B, workers, openPerWorker int) *Picker {
	b.Helper()
	const freeSlots = 8
	picker, _ := newTestPicker(testConfig, workers)
	setSlots(picker.balancer, float64(openPerWorker+freeSlots))
	for range workers * openPerWorker {
		handle := picker.Submit(Arrival{Timeout: 1000 * Second, SizeHint: 100})
		handle.ReportStarted(pickAttempt(b, handle).Attempt)
	}
	return picker
}

// pickAttempt returns the next decision for a request, which must be to send an attempt.
func pickAttempt(b *testing.B, handle *RequestHandle) Decision {
	b.Helper()
	decision, err := handle.Pick(context.Background())
	if err != nil || decision.Action != SendAttempt {
		b.Fatal("no attempt: ", decision, err)
	}
	return decision
}

// serveRequest takes a request from its arrival to its answer.
//
//nolint:thelper // the cost of Helper would be measured
func serveRequest(b *testing.B, picker *Picker) {
	handle := picker.Submit(Arrival{Timeout: 3 * Second, SizeHint: 100})
	decision, err := handle.Pick(context.Background())
	if err != nil || decision.Action != SendAttempt {
		b.Fatal("no attempt: ", decision, err)
	}
	handle.ReportStarted(decision.Attempt)
	handle.ReportOutcome(decision.Attempt, Succeeded)
	decision, err = handle.Pick(context.Background())
	if err != nil || decision.Action != RespondResult {
		b.Fatal("no answer: ", decision, err)
	}
}

// BenchmarkUpdateAllEndpoints measures an update with all of 4,096 workers while 65,536 requests are open.
func BenchmarkUpdateAllEndpoints(b *testing.B) {
	picker := newPickerWithOpenRequests(b, benchmarkFleetSize, 16)
	endpoints := testEndpoints(benchmarkFleetSize)
	for b.Loop() {
		picker.UpdateEndpoints(endpoints, AllEndpoints, FromDiscovery)
	}
}

// BenchmarkArrivalWithPendingRequests measures the arrival of a request and the disconnect of its client while all 256
// workers are full and 10,000 requests are pending.
func BenchmarkArrivalWithPendingRequests(b *testing.B) {
	const slots = 8
	picker := newPickerWithOpenRequests(b, 256, slots)
	picker.balancer.slots.kinds[0].Estimate = slots
	for n := range 10000 {
		picker.Submit(Arrival{Timeout: 1000 * Second, SizeHint: Work(100 + n%50)})
	}
	disconnected, disconnect := context.WithCancel(context.Background())
	disconnect()
	for b.Loop() {
		handle := picker.Submit(Arrival{Timeout: 3 * Second, SizeHint: 100})
		if _, err := handle.Pick(disconnected); err == nil {
			b.Fatal("the request was not pending")
		}
	}
}

// BenchmarkAllWorkersWarming measures one request while all of 4,096 workers are warming up.
func BenchmarkAllWorkersWarming(b *testing.B) {
	picker, now := newTestPicker(testConfig, 0)
	var endpoints []Endpoint
	for id := range WorkerID(benchmarkFleetSize) {
		endpoints = append(endpoints, Endpoint{Worker: id, ID: fmt.Sprintf("w%d", id), StartedAt: *now - Second})
	}
	picker.UpdateEndpoints(endpoints, AllEndpoints, FromDiscovery)
	for b.Loop() {
		*now += 10 // so that attempts leave the warm-up window
		serveRequest(b, picker)
	}
}

// BenchmarkReviewOpenRequests measures one review of 65,536 open requests. A review is due once per tenth of the
// shortest latency objective.
func BenchmarkReviewOpenRequests(b *testing.B) {
	picker := newPickerWithOpenRequests(b, benchmarkFleetSize, 16)
	for b.Loop() {
		picker.balancer.reviewOpenRequests()
	}
}
