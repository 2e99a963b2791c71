package workload

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"canvasroute/internal/testbed/unit"
)

// traceRow is one row of a trace. Times are in seconds.
type traceRow struct {
	Time      *float64 `json:"time"`
	Operation string   `json:"operation"`
	Hint      float64  `json:"hint"`
	Work      float64  `json:"work"` // 0: drawn round the hint, or by the operation
	Tenant    string   `json:"customer"`
	Key       string   `json:"key"`
	Retry     bool     `json:"retry"`
}

// columns are the names that a CSV trace's first line may have, in any order; time and operation must be
// there.
var traceColumns = []string{"time", "operation", "hint", "work", "customer", "key", "retry"}

// maxTraceSeconds bounds a time in a trace, in seconds.
const maxTraceSeconds = 7 * 24 * 3600

// ReadTrace reads recorded arrivals: CSV with a first line of names if the name ends in .csv, else a JSON object
// a line. Every row must be good: the error names the file, the line and what is wrong there.
func (p *Plan) ReadTrace(name string, in io.Reader, seed uint64) ([]Arrival, error) {
	t := &traceReader{plan: p, rng: unit.RandomStream(seed, "trace"), lastTime: math.Inf(-1)}
	read := t.readJSONLines
	if strings.HasSuffix(strings.ToLower(name), ".csv") {
		read = t.readCSV
	}
	if line, err := read(in); err != nil {
		return nil, fmt.Errorf("%s:%d: %w", name, line, err)
	}
	if len(t.arrivals) == 0 {
		return nil, fmt.Errorf("%s: holds no arrival", name)
	}
	return t.arrivals, nil
}

type traceReader struct {
	plan *Plan
	rng  interface {
		NormFloat64() float64
		ExpFloat64() float64
		Float64() float64
		Uint64() uint64
	}
	lastTime float64
	arrivals []Arrival
}

// addRow checks one row and adds its arrival.
func (t *traceReader) addRow(r traceRow) error {
	if r.Time == nil || !(*r.Time >= 0 && *r.Time <= maxTraceSeconds) {
		return errors.New("time: must be seconds, from 0 on")
	}
	if *r.Time < t.lastTime {
		return fmt.Errorf("time: %v comes after %v: rows must be in the order of time", *r.Time, t.lastTime)
	}
	t.lastTime = *r.Time
	o := slices.IndexFunc(t.plan.Operations, func(o Operation) bool { return o.Name == r.Operation })
	if o < 0 {
		return fmt.Errorf("operation: %q is none of the experiment's", r.Operation)
	}
	c := slices.IndexFunc(t.plan.Tenants, func(c Tenant) bool { return c.Name == r.Tenant })
	if c < 0 && (r.Tenant != "" || len(t.plan.Tenants) > 0) {
		return fmt.Errorf("customer: %q is none of the experiment's", r.Tenant)
	}
	if !(r.Hint >= 0 && r.Hint <= 1e6) || !(r.Work >= 0 && r.Work <= 1e6) {
		return errors.New("hint, work: must be seconds, from 0 to 1000000")
	}
	a := Arrival{
		At: seconds(*r.Time), Operation: o, Tenant: max(c, 0), Hint: seconds(r.Hint),
		Work: seconds(r.Work), Retry: r.Retry,
	}
	op := &t.plan.Operations[o]
	switch {
	case r.Work > 0:
	case r.Hint > 0: // the error goes the other way round
		a.Work = max(seconds(r.Hint*math.Exp(-t.rng.NormFloat64()*max(op.HintError, 0))), time.Microsecond)
	default:
		a.Work = op.Work.Std()
	}
	if a.Key = t.rng.Uint64(); r.Key != "" {
		h := fnv.New64a()
		_, _ = io.WriteString(h, r.Key)
		a.Key = h.Sum64()
	}
	t.arrivals = append(t.arrivals, a)
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// readJSONLines reads a JSON object a line, and returns the line that is wrong.
func (t *traceReader) readJSONLines(in io.Reader) (line int, err error) {
	s := bufio.NewScanner(in)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		line++
		b := bytes.TrimSpace(s.Bytes())
		if len(b) == 0 {
			continue
		}
		var r traceRow
		d := json.NewDecoder(bytes.NewReader(b))
		d.DisallowUnknownFields()
		if err := d.Decode(&r); err != nil {
			return line, fmt.Errorf("not an arrival: %w", err)
		}
		if d.More() {
			return line, errors.New("more than one object")
		}
		if err := t.addRow(r); err != nil {
			return line, err
		}
	}
	return line + 1, s.Err()
}

// readCSV reads CSV, and returns the line that is wrong.
func (t *traceReader) readCSV(in io.Reader) (line int, err error) {
	rows := csv.NewReader(in)
	names, err := rows.Read()
	if err != nil {
		return 1, fmt.Errorf("no first line with the names of the columns: %w", err)
	}
	for n, name := range names {
		names[n] = strings.TrimSpace(name)
		if !slices.Contains(traceColumns, names[n]) || slices.Index(names, names[n]) < n {
			return 1, fmt.Errorf("column %q, must be each of %s once at the most", name, strings.Join(traceColumns, ", "))
		}
	}
	for _, required := range traceColumns[:2] {
		if !slices.Contains(names, required) {
			return 1, fmt.Errorf("there is no column %q", required)
		}
	}
	for {
		cells, err := rows.Read()
		if errors.Is(err, io.EOF) {
			return 0, nil
		}
		var parseError *csv.ParseError
		if errors.As(err, &parseError) {
			return parseError.Line, parseError.Err
		}
		if err != nil {
			return 0, err
		}
		line, _ := rows.FieldPos(0)
		r, err := parseCells(names, cells)
		if err == nil {
			err = t.addRow(r)
		}
		if err != nil {
			return line, err
		}
	}
}

func parseCells(names, cells []string) (r traceRow, err error) {
	parseNumber := func(name, s string) (v float64) {
		if s = strings.TrimSpace(s); s == "" || err != nil {
			return 0
		}
		if v, err = strconv.ParseFloat(s, 64); err != nil {
			err = fmt.Errorf("%s: %q is not a figure", name, s)
		}
		return v
	}
	for n, name := range names {
		cell := strings.TrimSpace(cells[n])
		switch name {
		case "time":
			if v := parseNumber(name, cell); cell != "" {
				r.Time = &v
			}
		case "operation":
			r.Operation = cell
		case "hint":
			r.Hint = parseNumber(name, cell)
		case "work":
			r.Work = parseNumber(name, cell)
		case "customer":
			r.Tenant = cell
		case "key":
			r.Key = cell
		case "retry":
			if cell != "" && err == nil {
				if r.Retry, err = strconv.ParseBool(cell); err != nil {
					err = fmt.Errorf("retry: %q is neither true nor false", cell)
				}
			}
		}
	}
	return r, err
}
