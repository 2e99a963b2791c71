package balancer

import (
	"math"
	"slices"
)

const (
	quotaSample = 16  // requests of a tenant within its quota that tell its rate from chance
	quotaMargin = 1.5 // times its quota is let pass as chance
)

// quotas owns the tenants, by TenantID, and their recent usage.
type quotas struct{ tenants []tenant }

type tenant struct {
	name    string
	quota   float64 // requests a second here that count in full, perhaps infinite
	usage   float64 // requests that arrived, decaying with time
	usageAt Time    // when usage was last reckoned
}

func newQuotas(configs []TenantConfig, dispatcherShare float64) quotas {
	var made quotas
	for _, config := range configs {
		made.tenants = append(made.tenants, tenant{name: config.Name, quota: config.Quota * dispatcherShare})
	}
	return made
}

// assign sets the quota of a tenant, and returns its number. A tenant keeps its number for good.
func (q *quotas) assign(name string, quota float64) TenantID {
	n := slices.IndexFunc(q.tenants, func(known tenant) bool { return known.name == name })
	if n < 0 {
		n = len(q.tenants)
		q.tenants = append(q.tenants, tenant{name: name})
	}
	q.tenants[n].quota = quota
	return TenantID(n)
}

// weight counts a request of a tenant and returns its weight, 1 within the quota: the shares of its recent requests
// within the quota and beyond it, as nobody can know on which side this one is.
func (q *quotas) weight(id TenantID, now Time, overQuotaShare float64) float64 {
	tenant := &q.tenants[id]
	seconds := max(2, quotaSample/tenant.quota) // in which usage decays
	tenant.usage = tenant.usage*math.Exp(-float64(now.Sub(tenant.usageAt))/Second/seconds) + 1
	tenant.usageAt = now
	within := min(1, quotaMargin*tenant.quota*seconds/tenant.usage)
	return within + (1-within)*overQuotaShare
}

// quotaWeight counts a request of a tenant that arrives now, and returns its weight.
func (b *Balancer) quotaWeight(id TenantID) float64 {
	return b.quotas.weight(id, b.now, b.config.overQuotaShare)
}
