package balancer

import "cmp"

// comparePriority orders pending requests by descending priority, and those of equal priority by ascending latest
// start.
func (b *Balancer) comparePriority(first, second RequestID) int {
	x := b.requests.get(first)
	y := b.requests.get(second)
	if order := cmp.Compare(b.priority(y), b.priority(x)); order != 0 {
		return order
	}
	return cmp.Compare(x.latestStart, y.latestStart)
}

// priority returns the value that a unit of the request's work yields. A late answer yields only a share of the value.
// The operation that lost the largest share of its work also gets a part of the weight that the objective function
// assigns to that loss. Requests beyond their tenant's quota weigh less.
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
