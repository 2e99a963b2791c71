package balancer

// derivedConfig are the figures that New derives from a Config. They change only in Reconfigure.
type derivedConfig struct {
	// Which dispatcher this is, and how large the fleet is.
	zone                 ZoneID
	position             int     // its number among the dispatchers
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
	patience             Duration // how long an attempt may stay unstarted: a tenth of the shortest latency objective
	margin               Duration // kept before deadlines: two scheduling granules and a millisecond
	overQuotaShare       float64  // weight of a request beyond its tenant's quota
	crossZoneCost        float64  // price of an attempt in another zone
	worstOperationWeight float64  // half of the operation's weight in the goal: losses come in bursts
	valuePerRequest      float64  // 1 if value is billed by request, 0 if by unit of work
	meanObjective        float64  // mean latency objective of the operations, as work

	// Warm-up of workers.
	initialWarmup  float64 // share of its capacity that a worker has as it starts
	overloadFactor float64 // a worker breaks when it gets this many times its current capacity
	warmupDuration Duration
	warmupWindow   Duration // span over which the work sent to a warming worker is added up

	// Polling of the endpoint list.
	maxPollInterval Duration
	pollSpread      Duration // span over which all dispatchers' polls are spread
	firstPollSpread Duration // the same for the first polls after a start
	maxRetryPoll    Duration // longest wait after a failed poll
	awaitFirstPoll  bool     // no attempt goes out by a list from before the start until the first poll has ended
}

func newDerivedConfig(config Config) derivedConfig {
	derived := derivedConfig{
		zone:                 config.Zone,
		position:             config.Position,
		dispatchers:          config.Dispatchers,
		dispatcherShare:      1 / float64(config.Dispatchers),
		dispatchersPerWorker: config.Dispatchers,

		pollEndpoints:   config.PollEndpoints,
		cancellation:    config.Cancellation,
		hedging:         config.Hedging,
		startNotices:    config.StartNotices,
		deliveryNotices: config.DeliveryNotices,
		gossip:          config.Gossip && config.Dispatchers > 1,
		probes:          config.Probes && config.ReportsOnProbe,
		reportInFlight:  config.ReportInFlight,
		reportQueue:     config.ReportQueue,
		reportFree:      config.ReportFree,

		maxAttempts:          config.MaxAttempts,
		patience:             forever,
		margin:               2*config.Granularity + Second/1000,
		overQuotaShare:       config.OverQuotaShare,
		crossZoneCost:        config.CrossZoneCost,
		worstOperationWeight: config.WorstOperationWeight / 2,
		valuePerRequest:      config.ValuePerRequest,

		initialWarmup:  config.InitialWarmup,
		overloadFactor: config.OverloadFactor,
		warmupDuration: config.WarmupDuration,
		warmupWindow:   config.WarmupWindow,

		maxPollInterval: config.MaxPollInterval,
		pollSpread:      min(config.MaxPollInterval*Duration(config.Dispatchers)/pollsPerInterval, Duration(maxPollSpread*float64(config.MaxPollInterval))),
		maxRetryPoll:    config.MaxPollInterval * 4 / 5,
	}
	derived.firstPollSpread = derived.pollSpread
	if config.EndpointChangeDeadline > 0 {
		derived.firstPollSpread = min(derived.pollSpread, config.EndpointChangeDeadline/3)
		derived.maxRetryPoll = min(derived.maxRetryPoll, config.EndpointChangeDeadline*2/3)
		derived.awaitFirstPoll = true
	}
	if derived.gossip && config.GossipCost > 0 { // peers are sent two messages for each attempt: its start and its end
		derived.dispatchersPerWorker = min(max(int(maxGossipShare/(2*config.GossipCost)), 1), config.Dispatchers)
	}
	for _, operation := range config.Operations {
		derived.patience = min(derived.patience, operation.LatencyObjective/10)
		derived.meanObjective += max(float64(operation.LatencyObjective), 1) / float64(len(config.Operations))
	}
	return derived
}

// keepStartupFigures copies from the configuration of the start what a later one cannot change: who this dispatcher
// is, how it learns of endpoints, and what workers and the network report.
func (c *derivedConfig) keepStartupFigures(startup *derivedConfig) {
	c.zone = startup.zone
	c.awaitFirstPoll = startup.awaitFirstPoll
	c.pollEndpoints = startup.pollEndpoints
	c.startNotices = startup.startNotices
	c.deliveryNotices = startup.deliveryNotices
	c.reportInFlight = startup.reportInFlight
	c.reportQueue = startup.reportQueue
	c.reportFree = startup.reportFree
}
