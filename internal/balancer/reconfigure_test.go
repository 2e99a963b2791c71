package balancer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// namedTerms are testConfig with names: o0, o1 and so on, and a customer alone.
func namedTerms() Config {
	t := testConfig
	t.Operations, t.Tenants = slices.Clone(t.Operations), []TenantConfig{{Quota: 1e9, Name: "a"}}
	for n := range t.Operations {
		t.Operations[n].Name = fmt.Sprint("o", n)
	}
	return t
}

// retuned has two warm workers and an invocation of the first operation, idempotent, whose first forward is
// out.
func retuned(t *testing.T) (*Balancer, *recorder) {
	b := &recorder{}
	d := New(namedTerms(), 1, b)
	d.SetTime(100 * Second)
	d.UpdateEndpoints([]Endpoint{{Worker: 0, ID: "a"}, {Worker: 1, ID: "b"}}, true, true)
	d.RequestArrived(0, Arrival{Operation: 0, Timeout: 5 * Second, SizeHint: 100})
	d.RunDueRules()
	assert.Len(t, d.requests.byID[0].attempts, 1)
	return d, b
}

// Guards against work that changes its class under way: what may be repeated, and what may not, is what it
// landed as.
func TestWhatIsOpenKeepsTheTermsItLandedWith(t *testing.T) {
	d, b := retuned(t)
	stricter := namedTerms()
	stricter.Operations[0].Idempotency = NonIdempotent
	numbers := d.Reconfigure(stricter).Operations
	assert.Equal(t, []OperationID{5, 1, 2, 3, 4}, numbers, "those that are as they were keep their numbers")
	d.RequestArrived(1, Arrival{Operation: numbers[0], Timeout: 5 * Second, SizeHint: 100})
	d.RunDueRules()
	d.AttemptEnded(1, 0, ConnectionReset, false)
	d.RunDueRules()
	assert.Contains(t, b.lines, "error 1", "it may not run again")
	d.AttemptEnded(0, 0, ConnectionReset, false)
	d.RunDueRules()
	assert.Len(t, d.requests.byID[0].attempts, 2, "this one may")
	assert.Equal(t, d.operations.byID[0].longestTimeout, d.operations.byID[5].longestTimeout, "it goes on with what was learnt")
	assert.Equal(t, []OperationID{0, 1, 2, 3, 4}, d.Reconfigure(namedTerms()).Operations, "a class that is back as it was")
	gone := namedTerms()
	gone.Operations = gone.Operations[4:]
	assert.Equal(t, []OperationID{4}, d.Reconfigure(gone).Operations)
	d.AttemptEnded(0, 1, Succeeded, true)
	assert.True(t, d.requests.byID[0].closed, "its class is no longer there")
}

func TestFewerForwardsBindAtOnceAndMoreDoNot(t *testing.T) {
	d, b := retuned(t)
	few := namedTerms()
	few.MaxAttempts = 1
	d.Reconfigure(few)
	d.AttemptEnded(0, 0, Overloaded, false)
	d.RunDueRules()
	assert.Contains(t, b.lines, "throttle 0 back 20000")
	d.RequestArrived(0, Arrival{Operation: 0, Timeout: 5 * Second, SizeHint: 100})
	d.RunDueRules()
	d.Reconfigure(namedTerms())
	assert.Len(t, d.requests.byID[0].attempts, 1)
	d.AttemptEnded(0, 0, Overloaded, false)
	d.RunDueRules()
	assert.True(t, d.requests.byID[0].closed, "it landed when one was allowed")
	d.SetTime(d.now + 2*Second)
	d.RequestArrived(1, Arrival{Operation: 0, Timeout: 5 * Second, SizeHint: 100})
	d.RunDueRules()
	d.AttemptEnded(1, 0, Overloaded, false)
	d.RunDueRules()
	assert.Len(t, d.requests.byID[1].attempts, 2)
}

// Guards against an invocation that waits for a worker it may no longer be sent to.
func TestWhatMayNoLongerBeForwardedIsGivenUpAtOnce(t *testing.T) {
	d, b := retuned(t)
	for w := range d.workers { // the others are full too
		d.workers[w].probeAfter = d.now + 4*Second
	}
	d.AttemptEnded(0, 0, Overloaded, false)
	d.RunDueRules()
	assert.True(t, d.requests.byID[0].queued)
	few := namedTerms()
	few.MaxAttempts = 1
	d.Reconfigure(few)
	assert.Contains(t, b.lines, "throttle 0 back 20000")
}

func TestCustomersAreKnownByNameOverTerms(t *testing.T) {
	first := namedTerms()
	first.Tenants = []TenantConfig{{Quota: 2, Name: "a"}, {Quota: 2, Name: "b"}}
	d := New(first, 1, &recorder{})
	for range 100 {
		d.quotaWeight(1)
	}
	next := first
	next.Tenants = []TenantConfig{{Quota: 2, Name: "b"}, {Quota: 2, Name: "c"}}
	numbers := d.Reconfigure(next).Tenants
	assert.Equal(t, []TenantID{1, 2}, numbers, "each name keeps its number for good")
	assert.Less(t, d.quotaWeight(numbers[0]), 1.0, "beyond its share, also at another place")
	assert.Equal(t, 1.0, d.quotaWeight(numbers[1]))
	assert.Equal(t, 1.0, d.quotaWeight(0), "what still lands by the old names is booked on its own customer")
	assert.Equal(t, []TenantID{0}, d.Reconfigure(Config{Dispatchers: 2, Tenants: first.Tenants[:1]}).Tenants)
}
