package balancer

// OperationConfig is the configuration of one operation.
type OperationConfig struct {
	Name             string   // by which other configurations know it
	LatencyObjective Duration // an answer is late after it
	DedupWindow      Duration // how long workers remember the key of a request
	Value            float64  // of an answer in time
	LateShare        float64  // share of the value that a late answer earns
	Stretch          float64  // the objective grows by this many times the size, the run itself included
	Idempotency      Idempotency
	DedupScope       DedupScope
	Kind             KindID // the one kind of worker that runs it, or AnyKind
}

// TenantConfig is the configuration of one tenant.
type TenantConfig struct {
	Quota float64 // requests a second that count in full, perhaps infinite
	Name  string  // by which other configurations know it
}

// Config is the configuration of one dispatcher. New derives its figures from it and keeps no reference to it.
type Config struct {
	Dispatchers, Kinds                               int
	Position                                         int     // this dispatcher's number among all, from 0
	GossipCost                                       float64 // price of a message to a peer, against the value of a request
	Zone                                             ZoneID  // this dispatcher's zone
	Operations                                       []OperationConfig
	Tenants                                          []TenantConfig
	Granularity                                      Duration // of the platform's scheduling
	MaxPollInterval                                  Duration // longest time without a poll that the platform allows
	MaxRetryAfter                                    Duration // longest advice to a rejected client
	EndpointChangeDeadline                           Duration // every dispatcher is expected to know a change so long after it, even if its polls failed; 0 for none
	WarmupDuration, WarmupWindow                     Duration
	InitialWarmup                                    float64 // share of its capacity that a worker has as it starts
	OverloadFactor                                   float64 // a warming worker breaks at this many times its capacity
	OverQuotaShare                                   float64 // weight of a request beyond its tenant's quota
	CrossZoneCost                                    float64 // price of an attempt in another zone
	PollEndpoints, Cancellation, Hedging, RetryAfter bool
	Probes, Gossip, StartNotices, ReportsOnProbe     bool
	DeliveryNotices                                  bool    // the caller reports that a worker has received an attempt
	WorstOperationWeight                             float64 // weight in the goal of the operation that loses most
	ValuePerRequest                                  float64 // 1 if value is billed by request, 0 if by unit of work
	MaxAttempts                                      int
	ReportInFlight, ReportQueue, ReportFree          ReportIndex
}
