// Package quota weighs the requests of tenants by how far their recent usage is beyond their quota.
//
// A request beyond its tenant's quota is not refused for that: it counts for less, so that it waits behind others and
// leaves room to them.
package quota

import (
	"math"
	"slices"

	"canvasroute/internal/balancer/tick"
)

const (
	// sampleRequests is how many requests are enough to tell a tenant's rate from chance. Usage is averaged over the time
	// in which the quota allows as many.
	sampleRequests = 16
	// minWindowSeconds is the shortest time over which usage is averaged.
	minWindowSeconds = 2
	// tolerance is how many times its quota a tenant may use before its requests count for less.
	tolerance = 1.5
)

// Unlimited is the quota of a tenant that has none.
var Unlimited = math.Inf(1)

// Tenants owns the recent usage of the tenants, by number in the order in which they were added.
type Tenants struct{ tenants []tenant }

type tenant struct {
	name    string
	quota   float64 // requests a second that count in full, perhaps Unlimited
	usage   float64 // requests that arrived, decaying with time
	usageAt tick.Time
}

// Usage is how much a tenant has used of late.
type Usage struct {
	Requests float64 // that arrived, decaying with time
	At       tick.Time
}

// Assign sets the quota of a tenant, in requests a second, and returns its number. A tenant keeps its number for good.
func (t *Tenants) Assign(name string, quota float64) int {
	number := slices.IndexFunc(t.tenants, func(known tenant) bool { return known.name == name })
	if number < 0 {
		return t.Add(name, quota)
	}
	t.tenants[number].quota = quota
	return number
}

// Add adds a tenant, whatever others are called, and returns its number.
func (t *Tenants) Add(name string, quota float64) int {
	t.tenants = append(t.tenants, tenant{name: name, quota: quota})
	return len(t.tenants) - 1
}

// Weigh counts a request of a tenant that arrives now, and returns its weight: 1 within the quota and its tolerance,
// overQuotaWeight far beyond it. In between it is the mean over the tenant's recent requests, as nobody can say which
// of them are beyond.
func (t *Tenants) Weigh(number int, now tick.Time, overQuotaWeight float64) float64 {
	user := &t.tenants[number]
	window := max(minWindowSeconds, sampleRequests/user.quota)
	user.usage = user.usage*math.Exp(-float64(now.Sub(user.usageAt))/tick.Second/window) + 1
	user.usageAt = now
	within := min(1, tolerance*user.quota*window/user.usage)
	return within + (1-within)*overQuotaWeight
}

// Usage returns the recent usage of all tenants by their numbers.
func (t *Tenants) Usage() []Usage {
	var all []Usage
	for n := range t.tenants {
		all = append(all, Usage{Requests: t.tenants[n].usage, At: t.tenants[n].usageAt})
	}
	return all
}

// Restore replaces the recent usage of the first tenants.
func (t *Tenants) Restore(all []Usage) {
	for n := range min(len(t.tenants), len(all)) {
		t.tenants[n].usage = all[n].Requests
		t.tenants[n].usageAt = all[n].At
	}
}
