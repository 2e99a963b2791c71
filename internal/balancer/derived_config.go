package balancer

import (
	"canvasroute/internal/balancer/polling"
	"canvasroute/internal/balancer/tick"
)

const (
	// marginGranularities is the safety margin before a deadline in multiples of the platform's scheduling granularity,
	// in addition to one millisecond.
	marginGranularities = 2
	// worstOperationShare is the share of ObjectiveConfig.WorstOperationWeight that is applied to priorities. Losses
	// occur in bursts, and one burst must not dominate priorities for long.
	worstOperationShare = 0.5
)

// startTimeoutShare is the share of the shortest latency objective for which an attempt may stay unstarted.
var startTimeoutShare = tick.Ratio{Numerator: 1, Denominator: 10}

// derivedConfig holds the settings that New derives from a Config. Only Reconfigure changes them.
type derivedConfig struct {
	// Identity of this dispatcher, and size of the fleet.
	zone                 ZoneID
	position             int     // index of this dispatcher, from 0
	dispatchers          int     // number of dispatchers, including this one
	dispatcherShare      float64 // share of a quota that one dispatcher has
	dispatchersPerWorker int     // number of dispatchers that have the same worker in their subset

	// Capabilities of the platform.
	pollEndpoints   bool // the endpoint list is polled
	cancellation    bool // attempts in flight may be canceled
	hedging         bool // a request may have several attempts in flight
	startNotices    bool // workers report the start of an attempt
	deliveryNotices bool // the caller reports when a worker has received an attempt
	gossip          bool // peers exchange their in-flight counts
	probes          bool // load reports are returned in response to probes
	reportInFlight  ReportIndex
	reportQueue     ReportIndex
	reportFree      ReportIndex

	// Limits, costs and weights.
	maxAttempts          int
	startTimeout         Duration // how long an attempt may stay unstarted; also the maximum review interval
	timingMargin         Duration // before deadlines, and for messages in transit: timers and messages may be late
	overQuotaWeight      float64  // weight of a request beyond its tenant's quota
	crossZoneCost        float64  // cost of an attempt in another zone
	worstOperationWeight float64  // added to the value of the operation with the largest loss
	valuePerRequest      float64  // 1 if value is billed by request, 0 if by unit of work
	meanObjective        float64  // mean latency objective of the operations, in ticks: estimates the work of a request

	// Warm-up of workers.
	initialWarmupFactor float64 // share of its capacity that a worker has when it starts
	overloadFactor      float64 // a worker breaks down when it is sent this multiple of its current capacity
	warmupDuration      Duration
	warmupWindow        Duration // period over which the work sent to a warming worker is summed

	// Polling of the endpoint list.
	polling polling.Config
}

func newDerivedConfig(config Config) derivedConfig {
	derived := derivedConfig{
		zone:            config.Zone,
		position:        config.Position,
		dispatchers:     config.Dispatchers,
		dispatcherShare: 1 / float64(config.Dispatchers),

		pollEndpoints:   config.Discovery.Poll,
		cancellation:    config.Attempts.Cancellation,
		hedging:         config.Attempts.Hedging,
		startNotices:    config.Attempts.StartNotices,
		deliveryNotices: config.Attempts.DeliveryNotices,
		gossip:          config.Gossip.Enabled && config.Dispatchers > 1,
		probes:          config.LoadReports.Probes && config.LoadReports.OnProbe,
		reportInFlight:  config.LoadReports.InFlight,
		reportQueue:     config.LoadReports.Queue,
		reportFree:      config.LoadReports.FreeSlots,

		maxAttempts:          config.Attempts.Max,
		startTimeout:         forever,
		timingMargin:         marginGranularities*config.Granularity + tick.Millisecond,
		overQuotaWeight:      config.Quotas.OverQuotaWeight,
		crossZoneCost:        config.Objective.CrossZoneCost,
		worstOperationWeight: config.Objective.WorstOperationWeight * worstOperationShare,
		valuePerRequest:      config.Objective.ValuePerRequest,

		initialWarmupFactor: config.Warmup.InitialShare,
		overloadFactor:      config.Warmup.OverloadFactor,
		warmupDuration:      config.Warmup.Duration,
		warmupWindow:        config.Warmup.Window,

		polling: polling.Config{
			Dispatchers:    config.Dispatchers,
			Position:       config.Position,
			MaxInterval:    config.Discovery.MaxPollInterval,
			ChangeDeadline: config.Discovery.ChangeDeadline,
			PushGrace:      pushGrace(config.Discovery),
			AwaitFirstPoll: config.Discovery.ChangeDeadline > 0,
		},
	}
	derived.dispatchersPerWorker = dispatchersPerWorker(config, derived.gossip)
	for _, op := range config.Operations {
		derived.startTimeout = min(derived.startTimeout, startTimeoutShare.Of(op.LatencyObjective))
		derived.meanObjective += max(float64(op.LatencyObjective), 1) / float64(len(config.Operations))
	}
	return derived
}

// minPushGrace limits how often a service that is down is polled, where lists are pushed.
const minPushGrace = Duration(Second / 10)

// pushGrace returns the time in which a change must be in use if lists are pushed, and 0 if they are polled.
func pushGrace(discovery DiscoveryConfig) Duration {
	if !discovery.Pushed {
		return 0
	}
	return max(discovery.DrainGrace, minPushGrace)
}

// dispatchersPerWorker returns the number of dispatchers that use the same worker: all of them, unless gossip messages
// to all of them about each attempt would cost more than maxGossipShare of the value of a request.
func dispatchersPerWorker(config Config, gossiping bool) int {
	if !gossiping || config.Gossip.MessageCost <= 0 {
		return config.Dispatchers
	}
	affordable := int(maxGossipShare / (messagesPerAttempt * config.Gossip.MessageCost))
	return min(max(affordable, 1), config.Dispatchers)
}

// initialDeliveryTime returns the assumed delivery time of attempts to a zone before any delivery has been observed.
func (c *derivedConfig) initialDeliveryTime() Duration {
	return Duration(c.meanObjective / deliveryMargin)
}

// keepStartupSettings copies the settings that cannot change after the start: the identity of this dispatcher, how it
// gets the endpoint list, and what workers and the network report.
func (c *derivedConfig) keepStartupSettings(startup *derivedConfig) {
	c.zone = startup.zone
	c.polling.AwaitFirstPoll = startup.polling.AwaitFirstPoll
	c.pollEndpoints = startup.pollEndpoints
	c.startNotices = startup.startNotices
	c.deliveryNotices = startup.deliveryNotices
	c.reportInFlight = startup.reportInFlight
	c.reportQueue = startup.reportQueue
	c.reportFree = startup.reportFree
}
