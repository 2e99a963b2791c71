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

// row is one row of a trace. Times are in seconds.
type row struct {
	Time      *float64 `json:"time"`
	Operation string   `json:"operation"`
	Hint      float64  `json:"hint"`
	Work      float64  `json:"work"` // 0: drawn round the hint, or by the operation
	Customer  string   `json:"customer"`
	Key       string   `json:"key"`
	Retry     bool     `json:"retry"`
}

// columns are the names that a CSV trace's first line may have, in any order; time and operation must be
// there.
var columns = []string{"time", "operation", "hint", "work", "customer", "key", "retry"}

// longestTrace bounds a time in a trace, in seconds.
const longestTrace = 7 * 24 * 3600

// Trace reads recorded arrivals: CSV with a first line of names if the name ends in .csv, else a JSON object
// a line. Every row must be good: the error names the file, the line and what is wrong there.
func (p *Plan) Trace(name string, in io.Reader, seed uint64) ([]Arrival, error) {
	t := &tracer{plan: p, rng: unit.Chance(seed, "trace"), last: math.Inf(-1)}
	read := t.lines
	if strings.HasSuffix(strings.ToLower(name), ".csv") {
		read = t.table
	}
	if line, err := read(in); err != nil {
		return nil, fmt.Errorf("%s:%d: %w", name, line, err)
	}
	if len(t.out) == 0 {
		return nil, fmt.Errorf("%s: holds no arrival", name)
	}
	return t.out, nil
}

type tracer struct {
	plan *Plan
	rng  interface {
		NormFloat64() float64
		ExpFloat64() float64
		Float64() float64
		Uint64() uint64
	}
	last float64
	out  []Arrival
}

// take checks one row and adds its arrival.
func (t *tracer) take(r row) error {
	if r.Time == nil || !(*r.Time >= 0 && *r.Time <= longestTrace) {
		return errors.New("time: must be seconds, from 0 on")
	}
	if *r.Time < t.last {
		return fmt.Errorf("time: %v comes after %v: rows must be in the order of time", *r.Time, t.last)
	}
	t.last = *r.Time
	o := slices.IndexFunc(t.plan.Operations, func(o Operation) bool { return o.Name == r.Operation })
	if o < 0 {
		return fmt.Errorf("operation: %q is none of the experiment's", r.Operation)
	}
	c := slices.IndexFunc(t.plan.Customers, func(c Customer) bool { return c.Name == r.Customer })
	if c < 0 && (r.Customer != "" || len(t.plan.Customers) > 0) {
		return fmt.Errorf("customer: %q is none of the experiment's", r.Customer)
	}
	if !(r.Hint >= 0 && r.Hint <= 1e6) || !(r.Work >= 0 && r.Work <= 1e6) {
		return errors.New("hint, work: must be seconds, from 0 to 1000000")
	}
	a := Arrival{
		At: seconds(*r.Time), Operation: o, Customer: max(c, 0), Hint: seconds(r.Hint),
		Work: seconds(r.Work), Retry: r.Retry,
	}
	op := &t.plan.Operations[o]
	switch {
	case r.Work > 0:
	case r.Hint > 0: // the error goes the other way round
		a.Work = max(seconds(r.Hint*math.Exp(-t.rng.NormFloat64()*max(op.HintError, 0))), time.Microsecond)
	default:
		a.Work = op.Work.D()
	}
	if a.Key = t.rng.Uint64(); r.Key != "" {
		h := fnv.New64a()
		_, _ = io.WriteString(h, r.Key)
		a.Key = h.Sum64()
	}
	t.out = append(t.out, a)
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// lines reads a JSON object a line, and returns the line that is wrong.
func (t *tracer) lines(in io.Reader) (line int, err error) {
	s := bufio.NewScanner(in)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		line++
		b := bytes.TrimSpace(s.Bytes())
		if len(b) == 0 {
			continue
		}
		var r row
		d := json.NewDecoder(bytes.NewReader(b))
		d.DisallowUnknownFields()
		if err := d.Decode(&r); err != nil {
			return line, fmt.Errorf("not an arrival: %w", err)
		}
		if d.More() {
			return line, errors.New("more than one object")
		}
		if err := t.take(r); err != nil {
			return line, err
		}
	}
	return line + 1, s.Err()
}

// table reads CSV, and returns the line that is wrong.
func (t *tracer) table(in io.Reader) (line int, err error) {
	rows := csv.NewReader(in)
	names, err := rows.Read()
	if err != nil {
		return 1, fmt.Errorf("no first line with the names of the columns: %w", err)
	}
	for n, name := range names {
		names[n] = strings.TrimSpace(name)
		if !slices.Contains(columns, names[n]) || slices.Index(names, names[n]) < n {
			return 1, fmt.Errorf("column %q, must be each of %s once at the most", name, strings.Join(columns, ", "))
		}
	}
	for _, must := range columns[:2] {
		if !slices.Contains(names, must) {
			return 1, fmt.Errorf("there is no column %q", must)
		}
	}
	for {
		cells, err := rows.Read()
		if errors.Is(err, io.EOF) {
			return 0, nil
		}
		var broken *csv.ParseError
		if errors.As(err, &broken) {
			return broken.Line, broken.Err
		}
		if err != nil {
			return 0, err
		}
		line, _ := rows.FieldPos(0)
		r, err := cellsOf(names, cells)
		if err == nil {
			err = t.take(r)
		}
		if err != nil {
			return line, err
		}
	}
}

func cellsOf(names, cells []string) (r row, err error) {
	figure := func(name, s string) (v float64) {
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
			if v := figure(name, cell); cell != "" {
				r.Time = &v
			}
		case "operation":
			r.Operation = cell
		case "hint":
			r.Hint = figure(name, cell)
		case "work":
			r.Work = figure(name, cell)
		case "customer":
			r.Customer = cell
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
