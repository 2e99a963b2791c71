package workload

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/testbed/unit"
)

const sec = time.Second

func duration(d time.Duration) unit.Duration { return unit.Duration(d) }

func somePlan(t *testing.T, phases ...Phase) *Plan {
	t.Helper()
	segments, err := Segments(phases)
	assert.NoError(t, err)
	return &Plan{Segments: segments, Operations: []Operation{
		{Name: "status", Work: duration(sec / 10), Tail: "exponential", Share: 3, HintError: 0.5},
		{Name: "choices", Work: duration(sec / 5), Tail: "pareto", Spread: 1.5, Share: 1, HintError: -1},
	}, Tenants: []Tenant{{Name: "uni", Share: 1}, {Name: "polit", Share: 3}}}
}

func TestScheduleIsDeterministicForASeed(t *testing.T) {
	p := somePlan(t, Phase{Shape: "poisson", Rate: 200, For: duration(5 * sec)})
	assert.Equal(t, Encode(p.Schedule(7)), Encode(p.Schedule(7)))
	assert.NotEqual(t, Encode(p.Schedule(7)), Encode(p.Schedule(8)))
}

// Two plans can be compared only if extra load does not change the draws of the other arrivals.
func TestExtraLoadDoesNotChangeOtherArrivals(t *testing.T) {
	p := somePlan(t, Phase{Shape: "poisson", Rate: 200, For: duration(5 * sec)})
	plain := p.Schedule(7)
	p.ExtraLoads = []ExtraLoad{{From: 2 * sec, To: 3 * sec, Factor: 4, Tenant: 1}}
	with, n, extra := p.Schedule(7), 0, 0
	for _, a := range with {
		if n < len(plain) && a == plain[n] {
			n++
			continue
		}
		extra++
		assert.True(t, a.At >= 2*sec && a.At < 3*sec && a.Tenant == 1, a)
	}
	assert.Len(t, plain, n)
	assert.InDelta(t, 200*4*0.75, extra, 100, "four times the tenant's three quarters of 200")
}

func TestShapesHaveTheirRates(t *testing.T) {
	count := func(p Phase, from, to time.Duration) (n int) {
		p.Even = true
		for _, a := range somePlan(t, p).Schedule(1) {
			if a.At >= from && a.At < to {
				n++
			}
		}
		return n
	}
	ramp := Phase{Shape: "ramp", Rate: 0, To: 100, For: duration(10 * sec)}
	assert.InDelta(t, 125, count(ramp, 0, 5*sec), 1, "a quarter of the area under the line")
	assert.InDelta(t, 500, count(ramp, 0, 10*sec), 1)
	step := Phase{Shape: "step", Rate: 10, To: 30, Steps: 3, For: duration(9 * sec)}
	assert.InDelta(t, 60, count(step, 3*sec, 6*sec), 1)
	burst := Phase{Shape: "burst", Rate: 10, To: 200, Every: duration(4 * sec), Width: duration(sec), For: duration(8 * sec)}
	assert.InDelta(t, 200, count(burst, 3*sec, 4*sec), 1)
	assert.InDelta(t, 30, count(burst, 4*sec, 7*sec), 1)
	even := somePlan(t, Phase{Shape: "constant", Rate: 100, For: duration(sec)}).Schedule(1)
	assert.Equal(t, []time.Duration{5 * time.Millisecond, 15 * time.Millisecond},
		[]time.Duration{even[0].At, even[1].At})
}

func TestPoissonArrivalsHaveExponentialGaps(t *testing.T) {
	at := somePlan(t, Phase{Shape: "poisson", Rate: 1000, For: duration(20 * sec)}).Schedule(3)
	assert.InDelta(t, 20000, len(at), 500)
	mean, square := 0.0, 0.0
	for n := 1; n < len(at); n++ {
		gap := (at[n].At - at[n-1].At).Seconds()
		mean, square = mean+gap, square+gap*gap
	}
	mean, square = mean/float64(len(at)), square/float64(len(at))
	assert.InDelta(t, 2, square/(mean*mean), 0.1, "of exponential gaps, twice the mean squared")
}

func TestTailsHaveTheirMeanAndHintsTheirError(t *testing.T) {
	rng := unit.RandomStream(1, "test")
	for _, o := range []Operation{
		{Tail: "constant"},
		{Tail: "exponential"},
		{Tail: "lognormal", Spread: 1},
		{Tail: "pareto", Spread: 2.5},
	} {
		o.Work = duration(sec)
		sum := 0.0
		for range 50000 {
			sum += o.drawWork(rng).Seconds() / 50000
		}
		assert.InDelta(t, 1, sum, 0.05, o.Tail)
	}
	assert.Zero(t, (&Operation{HintError: -1}).drawHint(sec, rng))
	assert.Equal(t, sec, (&Operation{}).drawHint(sec, rng))
}

func TestInvalidPhasesAndOperationsAreRejectedByKey(t *testing.T) {
	for want, p := range map[string]Phase{
		"load.phase[0].shape": {Shape: "square", For: 1},
		"load.phase[0].for":   {Shape: "poisson"},
		"load.phase[0].rate":  {Shape: "poisson", For: 1, Rate: -1},
		"load.phase[0].steps": {Shape: "step", For: 1, Steps: 1},
		"load.phase[0].every": {Shape: "burst", For: 9, Every: 1, Width: 1},
	} {
		t.Run(want, func(t *testing.T) {
			_, err := Segments([]Phase{p})
			assert.ErrorContains(t, err, want)
		})
	}
	good := Operation{
		Name: "a", Idempotency: Idempotent, Work: 1, LatencyObjective: 1, Timeout: 2, Share: 1,
		Tail: "constant",
	}
	assert.NoError(t, good.Validate())
	for want, change := range map[string]func(*Operation){
		"idempotency:": func(o *Operation) { o.Idempotency = "sometimes" }, "timeout:": func(o *Operation) { o.Timeout = 0 },
		"dedup-window:": func(o *Operation) { o.Idempotency = IdempotentByKey },
		"spread:":       func(o *Operation) { o.Tail, o.Spread = "pareto", 1 },
		"tail:":         func(o *Operation) { o.Tail = "long" }, "share:": func(o *Operation) { o.Share = 0 },
	} {
		t.Run(want, func(t *testing.T) {
			o := good
			change(&o)
			assert.ErrorContains(t, o.Validate(), want)
		})
	}
}

func readTrace(t *testing.T, name, text string) ([]Arrival, error) {
	t.Helper()
	return somePlan(t).ReadTrace(name, strings.NewReader(text), 1)
}

func TestCSVAndJSONTracesReadTheSame(t *testing.T) {
	table, err := readTrace(t, "t.CSV", "operation,time,key,customer,hint,retry\nstatus,0.5,k,uni,0.25,\n"+
		"choices,0.75,k,polit,,true\n")
	assert.NoError(t, err)
	lines, err := readTrace(t, "t.jsonl", `{"time":0.5,"operation":"status","key":"k","customer":"uni","hint":0.25}`+
		"\n\n"+`{"time":0.75,"operation":"choices","key":"k","customer":"polit","retry":true}`+"\n")
	assert.NoError(t, err)
	assert.Equal(t, Encode(table), Encode(lines))
	assert.Equal(t, []any{sec / 2, 250 * time.Millisecond, table[1].Key, true, 200 * time.Millisecond},
		[]any{table[0].At, table[0].Hint, table[0].Key, table[1].Retry, table[1].Work})
}

func TestInvalidTracesAreRejectedWithFileAndLine(t *testing.T) {
	head := "time,operation,customer\n0.1,status,uni\n"
	for text, want := range map[string]string{
		head + "0.05,status,uni\n":   "t.csv:3: time: 0.05 comes after 0.1",
		head + "0.2,dance,uni\n":     `t.csv:3: operation: "dance" is not defined`,
		head + "0.2,status,nobody\n": `t.csv:3: customer: "nobody" is not defined`,
		head + "0.2,status\n":        "t.csv:3: wrong number of fields",
		head + "soon,status,uni\n":   `t.csv:3: time: "soon" is not a number`,
		head + ",status,uni\n":       "t.csv:3: time: must be seconds",
		head + "NaN,status,uni\n":    "t.csv:3: time: must be seconds",
		head + "\"0.2,status,uni\n":  "t.csv:",
		"time,colour\n":              `t.csv:1: column "colour"`,
		"time\n":                     `t.csv:1: missing column "operation"`,
		"":                           "t.csv:1: no header",
		"time,operation\n":           "t.csv: holds no arrival",
		"time,operation,customer,hint\n1,status,uni,-3\n": "t.csv:2: hint, work",
		"time,operation,retry\n1,status,yes\n":            `t.csv:2: retry: "yes"`,
	} {
		t.Run(want, func(t *testing.T) {
			_, err := readTrace(t, "t.csv", text)
			assert.ErrorContains(t, err, want)
		})
	}
	good := `{"time":1,"operation":"status","customer":"uni"}` + "\n"
	for text, want := range map[string]string{
		good + `{"time":2,`:                           "t.jsonl:2: not an arrival",
		good + `{"time":2,"opera":"x"}`:               `t.jsonl:2: not an arrival: json: unknown field "opera"`,
		good + strings.TrimSpace(good)[1:]:            "t.jsonl:2: not an arrival",
		good + strings.TrimSpace(good) + " {}":        "t.jsonl:2: more than one object",
		good + `{"operation":"status"}`:               "t.jsonl:2: time: must be seconds",
		good + strings.Replace(good, ":1,", ":0,", 1): "t.jsonl:2: time: 0 comes after 1",
	} {
		t.Run(want, func(t *testing.T) {
			_, err := readTrace(t, "t.jsonl", text)
			assert.ErrorContains(t, err, want)
		})
	}
}
