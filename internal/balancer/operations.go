package balancer

import "math"

// operationTable owns the operations, by OperationID, and what requests of each have shown.
type operationTable struct {
	byID       []operation
	worst      OperationID // the one that lost the largest share of its work, or noOperation before any loss
	totalValue float64     // of all requests that arrived
}

// noOperation stands for an operation where there is none.
const noOperation OperationID = -1

// operation is the configuration of an operation and what its requests have shown.
type operation struct {
	operationTerms
	lateShare float64 // share of its value that a late answer earns

	operationStatistics
}

// operationTerms are what two operations of one name must have in common to share a number.
type operationTerms struct {
	name             string
	latencyObjective Duration
	dedupWindow      Duration
	retryAfter       Duration // advice to rejected clients, 0 for none
	value            float64  // of an answer in time
	slack            float64  // beyond the run itself, the objective grows by this many times the size
	idempotency      Idempotency
	dedupScope       DedupScope
	kind             KindID // the kind of worker that runs it, or AnyKind
}

type operationStatistics struct {
	longestTimeout Duration // that of a client's first try
	arrivals       int
	meanSize       float64 // in ticks of work
	valueDensity   float64 // value per unit of work
	requestedWork  float64 // in ticks
	lostWork       float64 // of requests that were rejected or failed, in ticks
	runs           int     // attempts that succeeded
	meanRun        float64 // how long they took, in ticks
}

func newOperationTable(config Config) operationTable {
	table := operationTable{worst: noOperation}
	for _, from := range config.Operations {
		table.byID = append(table.byID, newOperation(config, from))
	}
	return table
}

// newOperation returns an operation that has seen no request. Rejected clients get the longest advice to wait, and only
// where a late answer still earns something: it is better to come after the overload than soon.
func newOperation(config Config, from OperationConfig) operation {
	made := operation{lateShare: from.LateShare, operationTerms: operationTerms{
		name:             from.Name,
		latencyObjective: from.LatencyObjective,
		dedupWindow:      from.DedupWindow,
		value:            from.Value,
		slack:            max(from.Stretch-1, 0),
		idempotency:      from.Idempotency,
		dedupScope:       from.DedupScope,
		kind:             from.Kind,
	}}
	if config.Rejections.RetryAfter && from.LateShare > 0 {
		made.retryAfter = config.Rejections.MaxRetryAfter
	}
	return made
}

// assign returns the number of an operation with the same terms, or adds one. Numbers are never used again: a request
// may be open under an old one, and the same calls give each shard the same numbers. An operation whose terms have
// changed continues with the statistics of its name. The late share is no term: one that changes alone is not taken.
func (t *operationTable) assign(added operation) OperationID {
	latest := -1
	for n := range t.byID {
		if t.byID[n].name != added.name {
			continue
		}
		if t.byID[n].operationTerms == added.operationTerms {
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

// observeArrival counts a request of a size. valuePerRequest is 1 if value is billed by request, 0 if by unit of work.
func (t *operationTable) observeArrival(id OperationID, size Work, valuePerRequest float64) {
	op := &t.byID[id]
	op.meanSize += sampleWeight(op.arrivals) * (float64(size) - op.meanSize)
	op.arrivals++
	op.requestedWork += float64(size)
	op.valueDensity = op.value / math.Pow(max(op.meanSize, 1), valuePerRequest)
	t.totalValue += op.valueDensity * float64(size)
}

// observeLoss counts a request that was not served, and reports whether another operation is now the worst.
func (t *operationTable) observeLoss(id OperationID, size Work) (worstChanged bool) {
	op := &t.byID[id]
	op.lostWork += float64(size)
	if t.worst != noOperation && !op.lostMoreThan(&t.byID[t.worst]) {
		return false
	}
	t.worst = id
	return true
}

// lostMoreThan reports whether the operation lost a larger share of its work than another one.
func (op *operation) lostMoreThan(other *operation) bool {
	return op.lostWork*other.requestedWork > other.lostWork*op.requestedWork
}

// observeRun counts how long an attempt that succeeded ran.
func (op *operation) observeRun(took Duration) {
	earlier := op.runs
	op.runs++
	if took > 0 {
		op.meanRun += sampleWeight(earlier) * (float64(took) - op.meanRun)
	}
}

// expectedRun returns how long a request runs: by the sizes that its clients hint, or, where none do, by what has run.
// Without it an overloaded worker would be tried again at once, as its work would seem to take no time.
func (op *operation) expectedRun() Duration {
	if op.meanSize < 1 {
		return Duration(op.meanRun)
	}
	return Duration(op.meanSize)
}
