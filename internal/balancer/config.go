package balancer

// Config is the configuration of one dispatcher. New derives its figures from it and keeps no reference to it.
type Config struct {
	Dispatchers int    // of the fleet, this one included; from 1
	Position    int    // of this dispatcher among them, from 0
	Zone        ZoneID // of this dispatcher
	Kinds       int    // of workers, from 1

	// Granularity is how late the platform's scheduling may make anything, in ticks.
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

// OperationConfig is the configuration of one operation.
type OperationConfig struct {
	Name             string   // by which other configurations know it
	LatencyObjective Duration // an answer is late after it
	DedupWindow      Duration // how long workers remember the key of a request; 0 if they do not
	Value            float64  // of an answer in time
	LateShare        float64  // share of the value that a late answer earns, 0 to 1
	Stretch          float64  // the objective grows by this many times the size, the run itself included; up to 1 it does not
	Idempotency      Idempotency
	DedupScope       DedupScope
	Kind             KindID // the one kind of worker that runs it, or AnyKind
}

// QuotaConfig is what is known of tenants and their usage.
type QuotaConfig struct {
	Tenants         []TenantConfig // at least one
	OverQuotaWeight float64        // weight of a request beyond its tenant's quota, 0 to 1
}

// TenantConfig is the configuration of one tenant.
type TenantConfig struct {
	Quota float64 // requests a second, over all dispatchers, that count in full; infinite for no quota
	Name  string  // by which other configurations know it
}

// AttemptConfig is what the platform permits and reports of attempts.
type AttemptConfig struct {
	Max             int  // attempts of one request, from 1; with 0 nothing is ever sent
	Cancellation    bool // attempts that are in flight may be cancelled
	Hedging         bool // a request may have several attempts in flight
	StartNotices    bool // workers report that they have started an attempt
	DeliveryNotices bool // the caller reports that a worker has received an attempt
}

// RejectionConfig is what rejected clients are told.
type RejectionConfig struct {
	RetryAfter    bool     // they get advice when to retry
	MaxRetryAfter Duration // the longest advice; 0 for none
}

// ObjectiveConfig is what the dispatchers are to maximize.
type ObjectiveConfig struct {
	ValuePerRequest      float64 // 1 if value is billed by request, 0 if by unit of work
	WorstOperationWeight float64 // weight of the operation that loses most, against that of all; 0 for none
	CrossZoneCost        float64 // price of an attempt in another zone; 0 if it costs nothing
}

// WarmupConfig is how workers warm up, and what a warming one bears.
type WarmupConfig struct {
	Duration       Duration // until a worker that has started is warm; 0 if workers are warm at once
	InitialShare   float64  // of its capacity that a worker has as it starts, 0 to 1
	Window         Duration // over which the work sent to a warming worker is added up
	OverloadFactor float64  // a warming worker breaks down at this many times its capacity within the window
}

// GossipConfig is whether dispatchers exchange what they have in flight.
type GossipConfig struct {
	Enabled     bool
	MessageCost float64 // price of a message to a peer, in values of a request; 0 if it costs nothing
}

// DiscoveryConfig is how the endpoint list comes.
type DiscoveryConfig struct {
	Poll            bool     // the list is polled; otherwise it comes by itself
	MaxPollInterval Duration // longest time without a poll that the platform allows
	ChangeDeadline  Duration // every dispatcher is expected to know a change so long after it; 0 for no such deadline
}

// LoadReportConfig is what workers report of their load, and when.
type LoadReportConfig struct {
	Probes    bool // workers may be probed
	OnProbe   bool // a report comes as the answer to a probe
	InFlight  ReportIndex
	Queue     ReportIndex
	FreeSlots ReportIndex
}
