package simadapter

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

const (
	startEvent = `{"NewInstance":{"dispatcher":4,"nonce64":18446744073709551615,"setup":{"balancers":1,` +
		`"shapes":["m"],"fresh_key":7,` +
		`"operations":[{"repeat":"idempotent","latencyObjectiveS":1,"billedValue":1}],` +
		`"policyLimits":{"maxForwards":3,"mayCancel":true}}}}`
	listEvents = `{"Inventory":{"rosterId":2,"hosts":[{"worker":"a:1","readiness":"healthy"}]}},` +
		`{"Discovery":{"dispatcher":4,"mode":"stale_copy","epoch":1,"rosterId":2}}`
	arrivalEvent    = `{"Arrival":{"dispatcher":4,"rid":"q\"1","band":0,"graceS":3,"costGuessS":0.1,"coresNeeded":1}}`
	endedEvent      = `{"Verdict":{"dispatcher":4,"rid":"q\"1","worker":"a:1","reason":1,"hop":0,"closed":true}}`
	clientLeftEvent = `{"TimedOutClient":{"dispatcher":4,"rid":"q\"1"}}`
)

// batchLine returns a batch of events in the form that the simulator sends.
func batchLine(events ...string) string {
	return `{"wallS":5.5,"frame":9,"happened":[` + strings.Join(events, ",") + "]}\n"
}

// runAdapter returns the replies to lines of input.
func runAdapter(lines ...string) (string, error) {
	var out bytes.Buffer
	err := Run(strings.NewReader(strings.Join(lines, "")), &out)
	return out.String(), err
}

func TestAttemptCommandRepeatsNamesFromEvents(t *testing.T) {
	out, err := runAdapter(batchLine(), batchLine(startEvent, listEvents, arrivalEvent), batchLine(endedEvent, clientLeftEvent))
	assert.NoError(t, err)
	lines := strings.Split(out, "\n")
	assert.Equal(t, `{"frame":9,"cmds":[]}`, lines[0])
	assert.Contains(t, lines[1], `{"Issue":{"dispatcher":4,"rid":"q\"1","worker":"a:1"}}`)
	assert.Equal(t, `{"frame":9,"cmds":[]}`, lines[2])
}

func TestDispatcherIsKilledAndRestartedInOneBatch(t *testing.T) {
	out, err := runAdapter(batchLine(startEvent, listEvents, arrivalEvent, `{"Destroy":{"dispatcher":4}}`,
		startEvent, listEvents, arrivalEvent))
	assert.NoError(t, err)
	assert.Equal(t, 2, strings.Count(out, "Issue"), "the new instance must not have requests of the old one")
}

func TestInvalidBatchEndsTheRun(t *testing.T) {
	for _, tt := range []struct {
		name      string
		line      string
		wantError error  // nil if only the text is checked
		wantText  string // part of the error text
	}{
		{"malformed", "{\n", errMalformedBatch, "line 1: malformed"},
		{"no frame", "{}\n", nil, "a batch needs frame, wallS and happened"},
		{"unknown dispatcher", batchLine(`{"Nonsense":{"dispatcher":4}}`), errUnknownDispatcher, "unknown dispatcher 4"},
		{
			"unknown event", batchLine(startEvent, `{"Nonsense":{"dispatcher":4}}`),
			errUnknownEvent, "event 1, Nonsense: unknown event",
		},
		{"unknown request", batchLine(startEvent, endedEvent), errUnknownRequest, `unknown request "q\"1"`},
		{
			"unknown attempt",
			batchLine(startEvent, listEvents, arrivalEvent, strings.Replace(endedEvent, `"hop":0`, `"hop":1`, 1)),
			errUnknownAttempt, "has no attempt 1",
		},
		{
			"unknown worker", batchLine(startEvent, listEvents, arrivalEvent, strings.Replace(endedEvent, "a:1", "b:1", 1)),
			errUnknownWorker, `unknown worker "b:1"`,
		},
		{
			"unknown endpoint list", batchLine(startEvent, `{"Discovery":{"dispatcher":4,"mode":"patch","rosterId":3}}`),
			errUnknownEndpointList, "unknown endpoint list 3",
		},
		{"invalid settings", batchLine(strings.Replace(startEvent, `"balancers":1`, `"balancers":0`, 1)), nil, "balancers: 0"},
		{
			"invalid operation", batchLine(strings.Replace(startEvent, `ObjectiveS":1`, `ObjectiveS":-1`, 1)),
			nil, "operations[0].latency",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := runAdapter(tt.line)
			assert.ErrorContains(t, err, tt.wantText)
			if tt.wantError != nil {
				assert.ErrorIs(t, err, tt.wantError)
			}
		})
	}
}

func TestTimeoutOfUnknownRequestAndUnknownTimerAreIgnored(t *testing.T) {
	out, err := runAdapter(batchLine(startEvent, listEvents, clientLeftEvent, `{"Bell":{"dispatcher":4,"keyBack":3}}`))
	assert.NoError(t, err)
	assert.NotContains(t, out, "Die")
}

func TestPanicIsReportedAsFailureOfTheInstance(t *testing.T) {
	in := &instance{number: 4, reply: &reply{}}
	assert.NoError(t, in.callReportingPanic(func() error { panic("no such worker") }))
	assert.Equal(t, `{"Die":{"dispatcher":4,"text":"no such worker"}}`, string(in.reply.line))
}

func TestGossipFromUnknownPeersIsIgnored(t *testing.T) {
	for _, octets := range []string{"", "ff", "ffff05", "0000ff0000ff00"} {
		event := `{"Heard":{"dispatcher":4,"sender":99999,"octets":"` + octets + `"}}`
		out, err := runAdapter(batchLine(startEvent, listEvents, event, arrivalEvent))
		assert.NoError(t, err)
		assert.Contains(t, out, "Issue")
	}
	_, err := runAdapter(batchLine(startEvent, `{"Heard":{"dispatcher":4,"sender":0,"octets":"xy"}}`))
	assert.ErrorContains(t, err, "octets")
}
