package settings

// Keys and words of the platform's settings. The comment of each constant gives the term of the field; for a number,
// its unit follows after a semicolon. The table of wire names in docs/glossary.md has the same rows.

// Keys and words at the top level.
const (
	keyDispatchers      = "balancers"          // number of dispatchers
	keyPosition         = "position"           // number of this dispatcher among all; index, from 0
	keyZone             = "zone"               // zone of this dispatcher; index, from 0
	keyKinds            = "shapes"             // kinds of workers
	keyGranularity      = "granularityS"       // scheduling granularity; seconds
	keyOverQuotaValue   = "surplusBilledValue" // value of a request beyond its tenant's quota; share of the value within it
	keyValueBasis       = "billedValueBasis"   // what value is counted by
	wordValueByWork     = "work"               // value counted by unit of work, rather than by request
	keyDiscoveryMode    = "registryMode"       // discovery mode
	wordPolledDiscovery = "subscribe"          // discovery by polling, rather than by push
	wordPushedDiscovery = "automatic"          // discovery by push
	keyTenants          = "orgs"               // tenants
	keyName             = "name"               // name of an operation or tenant
	keyQuota            = "quotaPerS"          // quota of a tenant over all dispatchers; requests per second, 0 for none
)

// Keys of the objective function and the prices.
const (
	keyGoal               = "goal"        // objective function
	keyGoalWholeRun       = "whole"       // weight of the whole run; share of the objective function
	keyGoalWorstWindow    = "worstWindow" // weight of the worst window; share of the objective function
	keyGoalWorstOperation = "worstClass"  // weight of the worst operation; share of the objective function
	keyPrices             = "prices"      // prices
	keyGossipPrice        = "peer"        // price of a gossip message of the greatest length; value of a request
	keyCrossZonePrice     = "crossZone"   // price of an attempt in another zone; value of a request
)

// Keys of the policy limits.
const (
	keyPolicyLimits  = "policyLimits"   // policy limits
	keyMaxAttempts   = "maxForwards"    // maximum attempts of a request; attempts
	keyMaxRetryAfter = "maxRetryAfterS" // maximum Retry-After; seconds
	keyCancellation  = "mayCancel"      // cancellation of attempts is allowed
	keyHedging       = "secondCopies"   // hedged requests are allowed
	keyHealthChecks  = "probes"         // health checks are allowed
	keyGossip        = "peers"          // gossip is allowed
	keyRetryAfter    = "retryAfter"     // clients get a Retry-After
)

// Keys of the rules that workers and the discovery service impose.
const (
	keyRules           = "rules"          // rules
	keyMaxPollInterval = "askWithinS"     // maximum interval between polls of the endpoint list; seconds
	keyWarmupDuration  = "rampTimeS"      // warm-up duration; seconds
	keyWarmupWindow    = "fallS"          // warm-up window, over which overload is counted; seconds
	keyInitialWarmup   = "coldFrom"       // warm-up factor at the start; share of the capacity
	keyOverloadFactor  = "overloadFactor" // overload at which a warming worker fails; multiple of its present capacity
	keyDrainGrace      = "drainGraceS"    // grace period for attempts to a draining worker; seconds
)

// Keys and words of an operation.
const (
	keyOperations       = "operations"        // operations
	keyLatencyObjective = "latencyObjectiveS" // latency objective; seconds
	keyClientTimeout    = "clientTimeoutS"    // default client timeout of a request; seconds
	keyValue            = "billedValue"       // value of a response within the latency objective
	keyLateShare        = "tardyBilledValue"  // value of a late response; share of the value in time
	keyStretch          = "aimStretch"        // growth of the objective with a request's size; multiple of the size
	keyIdempotency      = "repeat"            // idempotency
	wordIdempotent      = "idempotent"        // idempotent
	wordIdempotentByKey = "deduplicated"      // idempotent with an idempotency key
	wordNonIdempotent   = "at_most_once"      // non-idempotent
	keyDedupWindow      = "dedupWindowS"      // validity of an idempotency key; seconds
	keyDedupScope       = "dedupScope"        // workers that share idempotency keys
	wordScopeAll        = "all"               // idempotency keys shared by all workers
	wordScopeZone       = "zone"              // idempotency keys shared within a zone
	wordScopeCell       = "cell"              // idempotency keys shared within a cell
)

// Keys and words of load reports and of the properties of the workload.
const (
	keyLoadReport        = "report"       // load report
	keyLoadReportNames   = "names"        // values of a load report, in their order
	nameRequestsInFlight = "rif"          // requests in flight at a worker; requests
	nameQueuedRequests   = "q"            // requests in a worker's queue; requests
	nameWorkloadValue    = "x0"           // value of a load report that is particular to the workload
	keyLoadReportSource  = "how"          // source of load reports
	wordReportsOnProbe   = "on_probe"     // load reports with responses to health checks alone
	keyWorkload          = "familyInfo"   // facts of the workload
	keyStartNotices      = "tellsStart"   // workers report the start of an attempt
	keyWorkloadValue     = "reportX0"     // meaning of the value that is particular to the workload
	wordFreeSlots        = "free slots"   // free slots of a worker; slots
	keyOperationStretch  = "classStretch" // growth of the objective with the size, by operation; multiple of the size
	keyOperationKind     = "classKind"    // kind of workers that run an operation, by operation; index, from 0, or -1 for any
)
