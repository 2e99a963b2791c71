package balancer

import "canvasroute/internal/balancer/polling"

// WatchEnd is the way in which a poll of the endpoint list, or the watch that it started, ended.
type WatchEnd = polling.WatchEnd

// Values of WatchEnd; see package polling.
const (
	WatchFailed       = polling.WatchFailed
	WatchRejected     = polling.WatchRejected
	WatchDisconnected = polling.WatchDisconnected
	WatchSilent       = polling.WatchSilent
)

// EndpointsUnavailable records that a poll of the endpoint list failed or that the watch ended, and schedules the next
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

// acceptStaleEndpoints permits attempts based on an endpoint list from before the start of this process, although the
// first poll has not ended yet.
func (b *Balancer) acceptStaleEndpoints() {
	b.polling.AcceptStaleEndpoints()
	b.due.capacityChanged = true
}
