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
	"math/rand/v2"
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
	Work      float64  `json:"work"` // 0: derived from the hint, or the operation's mean
	Tenant    string   `json:"customer"`
	Key       string   `json:"key"`
	Retry     bool     `json:"retry"`
}

// traceColumns are the allowed names in the header of a CSV trace, in any order. The first two are required.
var traceColumns = []string{"time", "operation", "hint", "work", "customer", "key", "retry"}

// maxTraceSeconds is the latest time allowed in a trace, in seconds.
const maxTraceSeconds = 7 * 24 * 3600

// maxWorkSeconds bounds the work and the hint of a row, in seconds.
const maxWorkSeconds = 1_000_000

// ReadTrace reads recorded arrivals: CSV with a header if the name ends in .csv, else one JSON object per line. It
// fails on the first invalid row; the error names the file, the line and the column.
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

// traceReader collects the arrivals of a trace.
type traceReader struct {
	plan     *Plan
	rng      *rand.Rand
	lastTime float64 // of the row before, in seconds
	arrivals []Arrival
}

// addRow validates one row and appends its arrival.
func (t *traceReader) addRow(r traceRow) error {
	switch {
	case r.Time == nil || !(*r.Time >= 0 && *r.Time <= maxTraceSeconds):
		return errors.New("time: must be seconds, from 0 on")
	case *r.Time < t.lastTime:
		return fmt.Errorf("time: %v comes after %v: rows must be in the order of time", *r.Time, t.lastTime)
	}
	t.lastTime = *r.Time
	o, tenant, err := t.lookUp(r)
	if err != nil {
		return err
	}
	if !(r.Hint >= 0 && r.Hint <= maxWorkSeconds) || !(r.Work >= 0 && r.Work <= maxWorkSeconds) {
		return fmt.Errorf("hint, work: must be seconds, from 0 to %d", maxWorkSeconds)
	}
	t.arrivals = append(t.arrivals, Arrival{
		At: seconds(*r.Time), Operation: o, Tenant: tenant, Hint: seconds(r.Hint),
		Work: t.work(r, &t.plan.Operations[o]), Retry: r.Retry, Key: t.key(r),
	})
	return nil
}

// lookUp returns the indexes of a row's operation and tenant.
func (t *traceReader) lookUp(r traceRow) (operation, tenant int, err error) {
	operation = slices.IndexFunc(t.plan.Operations, func(o Operation) bool { return o.Name == r.Operation })
	if operation < 0 {
		return 0, 0, fmt.Errorf("operation: %q is not defined in the experiment", r.Operation)
	}
	tenant = slices.IndexFunc(t.plan.Tenants, func(c Tenant) bool { return c.Name == r.Tenant })
	if tenant < 0 && (r.Tenant != "" || len(t.plan.Tenants) > 0) {
		return 0, 0, fmt.Errorf("customer: %q is not defined in the experiment", r.Tenant)
	}
	return operation, max(tenant, 0), nil
}

// work is a row's work. Without one it follows from the hint, to which the hint's error is applied in reverse, or it
// is the operation's mean.
func (t *traceReader) work(r traceRow, o *Operation) time.Duration {
	switch {
	case r.Work > 0:
		return seconds(r.Work)
	case r.Hint > 0:
		return max(seconds(r.Hint*math.Exp(-t.rng.NormFloat64()*max(o.HintError, 0))), time.Microsecond)
	}
	return o.Work.Std()
}

// key is the hash of a row's key. A random one is drawn for each row, so that the draws of other rows do not depend
// on which ones have a key.
func (t *traceReader) key(r traceRow) uint64 {
	random := t.rng.Uint64()
	if r.Key == "" {
		return random
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, r.Key)
	return h.Sum64()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// readJSONLines reads one JSON object per line. With an error it returns the number of the invalid line.
func (t *traceReader) readJSONLines(in io.Reader) (line int, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line++
		b := bytes.TrimSpace(scanner.Bytes())
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
	return line + 1, scanner.Err()
}

// readCSV reads CSV with a header. With an error it returns the number of the invalid line.
func (t *traceReader) readCSV(in io.Reader) (line int, err error) {
	rows := csv.NewReader(in)
	names, err := rows.Read()
	if err != nil {
		return 1, fmt.Errorf("no header with the names of the columns: %w", err)
	}
	if err := validateHeader(names); err != nil {
		return 1, err
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

// validateHeader trims the names of the columns and checks that each is known, none is double and no required one
// is missing.
func validateHeader(names []string) error {
	for n, name := range names {
		names[n] = strings.TrimSpace(name)
		if !slices.Contains(traceColumns, names[n]) || slices.Index(names, names[n]) < n {
			return fmt.Errorf("column %q, must be one of %s, each at most once", name, strings.Join(traceColumns, ", "))
		}
	}
	for _, required := range traceColumns[:2] {
		if !slices.Contains(names, required) {
			return fmt.Errorf("missing column %q", required)
		}
	}
	return nil
}

// parseCells converts the cells of a CSV row. The error names the column.
func parseCells(names, cells []string) (r traceRow, err error) {
	for n, name := range names {
		cell := strings.TrimSpace(cells[n])
		if cell == "" {
			continue
		}
		if err := r.setCell(name, cell); err != nil {
			return r, err
		}
	}
	return r, nil
}

func (r *traceRow) setCell(name, cell string) (err error) {
	switch name {
	case "time":
		var v float64
		if v, err = strconv.ParseFloat(cell, 64); err == nil {
			r.Time = &v
		}
	case "operation":
		r.Operation = cell
	case "hint":
		r.Hint, err = strconv.ParseFloat(cell, 64)
	case "work":
		r.Work, err = strconv.ParseFloat(cell, 64)
	case "customer":
		r.Tenant = cell
	case "key":
		r.Key = cell
	case "retry":
		if r.Retry, err = strconv.ParseBool(cell); err != nil {
			return fmt.Errorf("retry: %q is neither true nor false", cell)
		}
		return nil
	}
	if err != nil {
		return fmt.Errorf("%s: %q is not a number", name, cell)
	}
	return nil
}
