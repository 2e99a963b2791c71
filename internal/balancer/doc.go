// Package balancer decides which worker runs a request, when another attempt is made, and when a request is rejected.
//
// # Usage
//
// A Balancer makes the decisions of one dispatcher and does no I/O. Its caller sets the clock with SetTime, reports an
// event with the corresponding method, such as RequestArrived or AttemptEnded, and then calls RunDueRules. The Balancer
// issues its decisions through Effects during these calls. It is not safe for concurrent use.
//
// A Picker makes a Balancer usable by concurrent, blocking goroutines. Shards runs several pickers in one process, one
// per core. The methods of a Balancer run with the lock of its Picker held; in the simulator, a single goroutine calls
// them. The package reads no configuration files, opens no sockets and starts no goroutines. Only the deadlines of the
// contexts that a Picker returns are based on the wall clock.
//
// # Worker choice
//
// Workers are chosen by the STAR rule (size-based task assignment by intervals with round-robin). Size hints are
// divided into intervals of equal total work, and each interval is assigned a block of workers. The blocks are cut from
// a ring ordered by hash, which is the same at every dispatcher. Each dispatcher cycles through its subset of a block
// in round-robin order and skips workers with more than twice the mean load of the subset. If all workers of its block
// are full, a request may use a worker of another block.
//
// # Source files
//
//   - order in which rules are applied: rules.go.
//   - size intervals: package sizeinterval; ring and subsets: subsetting.go; choice: pick_worker.go, mean_load.go;
//     search for candidate workers, without a decision: worker_search.go.
//   - reasons to skip a worker: eligibility.go, which lists all of them (exclusion).
//   - slow start of workers: slow_start.go (budget), warmup_credit.go (many dispatchers without gossip), warm_up.go
//     (warm-up progress of a worker), process_exit.go (restarts that the endpoint list does not contain yet).
//   - outlier ejection of workers and zones: package outlier, ejection.go; backoff after an overload: overload.go.
//   - slots of a worker: package slotestimate, slot_estimation.go.
//   - order of pending requests: priority.go, pending.go; quotas of tenants: package quota.
//   - retries: retry.go; rejection and Retry-After: rejection.go; time limits: review.go.
//   - hedged requests: hedging.go; redispatch of unstarted attempts: unstarted_attempts.go.
//   - polling of the endpoint list and its backoff: package polling.
//   - exchange of load between dispatchers: gossip.go; load reports of workers: load_probes.go.
//   - hot restart: snapshot.go, migration.go (requests), sibling.go; configuration changes: reconfigure.go; power
//     loss: fleet_restart.go.
//
// Time, Duration and Work are measured in ticks of 0.1 ms; see package tick.
package balancer
