package balancer

import "math"

// operationTable owns the operations, by OperationID, and what requests of each have shown.
type operationTable struct {
	byID       []operation
	worst      OperationID // the one that lost the largest share of its work, -1 before any loss
	totalValue float64     // of all requests that arrived
}

// operation is the configuration of an operation and what its requests have shown.
type operation struct {
	name             string
	latencyObjective Duration
	dedupWindow      Duration
	retryAfter       Duration // advice to rejected clients, 0 for none
	value            float64  // of an answer in time
	lateShare        float64  // share of its value that a late answer earns
	slack            float64  // the objective grows by this many times the size
	idempotency      Idempotency
	dedupScope       DedupScope
	kind             KindID // the kind of worker that runs it, or AnyKind

	operationStatistics
}

type operationStatistics struct {
	longestTimeout Duration // that of a client's first try
	arrivals       int
	meanSize       float64
	valueDensity   float64 // value per unit of work
	requestedWork  float64
	lostWork       float64 // of requests that were rejected or failed
	runs           int
	meanRun        float64 // how long attempts that succeeded took
}

func newOperationTable(config Config) operationTable {
	table := operationTable{worst: -1}
	for _, operation := range config.Operations {
		table.byID = append(table.byID, newOperation(config, operation))
	}
	return table
}

func newOperation(config Config, from OperationConfig) operation {
	made := operation{
		name:             from.Name,
		latencyObjective: from.LatencyObjective,
		dedupWindow:      from.DedupWindow,
		value:            from.Value,
		lateShare:        from.LateShare,
		slack:            max(from.Stretch-1, 0),
		idempotency:      from.Idempotency,
		dedupScope:       from.DedupScope,
		kind:             from.Kind,
	}
	if config.RetryAfter && from.LateShare > 0 { // a late answer still earns: better after the overload than soon
		made.retryAfter = config.MaxRetryAfter
	}
	return made
}

// assign returns the number of an operation with the same name and configuration, or adds one. Numbers are never
// used again: a request may be open under an old one, and the same calls give each shard the same numbers. One
// whose configuration has changed goes on with the statistics of its name.
func (t *operationTable) assign(added operation) OperationID {
	latest := -1
	for n := range t.byID {
		if t.byID[n].name != added.name {
			continue
		}
		if t.byID[n].sameConfig(&added) {
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

// sameConfig does not compare the late share: an operation of which nothing else changes keeps its number and its share.
func (o *operation) sameConfig(other *operation) bool {
	return o.latencyObjective == other.latencyObjective && o.dedupWindow == other.dedupWindow && o.retryAfter == other.retryAfter &&
		o.value == other.value && o.slack == other.slack &&
		o.idempotency == other.idempotency && o.dedupScope == other.dedupScope && o.kind == other.kind
}

// observeArrival counts a request of a size. valuePerRequest is 1 if value is billed by request, 0 if by unit of work.
func (t *operationTable) observeArrival(id OperationID, size Work, valuePerRequest float64) {
	o := &t.byID[id]
	o.meanSize += max(learningRate/4, 1/float64(1+o.arrivals)) * (float64(size) - o.meanSize)
	o.arrivals++
	o.requestedWork += float64(size)
	o.valueDensity = o.value / math.Pow(max(o.meanSize, 1), valuePerRequest)
	t.totalValue += o.valueDensity * float64(size)
}

// observeLoss counts a request that was not served, and tells whether another operation is now the worst.
func (t *operationTable) observeLoss(id OperationID, size Work) (worstChanged bool) {
	o := &t.byID[id]
	o.lostWork += float64(size)
	if t.worst >= 0 && o.lostWork*t.byID[t.worst].requestedWork <= t.byID[t.worst].lostWork*o.requestedWork {
		return false
	}
	t.worst = id
	return true
}

// observeRun counts how long an attempt that succeeded ran.
func (o *operation) observeRun(took Duration) {
	o.runs++
	if took > 0 {
		o.meanRun += max(learningRate/4, 1/float64(o.runs)) * (float64(took) - o.meanRun)
	}
}

// expectedRun is how long a request runs: by the sizes that its clients hint, or, where none do, by what has run.
// Without it an overloaded worker would be tried again at once, as its work would seem to take no time.
func (o *operation) expectedRun() Duration {
	if o.meanSize < 1 {
		return Duration(o.meanRun)
	}
	return Duration(o.meanSize)
}
