package balancer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// namedConfig are testConfig with names: o0, o1 and so on, and a tenant alone.
func namedConfig() Config {
	t := testConfig
	t.Operations, t.Tenants = slices.Clone(t.Operations), []TenantConfig{{Quota: 1e9, Name: "a"}}
	for n := range t.Operations {
		t.Operations[n].Name = fmt.Sprint("o", n)
	}
	return t
}

// newReconfigured has two warm workers and a request of the first operation, idempotent, whose first attempt is
// out.
func newReconfigured(t *testing.T) (*Balancer, *recorder) {
	effects := &recorder{}
	balancer := New(namedConfig(), 1, effects)
	balancer.SetTime(100 * Second)
	balancer.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "a"}, {Worker: 1, ID: "b"}}, AllEndpoints, FromDiscovery)
	balancer.RequestArrived(0, Arrival{Operation: 0, Timeout: 5 * Second, SizeHint: 100})
	balancer.RunDueRules()
	assert.Len(t, balancer.requests.byID[0].attempts, 1)
	return balancer, effects
}

// Regression test for work that changes its class under way: what may be repeated, and what may not, is what it
// arrived as.
func TestOpenRequestKeepsTheConfigurationItArrivedWith(t *testing.T) {
	balancer, effects := newReconfigured(t)
	stricter := namedConfig()
	stricter.Operations[0].Idempotency = NonIdempotent
	numbers := balancer.Reconfigure(stricter).Operations
	assert.Equal(t, []OperationID{5, 1, 2, 3, 4}, numbers, "those that are as they were keep their numbers")
	balancer.RequestArrived(1, Arrival{Operation: numbers[0], Timeout: 5 * Second, SizeHint: 100})
	balancer.RunDueRules()
	balancer.AttemptEnded(1, 0, ConnectionReset, NoAnswer)
	balancer.RunDueRules()
	assert.Contains(t, effects.lines, "fail 1", "it may not run again")
	balancer.AttemptEnded(0, 0, ConnectionReset, NoAnswer)
	balancer.RunDueRules()
	assert.Len(t, balancer.requests.byID[0].attempts, 2, "this one may")
	assert.Equal(t, balancer.operations.byID[0].longestTimeout, balancer.operations.byID[5].longestTimeout, "it goes on with what was learned")
	assert.Equal(t, []OperationID{0, 1, 2, 3, 4}, balancer.Reconfigure(namedConfig()).Operations, "a class that is back as it was")
	gone := namedConfig()
	gone.Operations = gone.Operations[4:]
	assert.Equal(t, []OperationID{4}, balancer.Reconfigure(gone).Operations)
	balancer.AttemptEnded(0, 1, Succeeded, FinalAnswer)
	assert.True(t, balancer.requests.byID[0].closed, "its class is no longer there")
}

func TestLowerAttemptLimitBindsAtOnceAndHigherDoesNot(t *testing.T) {
	balancer, effects := newReconfigured(t)
	few := namedConfig()
	few.MaxAttempts = 1
	balancer.Reconfigure(few)
	balancer.AttemptEnded(0, 0, Overloaded, NoAnswer)
	balancer.RunDueRules()
	assert.Contains(t, effects.lines, "reject 0, retry after 20000")
	balancer.RequestArrived(0, Arrival{Operation: 0, Timeout: 5 * Second, SizeHint: 100})
	balancer.RunDueRules()
	balancer.Reconfigure(namedConfig())
	assert.Len(t, balancer.requests.byID[0].attempts, 1)
	balancer.AttemptEnded(0, 0, Overloaded, NoAnswer)
	balancer.RunDueRules()
	assert.True(t, balancer.requests.byID[0].closed, "it arrived when one was allowed")
	balancer.SetTime(balancer.now + 2*Second)
	balancer.RequestArrived(1, Arrival{Operation: 0, Timeout: 5 * Second, SizeHint: 100})
	balancer.RunDueRules()
	balancer.AttemptEnded(1, 0, Overloaded, NoAnswer)
	balancer.RunDueRules()
	assert.Len(t, balancer.requests.byID[1].attempts, 2)
}

// Regression test for a request that waits for a worker it may no longer be sent to.
func TestRequestWithoutAttemptsLeftIsRejectedAtOnce(t *testing.T) {
	balancer, effects := newReconfigured(t)
	for w := range balancer.workers { // the others are full too
		balancer.workers[w].health.ProbeAfter = balancer.now + 4*Second
	}
	balancer.AttemptEnded(0, 0, Overloaded, NoAnswer)
	balancer.RunDueRules()
	assert.True(t, balancer.requests.byID[0].queued)
	few := namedConfig()
	few.MaxAttempts = 1
	balancer.Reconfigure(few)
	assert.Contains(t, effects.lines, "reject 0, retry after 20000")
}

func TestTenantsKeepTheirNumbersByName(t *testing.T) {
	first := namedConfig()
	first.Tenants = []TenantConfig{{Quota: 2, Name: "a"}, {Quota: 2, Name: "b"}}
	balancer := New(first, 1, &recorder{})
	for range 100 {
		balancer.quotaWeight(1)
	}
	next := first
	next.Tenants = []TenantConfig{{Quota: 2, Name: "b"}, {Quota: 2, Name: "c"}}
	numbers := balancer.Reconfigure(next).Tenants
	assert.Equal(t, []TenantID{1, 2}, numbers, "each name keeps its number for good")
	assert.Less(t, balancer.quotaWeight(numbers[0]), 1.0, "beyond its share, also at another place")
	assert.Equal(t, 1.0, balancer.quotaWeight(numbers[1]))
	assert.Equal(t, 1.0, balancer.quotaWeight(0), "what still arrives by the old names is booked on its own tenant")
	assert.Equal(t, []TenantID{0}, balancer.Reconfigure(Config{Dispatchers: 2, Tenants: first.Tenants[:1]}).Tenants)
}
