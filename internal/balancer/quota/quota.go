// Package quota weighs the requests of tenants by how far their recent usage exceeds their quota.
//
// A request beyond its tenant's quota is not rejected for that reason. It has a lower weight, so that it waits behind
// other requests and leaves slots to them.
package quota

import (
	"math"
	"slices"

	"canvasroute/internal/balancer/tick"
)

const (
	// sampleRequests is the number of requests needed to distinguish a tenant's rate from random variation. Usage is
	// averaged over the time in which the quota allows this number of requests.
	sampleRequests = 16
	// minWindowSeconds is the shortest time over which usage is averaged.
	minWindowSeconds = 2
	// tolerance is the multiple of its quota that a tenant may use before the weight of its requests drops.
	tolerance = 1.5
)

// Unlimited is the quota of a tenant without a limit.
var Unlimited = math.Inf(1)

// Tenants holds the recent usage of the tenants, numbered in the order in which they were added.
type Tenants struct{ tenants []tenant }

type tenant struct {
	name    string
	quota   float64 // requests per second with full weight, or Unlimited
	usage   float64 // number of requests, decaying with time
	usageAt tick.Time
}

// Usage is the recent usage of a tenant.
type Usage struct {
	Requests float64 // number of requests, decaying with time
	At       tick.Time
}

// SetQuota sets the quota of the named tenant, in requests per second, and returns the tenant's number, which never
// changes. It adds the tenant if the name is new.
func (t *Tenants) SetQuota(name string, quota float64) int {
	number := slices.IndexFunc(t.tenants, func(known tenant) bool { return known.name == name })
	if number < 0 {
		return t.Add(name, quota)
	}
	t.tenants[number].quota = quota
	return number
}

// Add adds a tenant, even if another one has the same name, and returns its number.
func (t *Tenants) Add(name string, quota float64) int {
	t.tenants = append(t.tenants, tenant{name: name, quota: quota})
	return len(t.tenants) - 1
}

// RecordRequest records a request of a tenant that arrives now, and returns its weight: 1 within the quota and its
// tolerance, close to overQuotaWeight far beyond it. In between the weight is the mean over the tenant's recent
// requests, because it is undefined which of them exceed the quota.
func (t *Tenants) RecordRequest(number int, now tick.Time, overQuotaWeight float64) float64 {
	user := &t.tenants[number]
	window := max(minWindowSeconds, sampleRequests/user.quota)
	user.usage = user.usage*math.Exp(-float64(now.Sub(user.usageAt))/tick.Second/window) + 1
	user.usageAt = now
	shareWithinQuota := min(1, tolerance*user.quota*window/user.usage)
	return shareWithinQuota + (1-shareWithinQuota)*overQuotaWeight
}

// Usage returns the recent usage of all tenants by their numbers.
func (t *Tenants) Usage() []Usage {
	var all []Usage
	for n := range t.tenants {
		all = append(all, Usage{Requests: t.tenants[n].usage, At: t.tenants[n].usageAt})
	}
	return all
}

// Restore replaces the recent usage of the first len(all) tenants.
func (t *Tenants) Restore(all []Usage) {
	for n := range min(len(t.tenants), len(all)) {
		t.tenants[n].usage = all[n].Requests
		t.tenants[n].usageAt = all[n].At
	}
}
