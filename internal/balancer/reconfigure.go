package balancer

// AssignedIDs holds the IDs of the operations and tenants of a configuration, in the order of the configuration.
type AssignedIDs struct {
	Operations []OperationID
	Tenants    []TenantID
}

// Reconfigure applies a new configuration while requests are open, and returns the IDs of its operations and tenants.
//
// An operation with an unchanged configuration keeps its ID. Any other operation gets a new ID and inherits the
// statistics of the operation with the same name, so open requests keep the configuration with which they arrived. A
// tenant keeps its ID permanently, even while no configuration contains it, so a request that was read under the old
// configuration but arrives after the change is counted for the right tenant. A lower attempt limit takes effect
// immediately, a higher one only for new requests. The position of this dispatcher and the values that the platform
// reports stay as they were at the start.
func (b *Balancer) Reconfigure(config Config) (assigned AssignedIDs) {
	config.Dispatchers = b.config.dispatchers
	config.Position = b.config.position
	config.Gossip.Enabled = b.config.gossip
	for _, op := range config.Operations {
		assigned.Operations = append(assigned.Operations, b.operations.findOrAdd(newOperation(config, op)))
	}
	for _, tenant := range config.Quotas.Tenants {
		number := b.tenants.SetQuota(tenant.Name, tenant.Quota*b.config.dispatcherShare)
		assigned.Tenants = append(assigned.Tenants, TenantID(number))
	}
	derived := newDerivedConfig(config)
	derived.keepStartupSettings(&b.config)
	b.config = derived
	b.polling.Reconfigure(derived.polling)
	b.updateSubsets()
	b.due.capacityChanged = true
	b.due.reviewAt = b.now
	b.limitAttempts()
	b.effects.Log(ConfigurationApplied{Operations: len(config.Operations), MaxAttempts: config.Attempts.Max})
	return assigned
}

// limitAttempts applies the configured attempt limit to open requests, and rejects or fails those that have no attempts
// left.
func (b *Balancer) limitAttempts() {
	for id := range b.requests.newestFirst() {
		req := b.requests.get(id)
		req.attemptLimit = min(req.attemptLimit, b.config.maxAttempts)
		isRetry := len(req.attempts) > 0 && req.inFlight == 0
		if isRetry && !b.mayAttemptAnywhere(req) {
			b.rejectOrFail(id)
		}
	}
}

// Reconfigure applies a new configuration to all shards, and returns the IDs of its operations and tenants, which are
// the same at all of them. As in NewShards, config.Dispatchers and config.Position are in units of processes.
func (s *Shards) Reconfigure(config Config) (assigned AssignedIDs) {
	s.operationIDsMu.Lock()
	defer s.operationIDsMu.Unlock()
	s.updateAll(func(b *Balancer) { assigned = b.Reconfigure(config) })
	return assigned
}
