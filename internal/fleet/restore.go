package fleet

import (
	"encoding/json"
	"slices"
	"time"

	"canvasroute/internal/balancer"
	"canvasroute/internal/fleet/recovery"
	"canvasroute/internal/protocol"
	"canvasroute/internal/proxy"
)

// InitialEndpoints returns the newer of the configured and the stored endpoint list. Either may be nil.
func (n *Node) InitialEndpoints(configured *protocol.EndpointList) *protocol.EndpointList {
	snapshot, found := n.decodeStoredSnapshot()
	configuredIsNewer := configured != nil && configured.Version >= snapshot.Version
	if !found || configuredIsNewer {
		return configured
	}
	stored := &protocol.EndpointList{Version: snapshot.Version, Complete: true}
	for _, e := range snapshot.Endpoints {
		if e.State != protocol.Gone {
			stored.Endpoints = append(stored.Endpoints, e)
		}
	}
	n.log.Info().Int64("version", snapshot.Version).Int("workers", len(stored.Endpoints)).
		Msg("stored endpoint list is newer than the configured one")
	return stored
}

// decodeStoredSnapshot decodes the learned data in the stored state. found is false if there is no stored state or it
// cannot be decoded. State that cannot be decoded is dropped.
func (n *Node) decodeStoredSnapshot() (snapshot proxy.Snapshot, found bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.recovered.State == nil {
		return snapshot, false
	}
	if err := json.Unmarshal(n.recovered.State.Learned, &snapshot); err != nil {
		n.log.Warn().Err(err).Msg("stored record ignored")
		n.recovered.State = nil
		n.counters.factsDropped++
		return snapshot, false
	}
	return snapshot, true
}

// restore passes the trusted facts of the stored state and the data of peers to the balancer and the proxy. It is
// called once, before the first request is sent.
func (n *Node) restore(replies []recovery.PeerReply) {
	n.mu.Lock()
	outage := n.machine.Outage()
	state := n.recovered.State
	n.mu.Unlock()
	processStart := n.config.Now().Add(-balancer.DurationOf(n.uptime()))
	if state != nil {
		n.restoreStoredState(state.WrittenAt, outage)
	}
	n.balancer.DelayWarmingWorkers(processStart)
	if outage == recovery.FleetWide {
		n.balancer.ReportFleetRestart(processStart)
	}
	n.mergeReplies(replies)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log.Info().Stringer("case", outage).Int64("trusted", n.counters.factsTrusted).
		Int64("dropped", n.counters.factsDropped).Int("keys", n.keys.Count()).Msg("stored state restored")
}

// restoreStoredState restores the trusted facts of the stored state. writtenAt is Unix time in ms.
func (n *Node) restoreStoredState(writtenAt int64, outage recovery.Outage) {
	snapshot, found := n.decodeStoredSnapshot()
	if !found {
		return
	}
	age := recovery.NewRecordAge(writtenAt, time.Now().UnixMilli())
	n.dropUntrustedFacts(&snapshot, age, outage)
	n.proxy.RestoreFromDisk(snapshot)
	n.restoreDrains(snapshot)
}

// dropUntrustedFacts removes from a stored snapshot the facts that recovery.CheckTrust does not trust, and the data
// that were valid only at the time of writing.
func (n *Node) dropUntrustedFacts(snapshot *proxy.Snapshot, age recovery.RecordAge, outage recovery.Outage) {
	trustsCapacity := n.checkTrust(recovery.FactCapacity, age, outage)
	trustsSizes := n.checkTrust(recovery.FactSizes, age, outage)
	trustsBackoffs := n.checkTrust(recovery.FactBackoffs, age, outage)
	trustsQuotas := n.checkTrust(recovery.FactQuotas, age, outage)
	for shard := range snapshot.Learned {
		learned := &snapshot.Learned[shard]
		if !trustsCapacity {
			learned.Kinds = nil
		}
		if !trustsSizes {
			learned.Sample = nil
			learned.ObservedSizes = 0
			learned.TotalValue = 0
			learned.Operations = nil
		}
		if !trustsQuotas {
			learned.Tenants = nil
		}
		if !trustsBackoffs {
			learned.Zones = nil
		}
		learned.UnreportedNotBefore = 0
		learned.FreeSlotRatio = 1
		for w := range learned.Workers {
			worker := &learned.Workers[w]
			if !trustsBackoffs {
				*worker = balancer.WorkerStats{}
			}
			worker.PeerLoads = nil // the peers' requests have ended since
			worker.Sends = nil     // too old to count
		}
	}
}

// checkTrust reports whether a stored fact is trusted. It updates the counters, and logs why a fact is not trusted.
func (n *Node) checkTrust(fact recovery.Fact, age recovery.RecordAge, outage recovery.Outage) bool {
	reason := recovery.CheckTrust(fact, age, outage)
	n.mu.Lock()
	defer n.mu.Unlock()
	if reason == nil {
		n.counters.factsTrusted++
		return true
	}
	n.counters.factsDropped++
	n.log.Info().Str("fact", recovery.TrustRules[fact].Name).Str("why", reason.Error()).Msg("stored fact not trusted")
	return false
}

// restoreDrains applies the drains in the stored endpoint list to the current one, unless the current one is newer.
func (n *Node) restoreDrains(snapshot proxy.Snapshot) {
	version, endpoints := n.proxy.Endpoints()
	if version > snapshot.Version {
		return
	}
	var drained []protocol.Endpoint
	for _, stored := range snapshot.Endpoints {
		known := slices.IndexFunc(endpoints, func(e protocol.Endpoint) bool { return e.ID == stored.ID })
		if known >= 0 && stored.State == protocol.Terminating && endpoints[known].State == protocol.Ready {
			drained = append(drained, stored)
		}
	}
	if len(drained) > 0 {
		n.proxy.MergeEndpoints(drained)
	}
}

// readStoredMaxObserved returns, for each kind of worker, the highest number of concurrent requests of one worker that
// the stored state records.
func (n *Node) readStoredMaxObserved() map[string]float64 {
	maxObserved := map[string]float64{}
	snapshot, found := n.decodeStoredSnapshot()
	if !found || len(snapshot.Learned) == 0 {
		return maxObserved
	}
	for kind, stats := range snapshot.Learned[0].Kinds { // the first shard represents all shards
		if kind < len(snapshot.Kinds) && stats.MaxObserved > minObservedCapacity {
			maxObserved[snapshot.Kinds[kind]] = stats.MaxObserved
		}
	}
	return maxObserved
}
