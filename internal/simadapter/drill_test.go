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

func batch(events ...string) string {
	return `{"wallS":5.5,"frame":9,"happened":[` + strings.Join(events, ",") + "]}\n"
}

func play(lines ...string) (string, error) {
	var out bytes.Buffer
	err := Run(strings.NewReader(strings.Join(lines, "")), &out)
	return out.String(), err
}

func TestForwardKeepsIdsAsGiven(t *testing.T) {
	out, err := play(batch(), batch(start, list, arrival), batch(verdict, gone))
	assert.NoError(t, err)
	lines := strings.Split(out, "\n")
	assert.Equal(t, `{"frame":9,"cmds":[]}`, lines[0])
	assert.Contains(t, lines[1], `{"Issue":{"dispatcher":4,"rid":"q\"1","worker":"a:1"}}`)
	assert.Equal(t, `{"frame":9,"cmds":[]}`, lines[2])
}

func TestKilledAndRestartedInOneBatch(t *testing.T) {
	out, err := play(batch(start, list, arrival, `{"Destroy":{"dispatcher":4}}`, start, list, arrival))
	assert.NoError(t, err)
	assert.Equal(t, 2, strings.Count(out, "Issue"), "the new instance knows nothing of the old one's ids")
}

func TestWhatCannotBeTrustedEndsTheRun(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{"{\n", "malformed"},
		{batch(`{"Nonsense":{"dispatcher":4}}`), "unknown dispatcher 4"},
		{batch(start, `{"Nonsense":{"dispatcher":4}}`), "unknown message"},
		{batch(start, verdict), `unknown invocation "q\"1"`},
		{batch(start, list, arrival, strings.Replace(verdict, `"hop":0`, `"hop":1`, 1)), "no forward 1"},
		{batch(start, `{"Discovery":{"dispatcher":4,"mode":"patch","rosterId":3}}`), "unknown list 3"},
		{batch(strings.Replace(start, `"balancers":1`, `"balancers":0`, 1)), "balancers: 0"},
		{batch(strings.Replace(start, `ObjectiveS":1`, `ObjectiveS":-1`, 1)), "operations[0].latency"},
	} {
		_, err := play(c.line)
		assert.ErrorContains(t, err, c.want)
	}
}

func TestLateDepartureAndOldTimerAreIgnored(t *testing.T) {
	out, err := play(batch(start, list, gone, `{"Bell":{"dispatcher":4,"keyBack":3}}`))
	assert.NoError(t, err)
	assert.NotContains(t, out, "Die")
}

func TestPanicIsReportedAsAFault(t *testing.T) {
	in := &instance{number: 4, reply: &reply{}}
	assert.NoError(t, in.guard(func() error { panic("no such worker") }))
	assert.Equal(t, `{"Die":{"dispatcher":4,"text":"no such worker"}}`, string(in.reply.buf))
}

func TestMessagesFromPeersNeverHeardOfAreHarmless(t *testing.T) {
	for _, octets := range []string{"", "ff", "ffff05", "0000ff0000ff00"} {
		heard := `{"Heard":{"dispatcher":4,"sender":99999,"octets":"` + octets + `"}}`
		out, err := play(batch(start, list, heard, arrival))
		assert.NoError(t, err)
		assert.Contains(t, out, "Issue")
	}
	_, err := play(batch(start, `{"Heard":{"dispatcher":4,"sender":0,"octets":"xy"}}`))
	assert.ErrorContains(t, err, "octets")
}
