package balancer

// AssignedIDs are the numbers of the operations and tenants of a configuration, in their order there.
type AssignedIDs struct {
	Operations []OperationID
	Tenants    []TenantID
}

// Reconfigure takes a new configuration while requests are open, and returns the numbers of its operations and tenants.
//
// An operation whose configuration is as it was keeps its number; another one gets a new number and continues with the
// statistics of its name. So requests that arrived before keep the configuration that they arrived with. A tenant keeps
// its number for good, also while no configuration names it. So a request that was read under the old configuration and
// arrives after the new one counts where it belongs. A lower limit of attempts binds at once, a higher one only new
// requests. Which dispatcher this is, and what the platform reports, stay as they were at the start.
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

// limitAttempts binds open requests to the configured limit, and answers those that may not be attempted any more.
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

// Reconfigure takes a new configuration at all shards, and returns the numbers of its operations and tenants, which are
// the same at each. config counts processes, as that of the start did.
func (s *Shards) Reconfigure(config Config) (assigned AssignedIDs) {
	s.reconfiguring.Lock()
	defer s.reconfiguring.Unlock()
	s.updateAll(func(b *Balancer) { assigned = b.Reconfigure(config) })
	return assigned
}
