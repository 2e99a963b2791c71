package balancer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// namedConfig returns testConfig with the operations named o0, o1 and so on, and one tenant named a.
func namedConfig() Config {
	config := testConfig
	config.Operations = slices.Clone(config.Operations)
	config.Quotas.Tenants = []TenantConfig{{Quota: 1e9, Name: "a"}}
	for n := range config.Operations {
		config.Operations[n].Name = fmt.Sprint("o", n)
	}
	return config
}

// newBalancerWithOpenRequest returns a Balancer with namedConfig, two warm workers, and request 0 of the idempotent
// operation with its first attempt in flight.
func newBalancerWithOpenRequest(t *testing.T) (*Balancer, *recorder) {
	t.Helper()
	balancer, effects := newTestBalancer(namedConfig(), 1, []Endpoint{{Worker: 0, ID: "a"}, {Worker: 1, ID: "b"}})
	submitRequest(balancer, 0, Arrival{Operation: idempotentOp, Timeout: 5 * Second, SizeHint: 100})
	assert.Len(t, balancer.requests.byID[0].attempts, 1)
	return balancer, effects
}

// Regression test for a request whose operation changes its idempotency while the request is open. The request keeps
// the idempotency with which it arrived.
func TestOpenRequestKeepsTheConfigurationItArrivedWith(t *testing.T) {
	const replacement OperationID = 5
	balancer, effects := newBalancerWithOpenRequest(t)
	stricter := namedConfig()
	stricter.Operations[idempotentOp].Idempotency = NonIdempotent
	ids := balancer.Reconfigure(stricter).Operations
	assert.Equal(t, []OperationID{replacement, 1, 2, 3, 4}, ids, "unchanged operations keep their IDs")
	submitRequest(balancer, 1, Arrival{Operation: replacement, Timeout: 5 * Second, SizeHint: 100})
	endFirstAttempt(balancer, 1, ConnectionReset)
	assert.Contains(t, effects.lines, "fail 1", "the repeat is not permitted, because the operation is no longer idempotent")
	endFirstAttempt(balancer, 0, ConnectionReset)
	assert.Len(t, balancer.requests.byID[0].attempts, 2, "the repeat is permitted, because the operation was idempotent when the request arrived")
	longestTimeout := func(id OperationID) Duration { return balancer.operations.byID[id].longestTimeout }
	assert.Equal(t, longestTimeout(idempotentOp), longestTimeout(replacement), "statistics are kept")
	restored := balancer.Reconfigure(namedConfig()).Operations
	assert.Equal(t, []OperationID{0, 1, 2, 3, 4}, restored, "an operation with its earlier configuration gets its earlier ID")
	onlyLast := namedConfig()
	onlyLast.Operations = onlyLast.Operations[4:]
	assert.Equal(t, []OperationID{4}, balancer.Reconfigure(onlyLast).Operations)
	balancer.AttemptEnded(0, 1, Succeeded, FinalAnswer)
	assert.True(t, balancer.requests.byID[0].closed, "its operation is no longer configured")
}

func TestLowerAttemptLimitAppliesToOpenRequestsAndHigherDoesNot(t *testing.T) {
	balancer, effects := newBalancerWithOpenRequest(t)
	oneAttempt := namedConfig()
	oneAttempt.Attempts.Max = 1
	balancer.Reconfigure(oneAttempt)
	endFirstAttempt(balancer, 0, Overloaded)
	assert.Contains(t, effects.lines, "reject 0, retry after 20000")
	submitRequest(balancer, 0, Arrival{Operation: idempotentOp, Timeout: 5 * Second, SizeHint: 100})
	balancer.Reconfigure(namedConfig())
	assert.Len(t, balancer.requests.byID[0].attempts, 1)
	endFirstAttempt(balancer, 0, Overloaded)
	assert.True(t, balancer.requests.byID[0].closed, "one attempt was allowed when it arrived")
	balancer.SetTime(balancer.now + 2*Second)
	submitRequest(balancer, 1, Arrival{Operation: idempotentOp, Timeout: 5 * Second, SizeHint: 100})
	endFirstAttempt(balancer, 1, Overloaded)
	assert.Len(t, balancer.requests.byID[1].attempts, 2)
}

// Regression test for a request that waited for a worker although it had no attempts left.
func TestRequestWithoutAttemptsLeftIsRejectedAtOnce(t *testing.T) {
	balancer, effects := newBalancerWithOpenRequest(t)
	for id := range balancer.workers {
		balancer.workers[id].health.ProbeAfter = balancer.now + 4*Second
	}
	endFirstAttempt(balancer, 0, Overloaded)
	assert.True(t, balancer.requests.byID[0].queued)
	oneAttempt := namedConfig()
	oneAttempt.Attempts.Max = 1
	balancer.Reconfigure(oneAttempt)
	assert.Contains(t, effects.lines, "reject 0, retry after 20000")
}

func TestTenantsKeepTheirIDsByName(t *testing.T) {
	first := namedConfig()
	first.Quotas.Tenants = []TenantConfig{{Quota: 2, Name: "a"}, {Quota: 2, Name: "b"}}
	balancer := New(first, 1, &recorder{})
	for range 100 {
		balancer.recordQuotaUsage(1)
	}
	second := first
	second.Quotas.Tenants = []TenantConfig{{Quota: 2, Name: "b"}, {Quota: 2, Name: "c"}}
	ids := balancer.Reconfigure(second).Tenants
	assert.Equal(t, []TenantID{1, 2}, ids, "each name keeps its ID")
	assert.Less(t, balancer.recordQuotaUsage(ids[0]), 1.0, "beyond its quota, although its position in the list has changed")
	assert.Equal(t, 1.0, balancer.recordQuotaUsage(ids[1]))
	assert.Equal(t, 1.0, balancer.recordQuotaUsage(0), "requests with an ID of the old configuration count for their own tenant")
	onlyFirst := Config{
		Dispatchers: 2,
		Quotas: QuotaConfig{
			Tenants: first.Quotas.Tenants[:1],
		},
	}
	assert.Equal(t, []TenantID{0}, balancer.Reconfigure(onlyFirst).Tenants)
}
