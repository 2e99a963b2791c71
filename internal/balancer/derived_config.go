package balancer

import (
	"canvasroute/internal/balancer/polling"
	"canvasroute/internal/balancer/tick"
)

const (
	// marginGranules is how many scheduling granules of the platform are kept before a deadline, in addition to one
	// millisecond.
	marginGranules = 2
	// worstOperationShare is the part of its weight in the goal that the operation with the largest loss gets. Losses
	// come in bursts, and one burst must not decide for long.
	worstOperationShare = 0.5
)

// patienceShare is the share of the shortest latency objective for which an attempt may stay unstarted.
var patienceShare = tick.Ratio{Numerator: 1, Denominator: 10}

// derivedConfig are the figures that New derives from a Config. They change only in Reconfigure.
type derivedConfig struct {
	// Which dispatcher this is, and how large the fleet is.
	zone                 ZoneID
	position             int     // its number among the dispatchers, from 0
	dispatchers          int     // how many there are, this one included
	dispatcherShare      float64 // one dispatcher's share of a quota
	dispatchersPerWorker int     // dispatchers that have the same worker in their subset

	// What the platform can do.
	pollEndpoints   bool // the endpoint list comes by polling
	cancellation    bool // attempts may be canceled
	hedging         bool // a request may have several attempts in flight
	startNotices    bool // workers report the start of an attempt
	deliveryNotices bool // the network reports that a worker has received an attempt
	gossip          bool // peers exchange what they have in flight
	probes          bool // load reports come as answers to probes
	reportInFlight  ReportIndex
	reportQueue     ReportIndex
	reportFree      ReportIndex

	// Limits, prices and weights.
	maxAttempts          int
	patience             Duration // how long an attempt may stay unstarted; also the longest time between two reviews
	margin               Duration // kept before deadlines
	overQuotaShare       float64  // weight of a request beyond its tenant's quota
	crossZoneCost        float64  // price of an attempt in another zone
	worstOperationWeight float64  // what the operation that loses most adds to its value
	valuePerRequest      float64  // 1 if value is billed by request, 0 if by unit of work
	meanObjective        float64  // mean latency objective of the operations, in ticks: stands for the work of a request

	// Warm-up of workers.
	initialWarmup  float64 // share of its capacity that a worker has as it starts
	overloadFactor float64 // a worker breaks when it gets this many times its current capacity
	warmupDuration Duration
	warmupWindow   Duration // over which the work sent to a warming worker is added up

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
		patience:             forever,
		margin:               marginGranules*config.Granularity + tick.Millisecond,
		overQuotaShare:       config.Quotas.OverQuotaWeight,
		crossZoneCost:        config.Objective.CrossZoneCost,
		worstOperationWeight: config.Objective.WorstOperationWeight * worstOperationShare,
		valuePerRequest:      config.Objective.ValuePerRequest,

		initialWarmup:  config.Warmup.InitialShare,
		overloadFactor: config.Warmup.OverloadFactor,
		warmupDuration: config.Warmup.Duration,
		warmupWindow:   config.Warmup.Window,

		polling: polling.Config{
			Dispatchers:    config.Dispatchers,
			Position:       config.Position,
			MaxInterval:    config.Discovery.MaxPollInterval,
			ChangeDeadline: config.Discovery.ChangeDeadline,
			AwaitFirstPoll: config.Discovery.ChangeDeadline > 0,
		},
	}
	derived.dispatchersPerWorker = dispatchersPerWorker(config, derived.gossip)
	for _, op := range config.Operations {
		derived.patience = min(derived.patience, patienceShare.Of(op.LatencyObjective))
		derived.meanObjective += max(float64(op.LatencyObjective), 1) / float64(len(config.Operations))
	}
	return derived
}

// dispatchersPerWorker returns how many dispatchers use the same worker: all, unless that many messages about each
// attempt would cost more than they are worth.
func dispatchersPerWorker(config Config, gossiping bool) int {
	if !gossiping || config.Gossip.MessageCost <= 0 {
		return config.Dispatchers
	}
	affordable := int(maxGossipShare / (messagesPerAttempt * config.Gossip.MessageCost))
	return min(max(affordable, 1), config.Dispatchers)
}

// initialDeliveryTime returns the time that attempts are taken to need to a zone before any was seen to.
func (c *derivedConfig) initialDeliveryTime() Duration {
	return Duration(c.meanObjective / deliveryMargin)
}

// keepStartupFigures copies from the configuration of the start what a later one cannot change. That is who this
// dispatcher is, how it gets the endpoint list, and what workers and the network report.
func (c *derivedConfig) keepStartupFigures(startup *derivedConfig) {
	c.zone = startup.zone
	c.polling.AwaitFirstPoll = startup.polling.AwaitFirstPoll
	c.pollEndpoints = startup.pollEndpoints
	c.startNotices = startup.startNotices
	c.deliveryNotices = startup.deliveryNotices
	c.reportInFlight = startup.reportInFlight
	c.reportQueue = startup.reportQueue
	c.reportFree = startup.reportFree
}
