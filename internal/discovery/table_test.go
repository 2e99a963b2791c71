package discovery

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/protocol"
)

func TestRegistrationLogsNumberAndIDOnce(t *testing.T) {
	var log bytes.Buffer
	table := newTable()
	table.Update(&protocol.EndpointList{Endpoints: []protocol.Endpoint{{ID: "w"}}})
	table.log = zerolog.New(&log)
	v := protocol.Endpoint{ID: "v", Address: "127.0.0.1:2", State: protocol.Ready}
	table.Update(&protocol.EndpointList{Endpoints: []protocol.Endpoint{v}})
	table.Update(&protocol.EndpointList{Endpoints: []protocol.Endpoint{v}})
	line := `{"level":"info","worker":1,"host":"v","addr":"127.0.0.1:2","message":"worker registered"}`
	assert.JSONEq(t, line, log.String())
}

func TestUpdateReturnsOutdatedAddresses(t *testing.T) {
	table := newTable()
	update := func(complete bool, endpoints ...protocol.Endpoint) []string {
		_, outdated := table.Update(&protocol.EndpointList{Version: 8, Complete: complete, Endpoints: endpoints})
		addresses := []string{}
		for _, previous := range outdated {
			addresses = append(addresses, previous.Address)
		}
		return addresses
	}
	w := protocol.Endpoint{ID: "w", Address: "127.0.0.1:1", State: protocol.Ready}
	assert.Empty(t, update(false, w), "new worker")
	assert.Empty(t, update(false, w), "unchanged worker")
	w.StartedAtMillis = 1000
	assert.Equal(t, []string{"127.0.0.1:1"}, update(false, w), "restarted worker")
	w.Address = "127.0.0.1:2"
	assert.Equal(t, []string{"127.0.0.1:1"}, update(false, w), "worker with a new address")
	assert.Equal(t, "127.0.0.1:2", table.Endpoint(0).Address)
	w.State = protocol.Terminating
	assert.Equal(t, []string{"127.0.0.1:2"}, update(false, w), "draining worker")
	assert.Equal(t, []string{"127.0.0.1:2"}, update(true), "worker missing from a complete list")
	assert.Empty(t, update(true))
	assert.Equal(t, int64(8), table.Version())
}

// If two zones shared a number, the group of workers that deduplicates requests would be too large.
func TestUnconfiguredZonesGetDistinctNumbers(t *testing.T) {
	endpoints, _ := newTable("a").Update(&protocol.EndpointList{Endpoints: []protocol.Endpoint{
		{ID: "1", Zone: "a", State: protocol.Ready},
		{ID: "2", Zone: "x", State: protocol.Ready},
		{ID: "3", Zone: "y", State: protocol.Ready},
	}})
	assert.NotEqual(t, endpoints[0].Zone, endpoints[1].Zone)
	assert.NotEqual(t, endpoints[1].Zone, endpoints[2].Zone)
}

// A successor must not assign a predecessor's zone number to another zone, because learned state is stored by zone
// number.
func TestPredecessorZonesKeepTheirNumbers(t *testing.T) {
	table := newTable("a")
	table.addZones([]string{"a", "x", "y"})
	table.Update(&protocol.EndpointList{Endpoints: []protocol.Endpoint{{ID: "1", Zone: "y"}, {ID: "2", Zone: "z"}}})
	assert.Equal(t, []string{"a", "x", "y", "z"}, table.Contents().Zones)
	number, found := table.ZoneByName("y")
	assert.True(t, found)
	assert.Equal(t, 2, number)
}
