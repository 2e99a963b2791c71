// Package balancer decides which worker runs a request, when another attempt is made, and when a request is rejected.
//
// # How it is driven
//
// A Balancer holds the decisions of one dispatcher and does no I/O. Its caller sets the clock with SetTime, calls the
// method that names what has happened, such as RequestArrived or AttemptEnded, and then RunDueRules. The Balancer
// answers through Effects while these calls run. It is not safe for concurrent use.
//
// Picker makes one Balancer usable by goroutines that block, and Shards runs several pickers in one process, one per
// core. Methods of a Balancer run under the lock of its Picker; in the simulator one goroutine calls them. The package reads no configuration files, opens no sockets and starts no goroutines. Only the deadlines of
// contexts that a Picker hands out go by the wall clock.
//
// # Worker choice
//
// Workers are chosen by the STAR rule (size-based task assignment by intervals with round-robin). Size hints are cut
// into intervals of equal work, and each interval has a block of the workers. Blocks are cut from a ring ordered by hash,
// which is the same at every dispatcher; each dispatcher goes through its subset of a block in round-robin order. A
// worker with more than twice the mean load of its subset is passed over. A request whose block is full borrows from the
// others.
//
// # Where each rule stands
//
//   - order in which rules are applied: rules.go.
//   - size intervals: package sizeinterval; ring and subsets: subsetting.go; choice: pick_worker.go, mean_load.go;
//     the search that finds candidates and decides nothing: worker_search.go.
//   - why a worker is passed over: eligibility.go, which lists every reason (exclusion).
//   - slow start of workers: slow_start.go (budget), warmup_credit.go (many dispatchers), warm_up.go (how warm one is),
//     process_exit.go (restarts that the endpoint list does not name yet).
//   - outlier ejection of workers and zones: package outlier, ejection.go; backoff after an overload: overload.go.
//   - slots of a worker: package slotestimate, slot_estimation.go.
//   - order of waiting requests: priority.go, pending.go; quotas of tenants: package quota.
//   - retries: retry.go; rejection and Retry-After: rejection.go; time limits: review.go.
//   - hedged requests: hedging.go; migration of unstarted attempts: unstarted_attempts.go.
//   - polling of the endpoint list and its backoff: package polling.
//   - load between dispatchers: gossip.go; load reports of workers: load_probes.go.
//   - hot restart: snapshot.go, migration.go, sibling.go; new configuration: reconfigure.go; power loss: fleet_restart.go.
//
// Time, Duration and Work are in ticks of a tenth of a millisecond: see package tick.
package balancer
