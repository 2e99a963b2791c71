package proxy

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
	"canvasroute/internal/peertest"
	"canvasroute/internal/protocol"
)

func TestSuccessorContinuesWithSnapshot(t *testing.T) {
	predecessor := newProxy(peertest.ClosedAddress)
	drained := protocol.Endpoint{ID: "v", Address: peertest.ClosedAddress, Zone: "z", State: protocol.Terminating}
	predecessor.MergeEndpoints([]protocol.Endpoint{drained})
	opens(t, &predecessor.requestIDs, "a1")
	text, err := json.Marshal(predecessor.Snapshot())
	assert.NoError(t, err)
	successor := newProxyWith(peertest.ClosedAddress, func(_ *balancer.Config, config *Config) { config.PredecessorSnapshot = text })
	assert.Equal(t, predecessor.endpoints.Contents(), successor.endpoints.Contents())
	assert.NoError(t, successor.Ready(), "the successor must not wait for its first poll")
	assert.Equal(t, 409, serve(successor, requestHead("idem")).Status, "the ID is open in the predecessor")
}

func TestMalformedSnapshotIsNotRestored(t *testing.T) {
	p := newProxyWith(peertest.ClosedAddress, func(_ *balancer.Config, config *Config) { config.PredecessorSnapshot = []byte("{") })
	assert.Equal(t, int64(7), p.endpoints.Version(), "the proxy must start with the initial endpoints")
}

func TestAlignReordersValuesByName(t *testing.T) {
	for name, test := range map[string]struct {
		values            []int
		previous, current []string
		want              []int
	}{
		"no names":       {[]int{1}, nil, nil, []int{1}},
		"another order":  {[]int{1, 2}, []string{"a", "b"}, []string{"b", "a"}, []int{2, 1}},
		"a new name":     {[]int{1}, []string{"a"}, []string{"b", "a"}, []int{0, 1}},
		"a removed name": {[]int{1, 2}, []string{"a", "b"}, []string{"b"}, []int{2}},
		"fewer values":   {[]int{1}, []string{"a", "b"}, []string{"a", "b"}, []int{1, 0}},
		"names added":    {[]int{1}, nil, []string{"a"}, []int{0}},
		"names removed":  {[]int{1}, []string{"a"}, nil, []int{}},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.want, align(test.values, test.previous, test.current)) })
	}
}

func TestRenumberDropsUnknownValues(t *testing.T) {
	current := map[int]int{0: 3, 2: 0}
	renumbered := renumber([]string{"a", "b", "c"}, func(previous int) (int, bool) {
		number, known := current[previous]
		return number, known
	})
	assert.Equal(t, []string{"c", "", "", "a"}, renumbered)
}
