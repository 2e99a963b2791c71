package workload

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/testbed/unit"
)

const second = time.Second

func duration(d time.Duration) unit.Duration { return unit.Duration(d) }

// newTestPlan returns a plan with two operations, two tenants and the given phases.
func newTestPlan(t *testing.T, phases ...Phase) *Plan {
	t.Helper()
	segments, err := Segments(phases)
	assert.NoError(t, err)
	return &Plan{Segments: segments, Operations: []Operation{
		{Name: "status", Work: duration(second / 10), Tail: "exponential", Share: 3, HintError: 0.5},
		{Name: "choices", Work: duration(second / 5), Tail: "pareto", Spread: 1.5, Share: 1, HintError: -1},
	}, Tenants: []Tenant{{Name: "uni", Share: 1}, {Name: "polit", Share: 3}}}
}

func TestScheduleIsDeterministicForASeed(t *testing.T) {
	plan := newTestPlan(t, Phase{Shape: "poisson", Rate: 200, Length: duration(5 * second)})
	assert.Equal(t, Encode(plan.Schedule(7)), Encode(plan.Schedule(7)))
	assert.NotEqual(t, Encode(plan.Schedule(7)), Encode(plan.Schedule(8)))
}

// If extra load changed the draws of the other arrivals, runs with and without it could not be compared.
func TestExtraLoadDoesNotChangeOtherArrivals(t *testing.T) {
	plan := newTestPlan(t, Phase{Shape: "poisson", Rate: 200, Length: duration(5 * second)})
	plain := plan.Schedule(7)
	plan.ExtraLoads = []ExtraLoad{{Start: 2 * second, End: 3 * second, Factor: 4, Tenant: 1}}
	unchanged, extra := 0, 0
	for _, arrival := range plan.Schedule(7) {
		if unchanged < len(plain) && arrival == plain[unchanged] {
			unchanged++
			continue
		}
		extra++
		assert.True(t, arrival.At >= 2*second && arrival.At < 3*second && arrival.Tenant == 1, arrival)
	}
	assert.Len(t, plain, unchanged)
	assert.InDelta(t, 200*4*0.75, extra, 100, "four times the tenant's 3/4 of 200 per second")
}

func TestShapesProduceTheConfiguredRates(t *testing.T) {
	count := func(phase Phase, from, to time.Duration) (arrivals int) {
		phase.Even = true
		for _, arrival := range newTestPlan(t, phase).Schedule(1) {
			if arrival.At >= from && arrival.At < to {
				arrivals++
			}
		}
		return arrivals
	}
	ramp := Phase{Shape: "ramp", Rate: 0, EndRate: 100, Length: duration(10 * second)}
	assert.InDelta(t, 125, count(ramp, 0, 5*second), 1, "a quarter of the 500 arrivals, which is the area under the first half of the ramp")
	assert.InDelta(t, 500, count(ramp, 0, 10*second), 1)
	step := Phase{Shape: "step", Rate: 10, EndRate: 30, Steps: 3, Length: duration(9 * second)}
	assert.InDelta(t, 60, count(step, 3*second, 6*second), 1)
	burst := Phase{Shape: "burst", Rate: 10, EndRate: 200, Interval: duration(4 * second), Width: duration(second), Length: duration(8 * second)}
	assert.InDelta(t, 200, count(burst, 3*second, 4*second), 1)
	assert.InDelta(t, 30, count(burst, 4*second, 7*second), 1)
	even := newTestPlan(t, Phase{Shape: "constant", Rate: 100, Length: duration(second)}).Schedule(1)
	assert.Equal(t, []time.Duration{5 * time.Millisecond, 15 * time.Millisecond},
		[]time.Duration{even[0].At, even[1].At})
}

func TestPoissonArrivalsHaveExponentialGaps(t *testing.T) {
	schedule := newTestPlan(t, Phase{Shape: "poisson", Rate: 1000, Length: duration(20 * second)}).Schedule(3)
	assert.InDelta(t, 20000, len(schedule), 500)
	mean, square := 0.0, 0.0
	for n := 1; n < len(schedule); n++ {
		gap := (schedule[n].At - schedule[n-1].At).Seconds()
		mean, square = mean+gap, square+gap*gap
	}
	mean, square = mean/float64(len(schedule)), square/float64(len(schedule))
	assert.InDelta(t, 2, square/(mean*mean), 0.1, "exponential gaps have a mean square of twice the squared mean")
}

func TestTailsHaveTheConfiguredMeanAndHintsTheConfiguredError(t *testing.T) {
	rng := unit.RandomStream(1, "test")
	for _, o := range []Operation{
		{Tail: "constant"},
		{Tail: "exponential"},
		{Tail: "lognormal", Spread: 1},
		{Tail: "pareto", Spread: 2.5},
	} {
		o.Work = duration(second)
		const draws = 50000
		mean := 0.0
		for range draws {
			mean += o.drawWork(rng).Seconds() / draws
		}
		assert.InDelta(t, 1, mean, 0.05, o.Tail)
	}
	assert.Zero(t, (&Operation{HintError: -1}).drawHint(second, rng))
	assert.Equal(t, second, (&Operation{}).drawHint(second, rng))
}

func TestErrorsOfInvalidPhasesAndOperationsNameTheKey(t *testing.T) {
	for want, phase := range map[string]Phase{
		"load.phase[0].shape": {Shape: "square", Length: 1},
		"load.phase[0].for":   {Shape: "poisson"},
		"load.phase[0].rate":  {Shape: "poisson", Length: 1, Rate: -1},
		"load.phase[0].steps": {Shape: "step", Length: 1, Steps: 1},
		"load.phase[0].every": {Shape: "burst", Length: 9, Interval: 1, Width: 1},
	} {
		t.Run(want, func(t *testing.T) {
			_, err := Segments([]Phase{phase})
			assert.ErrorContains(t, err, want)
		})
	}
	valid := Operation{
		Name: "a", Idempotency: Idempotent, Work: 1, LatencyObjective: 1, Timeout: 2, Share: 1,
		Tail: "constant",
	}
	assert.NoError(t, valid.Validate())
	for want, change := range map[string]func(*Operation){
		"idempotency:": func(o *Operation) { o.Idempotency = "sometimes" }, "timeout:": func(o *Operation) { o.Timeout = 0 },
		"dedup-window:": func(o *Operation) { o.Idempotency = IdempotentByKey },
		"spread:":       func(o *Operation) { o.Tail, o.Spread = "pareto", 1 },
		"tail:":         func(o *Operation) { o.Tail = "long" }, "share:": func(o *Operation) { o.Share = 0 },
	} {
		t.Run(want, func(t *testing.T) {
			operation := valid
			change(&operation)
			assert.ErrorContains(t, operation.Validate(), want)
		})
	}
}

// readTrace reads a trace with the operations and tenants of newTestPlan.
func readTrace(t *testing.T, name, text string) ([]Arrival, error) {
	t.Helper()
	return newTestPlan(t).ReadTrace(name, strings.NewReader(text), 1)
}

func TestCSVAndJSONTracesProduceTheSameArrivals(t *testing.T) {
	fromCSV, err := readTrace(t, "t.CSV", "operation,time,key,customer,hint,retry\nstatus,0.5,k,uni,0.25,\n"+
		"choices,0.75,k,polit,,true\n")
	assert.NoError(t, err)
	fromJSON, err := readTrace(t, "t.jsonl", `{"time":0.5,"operation":"status","key":"k","customer":"uni","hint":0.25}`+
		"\n\n"+`{"time":0.75,"operation":"choices","key":"k","customer":"polit","retry":true}`+"\n")
	assert.NoError(t, err)
	assert.Equal(t, Encode(fromCSV), Encode(fromJSON))
	assert.Equal(t, []any{second / 2, 250 * time.Millisecond, fromCSV[1].Key, true, 200 * time.Millisecond},
		[]any{fromCSV[0].At, fromCSV[0].Hint, fromCSV[0].Key, fromCSV[1].Retry, fromCSV[1].Work})
}

func TestErrorsOfInvalidTracesNameFileAndLine(t *testing.T) {
	header := "time,operation,customer\n0.1,status,uni\n"
	for text, want := range map[string]string{
		header + "0.05,status,uni\n":   "t.csv:3: time: 0.05 comes after 0.1",
		header + "0.2,dance,uni\n":     `t.csv:3: operation: "dance" is not defined`,
		header + "0.2,status,nobody\n": `t.csv:3: customer: "nobody" is not defined`,
		header + "0.2,status\n":        "t.csv:3: wrong number of fields",
		header + "soon,status,uni\n":   `t.csv:3: time: "soon" is not a number`,
		header + ",status,uni\n":       "t.csv:3: time: must be seconds",
		header + "NaN,status,uni\n":    "t.csv:3: time: must be seconds",
		header + "\"0.2,status,uni\n":  "t.csv:",
		"time,colour\n":                `t.csv:1: column "colour"`,
		"time\n":                       `t.csv:1: missing column "operation"`,
		"":                             "t.csv:1: no header",
		"time,operation\n":             "t.csv: holds no arrival",
		"time,operation,customer,hint\n1,status,uni,-3\n": "t.csv:2: hint, work",
		"time,operation,retry\n1,status,yes\n":            `t.csv:2: retry: "yes"`,
	} {
		t.Run(want, func(t *testing.T) {
			_, err := readTrace(t, "t.csv", text)
			assert.ErrorContains(t, err, want)
		})
	}
	validRow := `{"time":1,"operation":"status","customer":"uni"}` + "\n"
	for text, want := range map[string]string{
		validRow + `{"time":2,`:                               "t.jsonl:2: not an arrival",
		validRow + `{"time":2,"opera":"x"}`:                   `t.jsonl:2: not an arrival: json: unknown field "opera"`,
		validRow + strings.TrimSpace(validRow)[1:]:            "t.jsonl:2: not an arrival",
		validRow + strings.TrimSpace(validRow) + " {}":        "t.jsonl:2: more than one object",
		validRow + `{"operation":"status"}`:                   "t.jsonl:2: time: must be seconds",
		validRow + strings.Replace(validRow, ":1,", ":0,", 1): "t.jsonl:2: time: 0 comes after 1",
	} {
		t.Run(want, func(t *testing.T) {
			_, err := readTrace(t, "t.jsonl", text)
			assert.ErrorContains(t, err, want)
		})
	}
}
