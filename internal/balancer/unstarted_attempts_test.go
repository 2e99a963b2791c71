package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// newDeliveryNoticesBalancer returns a Balancer whose caller reports when workers receive attempts.
func newDeliveryNoticesBalancer() (*Balancer, *recorder) {
	config := testConfig
	config.Attempts.DeliveryNotices = true
	config.LoadReports.FreeSlots = NotReported
	return newTestBalancer(config, 1, []Endpoint{{Worker: 0, ID: "w0"}, {Worker: 1, ID: "w1"}})
}

func TestUnstartedAttemptIsRedispatched(t *testing.T) {
	balancer, effects := newWarmBalancer(2, 1)
	submitRequest(balancer, 0, Arrival{Timeout: 10 * Second, SizeHint: 100})
	balancer.now = balancer.now.Add(balancer.config.startTimeout)
	balancer.RunDueRules()
	assert.Len(t, effects.lines, 3)
	assert.Equal(t, "cancel 0.0", effects.lines[2])
	assert.NotEqual(t, effects.lines[0], effects.lines[1], "the second attempt goes to the other worker")
}

// Regression test for an operation with a short objective that was hardly ever served, because its attempts were
// canceled before their worker could have reported a start.
func TestAttemptInDeliveryIsNotRedispatched(t *testing.T) {
	balancer, effects := newDeliveryNoticesBalancer()
	submitRequest(balancer, 0, Arrival{Timeout: 10 * Second, SizeHint: 100})
	assert.Len(t, effects.lines, 1)
	advance(balancer, balancer.config.startTimeout)
	assert.Len(t, effects.lines, 1, "the attempt may not have been delivered yet")
	balancer.AttemptDelivered(0, 0)
	advance(balancer, balancer.config.startTimeout-1)
	assert.Len(t, effects.lines, 1)
	advance(balancer, balancer.config.startTimeout)
	assert.Len(t, effects.lines, 3, "the attempt waits in its worker's queue")
	assert.Equal(t, "cancel 0.0", effects.lines[2])
}

// Regression test for attempts that were never redispatched because their worker reported nothing at all, and for a
// mean delivery time that undelivered attempts did not raise. The mean must stay limited.
func TestUndeliveredAttemptIsRedispatched(t *testing.T) {
	const nearDelivery = 100 // ticks until a worker in the zone receives an attempt
	balancer, effects := newDeliveryNoticesBalancer()
	balancer.zones[0].deliveryTime = nearDelivery
	submitRequest(balancer, 0, Arrival{Timeout: 10 * Second, SizeHint: 100})
	advance(balancer, balancer.config.startTimeout+deliveryMargin*nearDelivery)
	assert.Len(t, effects.lines, 3)
	assert.Greater(t, balancer.zones[0].deliveryTime, Duration(nearDelivery), "undelivered attempts count too")
	for range 1000 {
		balancer.zones[0].deliveryTime = min(balancer.zones[0].deliveryTime*2, balancer.config.warmupWindow)
		balancer.observeDelivery(&attempt{sentAt: balancer.now - 100*Second})
	}
	assert.LessOrEqual(t, balancer.zones[0].deliveryTime, balancer.config.warmupWindow/8)
}
