package balancer

import "cmp"

// comparePriority orders pending requests: by priority, and among equals by their latest start, the earlier one first.
func (b *Balancer) comparePriority(first, second RequestID) int {
	x := b.requests.get(first)
	y := b.requests.get(second)
	if order := cmp.Compare(b.priority(y), b.priority(x)); order != 0 {
		return order
	}
	return cmp.Compare(x.latestStart, y.latestStart)
}

// priority returns what a unit of the request's work earns. A late answer earns a share of the value. The operation that
// lost the largest share of its work also gets the weight that the goal gives to such a loss. A request beyond its
// tenant's quota counts for less.
func (b *Balancer) priority(req *request) float64 {
	op := &b.operations.byID[req.operation]
	density := op.valueDensity
	if req.late {
		density *= op.lateShare
	}
	if req.operation == b.operations.worst {
		density += b.config.worstOperationWeight * b.operations.totalValue / max(op.requestedWork, 1)
	}
	return req.quotaWeight * density
}
