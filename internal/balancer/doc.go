// Package balancer decides which worker runs a request, when another attempt is made, and when a request is rejected.
//
// A Balancer holds the decisions of one dispatcher and does no I/O. Its caller sets the clock with SetTime, calls the
// method that names what has happened, such as RequestArrived or AttemptEnded, and then RunDueRules. The Balancer
// answers through Effects while these calls run. It is not safe for concurrent use. All moments and spans are a Time,
// in tenths of a millisecond, and all sizes a Work, in core time of the same unit.
//
// Picker makes one Balancer usable by goroutines that block, and Shards runs several pickers in one process, one a
// core. The package reads no configuration files, opens no sockets and starts no goroutines; it sees the wall clock
// only in the deadlines of contexts that a Picker hands out.
//
// Workers are chosen by the STAR rule (size-based task assignment by intervals with round-robin): a sample of size
// hints is cut into intervals of equal work, each interval has a block of the workers, taken from a ring ordered by
// hash and therefore the same at every dispatcher, and each dispatcher goes through its subset of a block in
// round-robin order. A worker with more in flight than twice the mean of its subset is passed over, and a request
// whose block is full borrows from the others.
//
// Each part of a Balancer is a struct that owns its state, in a file of its own:
//
//   - sizeIntervals: sampled hints and cut points (size_intervals.go)
//   - worker, zone: what is known of each worker and each zone (worker_table.go)
//   - subsetting: the ring, the subsets and their round-robin positions (subsetting.go, availability.go)
//   - slotEstimates: votes and estimates by kind of worker (slot_estimation.go)
//   - warmup, workerWarmup: how warm workers are and what they were sent (warmup.go)
//   - workerEjection, zone: consecutive failures and when to try again (ejection.go)
//   - pendingQueue: requests that wait for a worker (pending_queue.go)
//   - quotas: the usage of tenants (quotas.go)
//   - discovery: when the endpoint list is polled (discovery.go)
//   - gossip, workerGossip: what peers have in flight, and what they have to be told (gossip.go)
//   - requestTable, attempt: open requests and their attempts (open_requests.go, attempts.go)
//   - operationTable: configuration and statistics of operations (operations.go)
//
// The policy, which is what chooses workers, allows attempts and rejects requests, is in the files that policy in
// deploy/balancer.toml names.
package balancer
