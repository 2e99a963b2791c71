package fault

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/testbed/unit"
)

var topology = Topology{
	Workers: 6, Zones: []string{"north", "south"}, WorkerZones: []int{0, 1, 0, 1, 0, 1},
	Dispatchers: 3,
	Tenants:     []string{"uni", "polit"},
}

const second = unit.Duration(time.Second)

func TestTimelineIsDeterministicForASeed(t *testing.T) {
	specs := []Spec{
		{Kind: "crash", At: 2 * second, For: 3 * second, Workers: 2},
		{Kind: "neighbour", At: second, For: 4 * second, Every: 2 * second, Width: second, Workers: 1, Share: 0.25},
		{Kind: "rolling-restart", At: 3 * second},
	}
	one, err := Plan(specs, topology, 4)
	assert.NoError(t, err)
	again, err := Plan(specs, topology, 4)
	assert.NoError(t, err)
	assert.Equal(t, one, again)
	differs := false
	for seed := range uint64(20) {
		other, err := Plan(specs, topology, seed)
		assert.NoError(t, err)
		differs = differs || !assert.ObjectsAreEqual(one.Actions, other.Actions)
	}
	assert.True(t, differs, "all seeds give the same actions")
	crash, restart := actionsOfKind(one, WorkerCrash)[0], actionsOfKind(one, WorkerRestart)[0]
	assert.Equal(t, crash.Targets, restart.Targets)
	assert.Len(t, crash.Targets, 2)
	assert.Equal(t, []time.Duration{2 * time.Second, 5 * time.Second}, []time.Duration{crash.At, restart.At})
	speeds := actionsOfKind(one, WorkerSpeed)
	assert.Equal(t, []float64{0.75, 1, 0.75, 1}, []float64{
		speeds[0].Value, speeds[1].Value, speeds[2].Value,
		speeds[3].Value,
	})
	restarts := actionsOfKind(one, DispatcherRestart)
	assert.Equal(t, defaultRollingGap, restarts[1].At-restarts[0].At)
	assert.Len(t, restarts, 3)
}

// actionsOfKind returns the timeline's actions of a kind.
func actionsOfKind(timeline *Timeline, kind ActionKind) (found []Action) {
	for _, action := range timeline.Actions {
		if action.Kind == kind {
			found = append(found, action)
		}
	}
	return found
}

func TestZoneCutAffectsItsWorkers(t *testing.T) {
	timeline, err := Plan([]Spec{{Kind: "zone-cut", Zone: "south", For: second}}, topology, 1)
	assert.NoError(t, err)
	assert.Equal(t, []int{1, 3, 5}, timeline.Actions[0].Targets)
}

func TestFloodIsExtraLoadOfOneTenant(t *testing.T) {
	timeline, err := Plan([]Spec{{Kind: "flood", At: second, For: second, Tenant: "polit", Factor: 10}}, topology, 1)
	assert.NoError(t, err)
	assert.Equal(t, 1, timeline.ExtraLoads[0].Tenant)
	assert.Equal(t, 9.0, timeline.ExtraLoads[0].Factor)
	assert.Empty(t, timeline.Actions)
}

func TestInvalidFaultsAreRejectedByKey(t *testing.T) {
	for want, spec := range map[string]Spec{
		`fault[1].kind: "flu"`:    {Kind: "flu"},
		"fault[1].workers: 7":     {Kind: "crash", Workers: 7},
		"fault[1].for:":           {Kind: "pause", Workers: 1},
		"fault[1].factor:":        {Kind: "slow", Workers: 1, Factor: 1, For: second},
		`fault[1].zone: "west"`:   {Kind: "zone-cut", Zone: "west", For: second},
		"fault[1].dispatchers: 4": {Kind: "dispatcher-kill", Dispatchers: 4},
		`fault[1].tenant: "none"`: {Kind: "flood", Tenant: "none", Factor: 2, For: second},
		"fault[1].every:": {
			Kind: "neighbour", Workers: 1, Share: 0.5, Every: second, Width: second,
			For: second,
		},
	} {
		t.Run(want, func(t *testing.T) {
			_, err := Plan([]Spec{{Kind: "list-outage", For: second}, spec}, topology, 1)
			assert.ErrorContains(t, err, want)
		})
	}
}

func TestOperatorActionsAffectDispatchersAndClients(t *testing.T) {
	timeline, err := Plan([]Spec{
		{Kind: "upgrade", At: second},
		{Kind: "leave", At: second, For: second, Dispatchers: 2},
		{Kind: "new-settings", At: second, For: second, MaxAttempts: 1},
		{Kind: "silent-clients", For: second, Connections: 7},
	}, topology, 1)
	assert.NoError(t, err)
	assert.Len(t, actionsOfKind(timeline, DispatcherUpgrade), 3, "one upgrade for each dispatcher")
	assert.Equal(t, actionsOfKind(timeline, DispatcherLeave)[0].Targets, actionsOfKind(timeline, DispatcherJoin)[0].Targets)
	settings := actionsOfKind(timeline, DispatcherReconfigure)
	assert.Equal(t, []any{1.0, 0.0, 3}, []any{settings[0].Value, settings[1].Value, len(settings[0].Targets)})
	silent := actionsOfKind(timeline, ClientsIdle)[0]
	assert.Equal(t, []any{7.0, time.Second}, []any{silent.Value, silent.Duration})
	_, err = Plan([]Spec{{Kind: "silent-clients", For: second}}, topology, 1)
	assert.ErrorContains(t, err, "fault[0].connections: 0, must be from 1")
}
