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

// traceRow is one row of a trace. Times and durations are in seconds.
type traceRow struct {
	Time      *float64 `json:"time"` // since the start of the experiment; required
	Operation string   `json:"operation"`
	Hint      float64  `json:"hint"`     // 0: the client sends no hint
	Work      float64  `json:"work"`     // 0: derived from the hint, or else the operation's mean
	Tenant    string   `json:"customer"` // empty if the experiment has no tenants
	Key       string   `json:"key"`      // empty: a random key
	Retry     bool     `json:"retry"`
}

// Column names of a CSV trace, and keys of the objects of a JSON trace.
const (
	columnTime      = "time"
	columnOperation = "operation"
	columnHint      = "hint"
	columnWork      = "work"
	columnTenant    = "customer"
	columnKey       = "key"
	columnRetry     = "retry"
)

// traceColumns are the columns that the header of a CSV trace may contain, in any order.
var traceColumns = []string{
	columnTime, columnOperation, columnHint, columnWork, columnTenant, columnKey, columnRetry,
}

// requiredColumns are the columns that the header of a CSV trace must contain.
var requiredColumns = []string{columnTime, columnOperation}

// Limits of a trace.
const (
	maxTraceSeconds = 7 * 24 * 3600 // latest arrival time
	maxWorkSeconds  = 1_000_000     // maximum work and hint of a row
	maxLineBytes    = 1 << 20       // maximum size of a JSON object
)

// ReadTrace reads recorded arrivals. The format is CSV with a header if the name ends in .csv, otherwise one JSON
// object per line. ReadTrace returns an error at the first invalid row, which names the file, the line and the column.
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
	rng      *rand.Rand // source of missing work and keys
	lastTime float64    // time of the previous row, in seconds
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
	if !isValidWork(r.Hint) || !isValidWork(r.Work) {
		return fmt.Errorf("hint, work: must be seconds, from 0 to %d", maxWorkSeconds)
	}
	t.arrivals = append(t.arrivals, Arrival{
		At:        toDuration(*r.Time),
		Operation: operation,
		Tenant:    tenant,
		Hint:      toDuration(r.Hint),
		Work:      t.rowWork(r, &t.plan.Operations[operation]),
		Retry:     r.Retry,
		Key:       t.rowKey(r),
	})
	return nil
}

// isValidWork reports whether a number of seconds is within the limits of work and hints.
func isValidWork(seconds float64) bool { return seconds >= 0 && seconds <= maxWorkSeconds }

// operationIndex returns the index of the operation with the given name, or an error if there is none.
func (t *traceReader) operationIndex(name string) (int, error) {
	index := slices.IndexFunc(t.plan.Operations, func(o Operation) bool { return o.Name == name })
	if index < 0 {
		return 0, fmt.Errorf("%s: %q is not defined in the experiment", columnOperation, name)
	}
	return index, nil
}

// tenantIndex returns the index of the tenant with the given name, or an error if there is none. If the experiment has
// no tenants, the index for the empty name is 0.
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

// rowWork returns the work of a row. If the row has none, the work is the hint divided by a randomly drawn hint error.
// If the row has no hint either, the work is the operation's mean.
func (t *traceReader) rowWork(r traceRow, o *Operation) time.Duration {
	switch {
	case r.Work > 0:
		return toDuration(r.Work)
	case r.Hint > 0:
		return max(toDuration(r.Hint*math.Exp(-t.rng.NormFloat64()*max(o.HintError, 0))), time.Microsecond)
	}
	return o.Work.Std()
}

// rowKey returns the hash of a row's key, or a random key if the row has none. A key is drawn for each row, so that the
// draws for other rows do not depend on which rows have keys.
func (t *traceReader) rowKey(r traceRow) uint64 {
	random := t.rng.Uint64()
	if r.Key == "" {
		return random
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, r.Key) // Write of a hash never returns an error
	return hash.Sum64()
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// readJSONLines reads one JSON object per line. If it returns an error, line is the number of the invalid line.
func (t *traceReader) readJSONLines(in io.Reader) (line int, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line++
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		row, err := parseRow(text)
		if err == nil {
			err = t.addRow(row)
		}
		if err != nil {
			return line, err
		}
	}
	return line + 1, scanner.Err()
}

// parseRow parses the JSON object of a row. It returns an error for unknown keys and for more than one object.
func parseRow(text []byte) (row traceRow, err error) {
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

// readCSV reads CSV with a header. If it returns an error, line is the number of the invalid line, or 0 if unknown.
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

// validateHeader trims the column names in place. It returns an error if a name is unknown or repeated, or if a
// required column is missing.
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

// parseCells parses the cells of a CSV row. If a cell is invalid, the error names its column.
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

// setCell parses a cell and sets the field of its column. If the cell is invalid, the error names the column.
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
