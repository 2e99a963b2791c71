package simadapter

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/balancer"
)

// commandCases lists the command that the simulator reads for each effect.
var commandCases = []struct {
	name   string
	effect func(in *instance, id balancer.RequestID, worker balancer.WorkerID)
	want   string
}{
	{
		"attempt", func(in *instance, id balancer.RequestID, worker balancer.WorkerID) { in.SendAttempt(id, worker, 0) },
		`{"Issue":{"dispatcher":4,"rid":"q\"1","worker":"a:1"}}`,
	},
	{
		"attempt with a timeout", func(in *instance, id balancer.RequestID, worker balancer.WorkerID) {
			in.SendAttempt(id, worker, 12_500)
		},
		`{"Issue":{"dispatcher":4,"rid":"q\"1","worker":"a:1","withinS":1.25}}`,
	},
	{
		"cancellation of an attempt", func(in *instance, id balancer.RequestID, _ balancer.WorkerID) { in.CancelAttempt(id, 3) },
		`{"AbortAttempt":{"dispatcher":4,"rid":"q\"1","hop":3}}`,
	},
	{
		"rejection", func(in *instance, id balancer.RequestID, _ balancer.WorkerID) { in.Reject(id, 0) },
		`{"Bounce":{"dispatcher":4,"rid":"q\"1"}}`,
	},
	{
		"rejection with Retry-After", func(in *instance, id balancer.RequestID, _ balancer.WorkerID) { in.Reject(id, 5_000) },
		`{"Bounce":{"dispatcher":4,"rid":"q\"1","comeBackS":0.5}}`,
	},
	{
		"failure", func(in *instance, id balancer.RequestID, _ balancer.WorkerID) { in.Fail(id) },
		`{"DropRequest":{"dispatcher":4,"rid":"q\"1"}}`,
	},
	{
		"timer", func(in *instance, _ balancer.RequestID, _ balancer.WorkerID) { in.Wake(77, 20_000) },
		`{"WakeMe":{"dispatcher":4,"keyBack":77,"offsetS":2}}`,
	},
	{
		"poll", func(in *instance, _ balancer.RequestID, _ balancer.WorkerID) { in.PollEndpoints() },
		`{"Subscribe":{"dispatcher":4,"want":true}}`,
	},
	{
		"probe", func(in *instance, _ balancer.RequestID, worker balancer.WorkerID) { in.Probe(worker) },
		`{"HealthCheck":{"dispatcher":4,"worker":"a:1"}}`,
	},
	{
		"gossip message", func(in *instance, _ balancer.RequestID, worker balancer.WorkerID) {
			in.SendLoad(2, balancer.WorkerLoad{Worker: worker, InFlight: 300})
		},
		`{"Signal":{"dispatcher":4,"dst":2,"octets":"e5d4ff"}}`,
	},
	{
		"log event", func(in *instance, _ balancer.RequestID, _ balancer.WorkerID) { in.Log(textEvent("a \"b\"")) },
		`{"Remark":{"dispatcher":4,"text":"a \"b\""}}`,
	},
}

// TestCommandBytes checks the text of each command that the simulator reads: its name, and its fields in order.
func TestCommandBytes(t *testing.T) {
	for _, tt := range commandCases {
		t.Run(tt.name, func(t *testing.T) {
			in := newInstance(4, &reply{})
			id := in.requests.add(`q"1`)
			worker := in.workers.findOrAdd("a:1")
			tt.effect(in, id, worker)
			assert.Equal(t, tt.want, string(in.reply.line))
		})
	}
}

// textEvent is an event that consists only of its text.
type textEvent string

func (e textEvent) String() string { return string(e) }
