package balancer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSilentPeersAreForgotten(t *testing.T) {
	d, _ := newWarmBalancer(2, 1)
	d.ReceiveLoad(1, Load{Worker: 0, InFlight: 3})
	d.ReceiveLoad(1, Load{Worker: 0, InFlight: 2})
	assert.Equal(t, 2, d.load(0))
	d.now += 3*d.gossip.resendInterval + 1
	d.resendLoads()
	assert.Equal(t, 0, d.load(0))
}
