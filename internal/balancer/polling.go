package balancer

import "canvasroute/internal/balancer/polling"

// WatchEnd is how a poll of the endpoint list, or the watch that it began, ended.
type WatchEnd = polling.WatchEnd

// The ends of a watch; see package polling.
const (
	WatchFailed   = polling.WatchFailed
	WatchRejected = polling.WatchRejected
	WatchCut      = polling.WatchCut
	WatchSilent   = polling.WatchSilent
)

// EndpointsUnavailable notes that a poll of the endpoint list failed, or that its watch ended, and schedules the next
// poll.
func (b *Balancer) EndpointsUnavailable() {
	b.polling.RecordFailure(b.now, b.random.next)
	b.due.capacityChanged = true
}

// pollEndpoints requests the endpoint list.
func (b *Balancer) pollEndpoints() {
	b.polling.RecordPoll(b.now)
	b.effects.PollEndpoints()
}

// acceptStaleEndpoints permits attempts by a list from before the start, though the first poll has not ended.
func (b *Balancer) acceptStaleEndpoints() {
	b.polling.AcceptStaleEndpoints()
	b.due.capacityChanged = true
}
