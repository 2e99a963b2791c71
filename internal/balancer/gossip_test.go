package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestLoadsOfSilentPeersAreForgotten(t *testing.T) {
	balancer, _ := newWarmBalancer(2, 1)
	balancer.ReceiveLoad(1, WorkerLoad{Worker: 0, InFlight: 3})
	balancer.ReceiveLoad(1, WorkerLoad{Worker: 0, InFlight: 2})
	assert.Equal(t, 2, balancer.load(0))
	balancer.now = balancer.now.Add(3*balancer.gossip.resendInterval + 1)
	balancer.resendLoads()
	assert.Equal(t, 0, balancer.load(0))
}
