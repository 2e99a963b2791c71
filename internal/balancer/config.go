package balancer

// Config is the configuration of one dispatcher. New copies the settings that it needs and keeps no reference to it.
type Config struct {
	Dispatchers int    // number of dispatchers in the fleet, including this one; at least 1
	Position    int    // index of this dispatcher, from 0
	Zone        ZoneID // of this dispatcher
	Kinds       int    // number of kinds of worker, at least 1

	// Granularity is the maximum delay that the platform's scheduling adds to any event, in ticks.
	Granularity Duration

	Operations  []OperationConfig // at least one
	Quotas      QuotaConfig
	Attempts    AttemptConfig
	Rejections  RejectionConfig
	Objective   ObjectiveConfig
	Warmup      WarmupConfig
	Gossip      GossipConfig
	Discovery   DiscoveryConfig
	LoadReports LoadReportConfig
}

// OperationConfig is the configuration of one operation. The latency objective of a request is LatencyObjective plus
// Stretch times its size. An answer that takes longer is late.
type OperationConfig struct {
	Name             string   // identifies it across configurations
	LatencyObjective Duration // latency objective of a request of size 0
	DedupWindow      Duration // duration for which workers remember the key of a request; 0 if they do not
	Value            float64  // of an answer that meets the objective
	LateShare        float64  // share of the value that a late answer has, 0 to 1
	Stretch          float64  // multiple of the size that is added to LatencyObjective; less than 1 counts as 1
	Idempotency      Idempotency
	DedupScope       DedupScope
	Kind             KindID // the kind of worker that runs it, or AnyKind
}

// QuotaConfig configures tenants and their quotas.
type QuotaConfig struct {
	Tenants         []TenantConfig // at least one
	OverQuotaWeight float64        // weight of a request beyond its tenant's quota, 0 to 1
}

// TenantConfig is the configuration of one tenant.
type TenantConfig struct {
	Quota float64 // rate of requests that have full weight, per second, summed over all dispatchers; infinite for no quota
	Name  string  // identifies it across configurations
}

// AttemptConfig describes what the platform permits and reports about attempts.
type AttemptConfig struct {
	Max             int  // attempts per request, at least 1; with 0 no attempt is ever sent
	Cancellation    bool // attempts in flight may be canceled
	Hedging         bool // a request may have several attempts in flight
	StartNotices    bool // workers report the start of each attempt
	DeliveryNotices bool // the caller reports when a worker has received an attempt
}

// RejectionConfig configures the responses to rejected clients.
type RejectionConfig struct {
	RetryAfter    bool     // rejections have a Retry-After
	MaxRetryAfter Duration // the longest Retry-After; 0 for none
}

// ObjectiveConfig is the objective function that the dispatchers maximize.
type ObjectiveConfig struct {
	ValuePerRequest      float64 // 1 if value is billed by request, 0 if by unit of work
	WorstOperationWeight float64 // weight of the operation with the largest loss relative to all operations; 0 for none
	CrossZoneCost        float64 // cost of an attempt in another zone; 0 if it is free
}

// WarmupConfig describes how workers warm up, and how much load a warming worker can take.
type WarmupConfig struct {
	Duration       Duration // time from a worker's start until it is warm; 0 if workers are warm immediately
	InitialShare   float64  // share of its capacity that a worker has when it starts, 0 to 1
	Window         Duration // period over which the work sent to a warming worker is summed
	OverloadFactor float64  // multiple of its capacity within the window at which a warming worker breaks down
}

// GossipConfig configures the exchange of in-flight counts between dispatchers.
type GossipConfig struct {
	Enabled     bool
	MessageCost float64 // cost of a message to a peer, in units of the value of a request; 0 if it is free
}

// DiscoveryConfig configures how the endpoint list is obtained.
type DiscoveryConfig struct {
	Poll            bool     // the dispatcher polls the list, also where it is pushed by an agent that answers polls
	Pushed          bool     // the list is pushed: what the service has must be in use within DrainGrace
	DrainGrace      Duration // time for which attempts may still be sent to a worker after it has started to drain
	MaxPollInterval Duration // longest poll interval that the platform allows
	ChangeDeadline  Duration // time within which every dispatcher is expected to learn of a change; 0 for no deadline
}

// LoadReportConfig describes the load reports of workers: their contents, and when they are sent.
type LoadReportConfig struct {
	Probes    bool // workers may be probed
	OnProbe   bool // a report is returned in response to a probe
	InFlight  ReportIndex
	Queue     ReportIndex
	FreeSlots ReportIndex
}
