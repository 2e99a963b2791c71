package balancer

const (
	pollsPerInterval = 128 // polls that the endpoint service takes from all dispatchers within maxPollInterval
	maxPollSpread    = 0.6 // of maxPollInterval at most is taken for one poll of each dispatcher

	firstRetryPoll    = Duration(Second / 2) // wait after the first failed poll, doubled with each further one
	maxRetryDoublings = 4
	busyPolls         = 2 // consecutive polls turned away as the service was busy, after which waits grow longer still
	maxBusyDoublings  = 2
)

// discovery owns when the endpoint list is polled, and whether it is being watched. Once a poll is answered the list is
// watched: changes come by themselves until the watch ends.
type discovery struct {
	watching        bool
	watchingSince   Time
	answered        bool     // a poll has been answered since the start
	endpointsStale  bool     // the list is from before the start, and the first poll has not ended
	failedPolls     int      // consecutive ones
	consecutiveBusy int      // consecutive polls that were turned away after a wait: the service has too many callers
	retrySpeedup    Duration // 2 after a watch that fell silent, which was noticed late, else 1
	nextPoll        Time
}

// recordAnswer takes notice that a poll was answered, and that the list is watched from now on.
func (d *discovery) recordAnswer(now Time) {
	d.failedPolls = 0
	d.answered = true
	d.endpointsStale = false
	if !d.watching {
		d.watching = true
		d.watchingSince = now
	}
}

// recordInitialList takes notice of a list from before the start. Dispatchers that start together poll in turn.
func (d *discovery) recordInitialList(now Time, config *derivedConfig) {
	d.nextPoll = now.Add(config.firstPollSpread * Duration(config.position) / Duration(config.dispatchers))
	// Workers may have been drained or removed since.
	d.endpointsStale = config.awaitFirstPoll && !d.answered && d.failedPolls == 0
}

// recordFailure takes notice that a poll failed or the watch has ended, and schedules the next poll. The service is
// overloaded or away, so waits grow. It has failed for all dispatchers, and a poll that is given up costs it as much as one
// that it answers: so all together poll no faster than at a start.
func (d *discovery) recordFailure(now Time, config *derivedConfig, random *randomSource) {
	d.failedPolls++
	d.watching = false
	d.endpointsStale = false
	backoff := firstRetryPoll << min(d.failedPolls, maxRetryDoublings)
	spread := config.pollSpread << min(d.failedPolls-1, maxRetryDoublings)
	longest := config.maxPollInterval * 4 / 5 << min(max(d.consecutiveBusy-busyPolls, 0), maxBusyDoublings)
	wait := min(backoff+spread, longest)
	if d.consecutiveBusy == 0 { // a change has to be known soon after the service is back
		wait = min(wait, config.maxRetryPoll/d.retrySpeedup)
	}
	d.nextPoll = now.Add(wait/4 + Duration(random.next()%uint64(wait*3/4+1)))
}

// recordWatchEnd takes notice of how a poll or a watch ended, before the failure itself is recorded. Where the service
// had answered, waits begin anew: it is not overloaded.
func (d *discovery) recordWatchEnd(end WatchEnd) {
	d.consecutiveBusy++
	if end != WatchRejected {
		d.consecutiveBusy = 0
	}
	d.retrySpeedup = 1
	if end == WatchSilent {
		d.retrySpeedup = 2
	}
	if end == WatchSilent || end == WatchCut {
		d.failedPolls = 0
	}
}

// pollNow has the list polled at once: it has another address.
func (d *discovery) pollNow(now Time) {
	d.watching = false
	d.failedPolls = 0
	d.nextPoll = now
}

// EndpointsUnavailable takes notice that a poll of the endpoint list failed, or that its watch ended, and schedules the
// next poll.
func (b *Balancer) EndpointsUnavailable() {
	b.discovery.recordFailure(b.now, &b.config, &b.random)
	b.due.capacityChanged = true
}

// pollEndpoints requests the endpoint list, and again if no answer comes.
func (b *Balancer) pollEndpoints() {
	b.discovery.nextPoll = b.now.Add(b.config.maxPollInterval)
	b.effects.PollEndpoints()
}
