package balancer

import "math"

// operationTable holds the operations, by OperationID, with the statistics of their requests.
type operationTable struct {
	byID       []operation
	worst      OperationID // the operation that lost the largest share of its work, or noOperation before any loss
	totalValue float64     // of all requests that have arrived
}

// noOperation is the OperationID that refers to no operation.
const noOperation OperationID = -1

// operation is the configuration of an operation with the statistics of its requests.
type operation struct {
	operationSettings
	lateShare float64 // share of its value that a late answer earns

	operationStatistics
}

// operationSettings are the settings that two operations of the same name must share to have the same ID.
type operationSettings struct {
	name             string
	latencyObjective Duration
	dedupWindow      Duration
	retryAfter       Duration // Retry-After for rejected clients, 0 for none
	value            float64  // of an answer that meets the objective
	slack            float64  // OperationConfig.Stretch minus 1, at least 0
	idempotency      Idempotency
	dedupScope       DedupScope
	kind             KindID // the kind of worker that runs it, or AnyKind
}

type operationStatistics struct {
	longestTimeout Duration // the timeout of a client's first try
	arrivals       int
	meanSize       float64 // in ticks of work
	valueDensity   float64 // value per unit of work
	requestedWork  float64 // in ticks
	lostWork       float64 // work of requests that were rejected or failed, in ticks
	runs           int     // successful attempts
	meanRun        float64 // mean run time of successful attempts, in ticks
}

func newOperationTable(config Config) operationTable {
	table := operationTable{worst: noOperation}
	for _, opConfig := range config.Operations {
		table.byID = append(table.byID, newOperation(config, opConfig))
	}
	return table
}

// newOperation returns an operation without statistics. Rejected clients get the longest permitted Retry-After, but
// only if a late answer still has value: it is better to retry after the overload than soon.
func newOperation(config Config, opConfig OperationConfig) operation {
	op := operation{lateShare: opConfig.LateShare, operationSettings: operationSettings{
		name:             opConfig.Name,
		latencyObjective: opConfig.LatencyObjective,
		dedupWindow:      opConfig.DedupWindow,
		value:            opConfig.Value,
		slack:            max(opConfig.Stretch-1, 0),
		idempotency:      opConfig.Idempotency,
		dedupScope:       opConfig.DedupScope,
		kind:             opConfig.Kind,
	}}
	if config.Rejections.RetryAfter && opConfig.LateShare > 0 {
		op.retryAfter = config.Rejections.MaxRetryAfter
	}
	return op
}

// findOrAdd returns the ID of an operation with the same settings, or adds the operation. IDs are never reused, because
// a request may still be open under an old ID, and because equal calls must return equal IDs in each shard. An
// operation whose settings have changed inherits the statistics of its name. The late share is not one of these
// settings: a change of the late share alone has no effect.
func (t *operationTable) findOrAdd(added operation) OperationID {
	latest := -1
	for n := range t.byID {
		if t.byID[n].name != added.name {
			continue
		}
		if t.byID[n].operationSettings == added.operationSettings {
			return OperationID(n)
		}
		latest = n
	}
	if latest >= 0 {
		added.operationStatistics = t.byID[latest].operationStatistics
	}
	t.byID = append(t.byID, added)
	return OperationID(len(t.byID) - 1)
}

// observeArrival adds a request of the given size to the statistics. valuePerRequest is 1 if value is billed by
// request, 0 if by unit of work.
func (t *operationTable) observeArrival(id OperationID, size Work, valuePerRequest float64) {
	op := &t.byID[id]
	op.meanSize += sampleWeight(op.arrivals) * (float64(size) - op.meanSize)
	op.arrivals++
	op.requestedWork += float64(size)
	op.valueDensity = op.value / math.Pow(max(op.meanSize, 1), valuePerRequest)
	t.totalValue += op.valueDensity * float64(size)
}

// observeLoss records a request that was not served, and reports whether the worst operation has changed.
func (t *operationTable) observeLoss(id OperationID, size Work) (worstChanged bool) {
	op := &t.byID[id]
	op.lostWork += float64(size)
	if t.worst != noOperation && !op.lostMoreThan(&t.byID[t.worst]) {
		return false
	}
	t.worst = id
	return true
}

// lostMoreThan reports whether the operation lost a larger share of its work than the other one.
func (op *operation) lostMoreThan(other *operation) bool {
	return op.lostWork*other.requestedWork > other.lostWork*op.requestedWork
}

// observeRun records the run time of a successful attempt.
func (op *operation) observeRun(runTime Duration) {
	earlier := op.runs
	op.runs++
	if runTime > 0 {
		op.meanRun += sampleWeight(earlier) * (float64(runTime) - op.meanRun)
	}
}

// expectedRun returns the expected run time of a request: the mean hinted size, or the mean observed run time if there
// are no hints. Without the observed run times, an overloaded worker would be retried immediately, because its work
// would appear to take no time.
func (op *operation) expectedRun() Duration {
	if op.meanSize < 1 {
		return Duration(op.meanRun)
	}
	return Duration(op.meanSize)
}
