package fault

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/testbed/unit"
)

var world = Topology{
	Workers: 6, Zones: []string{"north", "south"}, WorkerZones: []int{0, 1, 0, 1, 0, 1},
	Dispatchers: 3,
	Tenants:     []string{"uni", "polit"},
}

const sec = unit.Duration(time.Second)

func TestTimelineFollowsFromTheSeed(t *testing.T) {
	specs := []Spec{
		{Kind: "crash", At: 2 * sec, For: 3 * sec, Workers: 2},
		{Kind: "neighbour", At: sec, For: 4 * sec, Every: 2 * sec, Width: sec, Workers: 1, Share: 0.25},
		{Kind: "rolling-restart", At: 3 * sec},
	}
	one, err := Plan(specs, world, 4)
	assert.NoError(t, err)
	again, err := Plan(specs, world, 4)
	assert.NoError(t, err)
	assert.Equal(t, one, again)
	unlike := false
	for seed := range uint64(20) {
		other, err := Plan(specs, world, seed)
		assert.NoError(t, err)
		unlike = unlike || !assert.ObjectsAreEqual(one.Actions, other.Actions)
	}
	assert.True(t, unlike, "other workers under another seed")
	crash, back := find(one, WorkerCrash)[0], find(one, WorkerRestart)[0]
	assert.Equal(t, crash.Targets, back.Targets)
	assert.Len(t, crash.Targets, 2)
	assert.Equal(t, []time.Duration{2 * time.Second, 5 * time.Second}, []time.Duration{crash.At, back.At})
	paces := find(one, WorkerSpeed)
	assert.Equal(t, []float64{0.75, 1, 0.75, 1}, []float64{
		paces[0].Value, paces[1].Value, paces[2].Value,
		paces[3].Value,
	})
	restarts := find(one, DispatcherRestart)
	assert.Equal(t, defaultGap, restarts[1].At-restarts[0].At)
	assert.Len(t, restarts, 3)
}

func find(t *Timeline, kind ActionKind) (out []Action) {
	for _, a := range t.Actions {
		if a.Kind == kind {
			out = append(out, a)
		}
	}
	return out
}

func TestZoneCutMeetsTheZone(t *testing.T) {
	line, err := Plan([]Spec{{Kind: "zone-cut", Zone: "south", For: sec}}, world, 1)
	assert.NoError(t, err)
	assert.Equal(t, []int{1, 3, 5}, line.Actions[0].Targets)
}

func TestFloodIsOneCustomersExtraLoad(t *testing.T) {
	line, err := Plan([]Spec{{Kind: "flood", At: sec, For: sec, Tenant: "polit", Factor: 10}}, world, 1)
	assert.NoError(t, err)
	assert.Equal(t, 1, line.ExtraLoads[0].Tenant)
	assert.Equal(t, 9.0, line.ExtraLoads[0].Factor)
	assert.Empty(t, line.Actions)
}

func TestFaultsInTroublesAreNamed(t *testing.T) {
	for want, s := range map[string]Spec{
		`trouble[1].kind: "flu"`:      {Kind: "flu"},
		"trouble[1].workers: 7":       {Kind: "crash", Workers: 7},
		"trouble[1].for:":             {Kind: "pause", Workers: 1},
		"trouble[1].factor:":          {Kind: "slow", Workers: 1, Factor: 1, For: sec},
		`trouble[1].zone: "west"`:     {Kind: "zone-cut", Zone: "west", For: sec},
		"trouble[1].dispatchers: 4":   {Kind: "dispatcher-kill", Dispatchers: 4},
		`trouble[1].customer: "none"`: {Kind: "flood", Tenant: "none", Factor: 2, For: sec},
		"trouble[1].every:": {
			Kind: "neighbour", Workers: 1, Share: 0.5, Every: sec, Width: sec,
			For: sec,
		},
	} {
		_, err := Plan([]Spec{{Kind: "list-outage", For: sec}, s}, world, 1)
		assert.ErrorContains(t, err, want)
	}
}

func TestOperatorsWorkMeetsDispatchersAndClients(t *testing.T) {
	line, err := Plan([]Spec{
		{Kind: "upgrade", At: sec},
		{Kind: "leave", At: sec, For: sec, Dispatchers: 2},
		{Kind: "new-settings", At: sec, For: sec, MaxAttempts: 1},
		{Kind: "silent-clients", For: sec, Connections: 7},
	}, world, 1)
	assert.NoError(t, err)
	assert.Len(t, find(line, DispatcherUpgrade), 3, "in turn")
	assert.Equal(t, find(line, DispatcherLeave)[0].Targets, find(line, DispatcherJoin)[0].Targets)
	settings := find(line, DispatcherReconfigure)
	assert.Equal(t, []any{1.0, 0.0, 3}, []any{settings[0].Value, settings[1].Value, len(settings[0].Targets)})
	silent := find(line, ClientsIdle)[0]
	assert.Equal(t, []any{7.0, time.Second}, []any{silent.Value, silent.Duration})
	_, err = Plan([]Spec{{Kind: "silent-clients", For: sec}}, world, 1)
	assert.ErrorContains(t, err, "trouble[0].connections: 0, must be from 1")
}
