package daemon

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/valyala/fastjson"
)

// The number of dispatchers and workers in a configuration is not limited.
func TestConfigurationAcceptsManyDispatchersAndWorkers(t *testing.T) {
	const many = 1024
	configuration := fastjson.MustParse(testConfiguration)
	var peers, hosts []string
	for n := range many {
		peers = append(peers, fmt.Sprintf(`"10.3.%d.%d:7946"`, n/256, n%256))
		hosts = append(hosts, fmt.Sprintf(`{"host":"s-%06d","dial":"10.1.%d.%d:8080","health":"Ready","born_ms":0}`,
			n, n/256, n%256))
	}
	configuration.Set("peers", fastjson.MustParse("["+strings.Join(peers, ",")+"]"))
	configuration.Set("known", fastjson.MustParse(`{"seq":1,"whole":true,"hosts":[`+strings.Join(hosts, ",")+`]}`))
	configuration.Get("settings").Set("balancers", fastjson.MustParse("1024"))
	configuration.Get("settings").Set("position", fastjson.MustParse("1023"))
	c, err := parseConfig(configuration.MarshalTo(nil), fakeEnv())
	assert.NoError(t, err)
	assert.Len(t, c.Proxy.Peers, many)
	assert.Len(t, c.Proxy.InitialEndpoints.Endpoints, many)
	assert.Equal(t, many, c.Balancer.Dispatchers)
	assert.Equal(t, many-1, c.Balancer.Position)
}
