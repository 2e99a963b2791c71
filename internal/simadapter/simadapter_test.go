package simadapter

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

const (
	start = `{"NewInstance":{"dispatcher":4,"nonce64":18446744073709551615,"setup":{"balancers":1,` +
		`"shapes":["m"],"fresh_key":7,` +
		`"operations":[{"repeat":"idempotent","latencyObjectiveS":1,"billedValue":1}],` +
		`"policyLimits":{"maxForwards":3,"mayCancel":true}}}}`
	list = `{"Inventory":{"rosterId":2,"hosts":[{"worker":"a:1","readiness":"healthy"}]}},` +
		`{"Discovery":{"dispatcher":4,"mode":"stale_copy","epoch":1,"rosterId":2}}`
	arrival = `{"Arrival":{"dispatcher":4,"rid":"q\"1","band":0,"graceS":3,"costGuessS":0.1,"coresNeeded":1}}`
	verdict = `{"Verdict":{"dispatcher":4,"rid":"q\"1","worker":"a:1","reason":1,"hop":0,"closed":true}}`
	gone    = `{"TimedOutClient":{"dispatcher":4,"rid":"q\"1"}}`
)

// batch is a line of the simulator's.
func batch(events ...string) string {
	return `{"wallS":5.5,"frame":9,"happened":[` + strings.Join(events, ",") + "]}\n"
}

// run returns the replies to lines.
func run(lines ...string) (string, error) {
	var out bytes.Buffer
	err := Run(strings.NewReader(strings.Join(lines, "")), &out)
	return out.String(), err
}

func TestAttemptKeepsNamesAsGiven(t *testing.T) {
	out, err := run(batch(), batch(start, list, arrival), batch(verdict, gone))
	assert.NoError(t, err)
	lines := strings.Split(out, "\n")
	assert.Equal(t, `{"frame":9,"cmds":[]}`, lines[0])
	assert.Contains(t, lines[1], `{"Issue":{"dispatcher":4,"rid":"q\"1","worker":"a:1"}}`)
	assert.Equal(t, `{"frame":9,"cmds":[]}`, lines[2])
}

func TestDispatcherIsKilledAndRestartedInOneBatch(t *testing.T) {
	out, err := run(batch(start, list, arrival, `{"Destroy":{"dispatcher":4}}`, start, list, arrival))
	assert.NoError(t, err)
	assert.Equal(t, 2, strings.Count(out, "Issue"), "the new instance knows no request of the old one")
}

func TestInvalidBatchEndsTheRun(t *testing.T) {
	for _, c := range []struct {
		name, line string
		is         error  // nil where the text alone is held
		want       string // in the error
	}{
		{"malformed", "{\n", errMalformedBatch, "line 1: malformed"},
		{"no frame", "{}\n", nil, "a batch needs frame, wallS and happened"},
		{"unknown dispatcher", batch(`{"Nonsense":{"dispatcher":4}}`), errUnknownDispatcher, "unknown dispatcher 4"},
		{"unknown event", batch(start, `{"Nonsense":{"dispatcher":4}}`), errUnknownEvent, "event 1, Nonsense: unknown message"},
		{"unknown request", batch(start, verdict), errUnknownRequest, `unknown request "q\"1"`},
		{
			"unknown attempt", batch(start, list, arrival, strings.Replace(verdict, `"hop":0`, `"hop":1`, 1)),
			nil, "has no attempt 1",
		},
		{
			"unknown worker", batch(start, list, arrival, strings.Replace(verdict, "a:1", "b:1", 1)),
			errUnknownWorker, `unknown worker "b:1"`,
		},
		{
			"unknown list", batch(start, `{"Discovery":{"dispatcher":4,"mode":"patch","rosterId":3}}`),
			errUnknownList, "unknown list 3",
		},
		{"invalid settings", batch(strings.Replace(start, `"balancers":1`, `"balancers":0`, 1)), nil, "balancers: 0"},
		{
			"invalid operation", batch(strings.Replace(start, `ObjectiveS":1`, `ObjectiveS":-1`, 1)),
			nil, "operations[0].latency",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := run(c.line)
			assert.ErrorContains(t, err, c.want)
			if c.is != nil {
				assert.ErrorIs(t, err, c.is)
			}
		})
	}
}

func TestLateTimeoutAndUnknownTimerAreIgnored(t *testing.T) {
	out, err := run(batch(start, list, gone, `{"Bell":{"dispatcher":4,"keyBack":3}}`))
	assert.NoError(t, err)
	assert.NotContains(t, out, "Die")
}

func TestPanicIsReportedAsTheEndOfTheInstance(t *testing.T) {
	in := &instance{number: 4, reply: &reply{}}
	assert.NoError(t, in.reportPanic(func() error { panic("no such worker") }))
	assert.Equal(t, `{"Die":{"dispatcher":4,"text":"no such worker"}}`, string(in.reply.line))
}

func TestMessagesFromUnknownPeersAreHarmless(t *testing.T) {
	for _, octets := range []string{"", "ff", "ffff05", "0000ff0000ff00"} {
		event := `{"Heard":{"dispatcher":4,"sender":99999,"octets":"` + octets + `"}}`
		out, err := run(batch(start, list, event, arrival))
		assert.NoError(t, err)
		assert.Contains(t, out, "Issue")
	}
	_, err := run(batch(start, `{"Heard":{"dispatcher":4,"sender":0,"octets":"xy"}}`))
	assert.ErrorContains(t, err, "octets")
}
