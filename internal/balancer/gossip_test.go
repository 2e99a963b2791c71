package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestLoadsOfSilentPeersExpire(t *testing.T) {
	const resendsToExpire = 3
	balancer, _ := newWarmBalancer(2, 1)
	balancer.ReceiveLoad(1, WorkerLoad{Worker: 0, InFlight: 3})
	balancer.ReceiveLoad(1, WorkerLoad{Worker: 0, InFlight: 2})
	assert.Equal(t, 2, balancer.load(0), "only the latest load of a peer counts")
	balancer.now = balancer.now.Add(resendsToExpire*balancer.gossip.resendInterval + 1)
	balancer.resendLoads()
	assert.Equal(t, 0, balancer.load(0))
}
