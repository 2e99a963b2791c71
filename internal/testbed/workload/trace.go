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
	Time      *float64 `json:"time"` // since the start of the experiment; required
	Operation string   `json:"operation"`
	Hint      float64  `json:"hint"`     // 0: the client sends none
	Work      float64  `json:"work"`     // 0: derived from the hint, or the operation's mean
	Tenant    string   `json:"customer"` // empty if the experiment has no tenants
	Key       string   `json:"key"`      // empty: a random one
	Retry     bool     `json:"retry"`
}

// Names of the columns of a CSV trace. They are also the keys of a trace of JSON objects.
const (
	columnTime      = "time"
	columnOperation = "operation"
	columnHint      = "hint"
	columnWork      = "work"
	columnTenant    = "customer"
	columnKey       = "key"
	columnRetry     = "retry"
)

// traceColumns are the columns that the header of a CSV trace may have, in any order.
var traceColumns = []string{
	columnTime, columnOperation, columnHint, columnWork, columnTenant, columnKey, columnRetry,
}

// requiredColumns are the columns that the header of a CSV trace must have.
var requiredColumns = []string{columnTime, columnOperation}

// Limits of a trace.
const (
	maxTraceSeconds = 7 * 24 * 3600 // latest time
	maxWorkSeconds  = 1_000_000     // of the work and the hint of a row
	maxLineBytes    = 1 << 20       // of one JSON object
)

// ReadTrace reads recorded arrivals: CSV with a header if the name ends in .csv, else one JSON object per line. It
// fails on the first invalid row; the error names the file, the line and the column.
func (p *Plan) ReadTrace(name string, in io.Reader, seed uint64) ([]Arrival, error) {
	reader := &traceReader{plan: p, rng: unit.RandomStream(seed, "trace"), lastTime: math.Inf(-1)}
	read := reader.readJSONLines
	if strings.HasSuffix(strings.ToLower(name), ".csv") {
		read = reader.readCSV
	}
	if line, err := read(in); err != nil {
		return nil, fmt.Errorf("%s:%d: %w", name, line, err)
	}
	if len(reader.arrivals) == 0 {
		return nil, fmt.Errorf("%s: holds no arrival", name)
	}
	return reader.arrivals, nil
}

// traceReader collects the arrivals of a trace.
type traceReader struct {
	plan     *Plan
	rng      *rand.Rand // of missing work and keys
	lastTime float64    // of the row before, in seconds
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
	operation, err := t.operationIndex(r.Operation)
	if err != nil {
		return err
	}
	tenant, err := t.tenantIndex(r.Tenant)
	if err != nil {
		return err
	}
	if !isWork(r.Hint) || !isWork(r.Work) {
		return fmt.Errorf("hint, work: must be seconds, from 0 to %d", maxWorkSeconds)
	}
	t.arrivals = append(t.arrivals, Arrival{
		At:        seconds(*r.Time),
		Operation: operation,
		Tenant:    tenant,
		Hint:      seconds(r.Hint),
		Work:      t.work(r, &t.plan.Operations[operation]),
		Retry:     r.Retry,
		Key:       t.key(r),
	})
	return nil
}

// isWork reports whether a number of seconds is allowed as work or hint.
func isWork(seconds float64) bool { return seconds >= 0 && seconds <= maxWorkSeconds }

// operationIndex returns the index of a named operation.
func (t *traceReader) operationIndex(name string) (int, error) {
	index := slices.IndexFunc(t.plan.Operations, func(o Operation) bool { return o.Name == name })
	if index < 0 {
		return 0, fmt.Errorf("%s: %q is not defined in the experiment", columnOperation, name)
	}
	return index, nil
}

// tenantIndex returns the index of a named tenant. Without tenants in the experiment it is 0 for the empty name.
func (t *traceReader) tenantIndex(name string) (int, error) {
	if name == "" && len(t.plan.Tenants) == 0 {
		return 0, nil
	}
	index := slices.IndexFunc(t.plan.Tenants, func(c Tenant) bool { return c.Name == name })
	if index < 0 {
		return 0, fmt.Errorf("%s: %q is not defined in the experiment", columnTenant, name)
	}
	return index, nil
}

// work returns a row's work. Without one it follows from the hint, to which the hint's error is applied in reverse.
// Without either it is the operation's mean.
func (t *traceReader) work(r traceRow, o *Operation) time.Duration {
	switch {
	case r.Work > 0:
		return seconds(r.Work)
	case r.Hint > 0:
		return max(seconds(r.Hint*math.Exp(-t.rng.NormFloat64()*max(o.HintError, 0))), time.Microsecond)
	}
	return o.Work.Std()
}

// key returns the hash of a row's key, or a random one. One is drawn for each row, so that the draws of other rows do not
// depend on which rows have a key.
func (t *traceReader) key(r traceRow) uint64 {
	random := t.rng.Uint64()
	if r.Key == "" {
		return random
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, r.Key) // a hash returns no error
	return hash.Sum64()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// readJSONLines reads one JSON object per line. With an error it returns the number of the invalid line.
func (t *traceReader) readJSONLines(in io.Reader) (line int, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line++
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		row, err := parseObject(text)
		if err == nil {
			err = t.addRow(row)
		}
		if err != nil {
			return line, err
		}
	}
	return line + 1, scanner.Err()
}

// parseObject parses the JSON object of a row.
func parseObject(text []byte) (row traceRow, err error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&row); err != nil {
		return row, fmt.Errorf("not an arrival: %w", err)
	}
	if decoder.More() {
		return row, errors.New("more than one object")
	}
	return row, nil
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
		row, err := parseCells(names, cells)
		if err == nil {
			err = t.addRow(row)
		}
		if err != nil {
			return line, err
		}
	}
}

// validateHeader trims the names of the columns. It checks that each is known, that none is double and that no required
// one is missing.
func validateHeader(names []string) error {
	for n, name := range names {
		names[n] = strings.TrimSpace(name)
		if !slices.Contains(traceColumns, names[n]) || slices.Index(names, names[n]) < n {
			return fmt.Errorf("column %q, must be one of %s, each at most once", name, strings.Join(traceColumns, ", "))
		}
	}
	for _, required := range requiredColumns {
		if !slices.Contains(names, required) {
			return fmt.Errorf("missing column %q", required)
		}
	}
	return nil
}

// parseCells converts the cells of a CSV row. The error names the column.
func parseCells(names, cells []string) (row traceRow, err error) {
	for n, name := range names {
		cell := strings.TrimSpace(cells[n])
		if cell == "" {
			continue
		}
		if err := row.setCell(name, cell); err != nil {
			return row, err
		}
	}
	return row, nil
}

// setCell parses one cell. The error names the column.
func (r *traceRow) setCell(name, cell string) (err error) {
	switch name {
	case columnTime:
		var seconds float64
		if seconds, err = strconv.ParseFloat(cell, 64); err == nil {
			r.Time = &seconds
		}
	case columnOperation:
		r.Operation = cell
	case columnHint:
		r.Hint, err = strconv.ParseFloat(cell, 64)
	case columnWork:
		r.Work, err = strconv.ParseFloat(cell, 64)
	case columnTenant:
		r.Tenant = cell
	case columnKey:
		r.Key = cell
	case columnRetry:
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
