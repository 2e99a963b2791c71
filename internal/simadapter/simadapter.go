// Package simadapter runs dispatchers in the simulator. It translates each event from the simulator into a call of a
// balancer, and each effect of the balancer into a command in the reply. The package makes no decisions and has no
// clock of its own.
//
// wire_names.go maps the names on the wire to the terms of this code.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
	"canvasroute/internal/settings"
)

// Sizes of the buffers, in bytes.
const (
	inputBufferBytes  = 1 << 20
	outputBufferBytes = 1 << 16
)

// Errors that end the run, because a batch is malformed or inconsistent with earlier ones.
var (
	errMalformedBatch      = errors.New("malformed")
	errUnknownDispatcher   = errors.New("unknown dispatcher")
	errUnknownEvent        = errors.New("unknown event")
	errUnknownRequest      = errors.New("unknown request")
	errUnknownAttempt      = errors.New("has no attempt")
	errUnknownWorker       = errors.New("unknown worker")
	errUnknownEndpointList = errors.New("unknown endpoint list")
)

// simulation is the state of the process.
type simulation struct {
	instances map[int]*instance   // dispatchers, by number
	lists     map[int][]listEntry // endpoint lists, by number; shared by all dispatchers
	reply     reply               // reply to the current batch
}

// Run reads batches, one per line, until the end of the input, and writes a one-line reply to each. An error in the
// input includes the line number, counted from 1, and a description of the problem.
func Run(in io.Reader, out io.Writer) error {
	input := bufio.NewReaderSize(in, inputBufferBytes)
	output := bufio.NewWriterSize(out, outputBufferBytes)
	s := &simulation{instances: map[int]*instance{}, lists: map[int][]listEntry{}}
	var parser fastjson.Parser
	var line []byte
	for n := 1; ; n++ {
		var err error
		line, err = readLine(input, line[:0])
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", n, err)
		}
		parsed, err := parser.ParseBytes(line)
		if err != nil {
			return fmt.Errorf("line %d: %w: %w", n, errMalformedBatch, err)
		}
		if err := s.handleBatch(parsed); err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if _, err := output.Write(s.reply.line); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
		if err := output.Flush(); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

// readLine appends a line, including its line end, to a buffer. The line may be longer than the reader's buffer.
func readLine(r *bufio.Reader, line []byte) ([]byte, error) {
	for {
		fragment, err := r.ReadSlice('\n')
		line = append(line, fragment...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// handleBatch handles the events of a batch, which all have the same timestamp, and writes the reply.
func (s *simulation) handleBatch(parsed *fastjson.Value) error {
	received, err := parseBatch(parsed)
	if err != nil {
		return err
	}
	s.reply.start(received.frame)
	for n, event := range received.events {
		if err := s.handleEvent(n, event, received.now); err != nil {
			return err
		}
	}
	s.reply.end()
	return nil
}

// batch is one line from the simulator.
type batch struct {
	frame  uint64 // number of the batch, which is repeated in the reply
	now    balancer.Time
	events []*fastjson.Value
}

// parseBatch parses a batch, in which all keys are required.
func parseBatch(parsed *fastjson.Value) (batch, error) {
	frame, now, events := parsed.Get(keyFrame), parsed.Get(keyNow), parsed.Get(keyEvents)
	if frame == nil || now == nil || events == nil {
		return batch{}, fmt.Errorf("a batch needs %s, %s and %s", keyFrame, keyNow, keyEvents)
	}
	number, err := frame.Uint64()
	if err != nil {
		return batch{}, fmt.Errorf("%s: %w", keyFrame, err)
	}
	seconds, err := now.Float64()
	if err != nil {
		return batch{}, fmt.Errorf("%s: %w", keyNow, err)
	}
	list, err := events.Array()
	if err != nil {
		return batch{}, fmt.Errorf("%s: %w", keyEvents, err)
	}
	return batch{frame: number, now: settings.TimeFromSeconds(seconds), events: list}, nil
}

// handleEvent handles the n-th event of a batch, counted from 0. An event is an object whose only key is the name of
// the event.
func (s *simulation) handleEvent(n int, event *fastjson.Value, now balancer.Time) error {
	object, err := event.Object()
	if err != nil || object.Len() != 1 {
		return fmt.Errorf("event %d: not an object with exactly one key", n)
	}
	object.Visit(func(name []byte, fields *fastjson.Value) {
		if err = s.dispatchEvent(string(name), fields, now); err != nil {
			err = fmt.Errorf("event %d, %s: %w", n, name, err)
		}
	})
	return err
}

// dispatchEvent handles the events about endpoint lists and dispatchers, and passes other events to their dispatcher.
// Events for a failed dispatcher are ignored.
func (s *simulation) dispatchEvent(event string, fields *fastjson.Value, now balancer.Time) error {
	if fields.Type() != fastjson.TypeObject {
		return errors.New("fields are not an object")
	}
	if event == eventEndpointList {
		return s.storeEndpointList(fields)
	}
	if !fields.Exists(keyDispatcher) {
		return errors.New("missing " + keyDispatcher)
	}
	number := fields.GetInt(keyDispatcher)
	if event == eventDispatcherStarted {
		return s.startInstance(number, fields, now)
	}
	in := s.instances[number]
	if in == nil {
		return fmt.Errorf("%w %d", errUnknownDispatcher, number)
	}
	if event == eventDispatcherKilled {
		delete(s.instances, number)
		return nil
	}
	if in.failed {
		return nil
	}
	if event == eventEndpointUpdate {
		return in.handleAt(now, func() error { return s.updateEndpoints(in, fields) })
	}
	return in.handleAt(now, func() error { return in.handleEvent(event, fields) })
}

// startInstance starts a dispatcher, and replaces any running dispatcher with the same number.
func (s *simulation) startInstance(number int, fields *fastjson.Value, now balancer.Time) error {
	in := newInstance(number, &s.reply)
	s.instances[number] = in
	return in.callReportingPanic(func() error {
		config, err := settings.Parse(fields.Get(keySettings))
		if err != nil {
			return fmt.Errorf("%s: %w", keySettings, err)
		}
		in.operationCount = len(config.Operations)
		in.tenantCount = len(config.Quotas.Tenants)
		in.loadReportLength = settings.LoadReportLength(fields.Get(keySettings))
		in.balancer = balancer.New(config, fields.GetUint64(keySeed), in)
		in.balancer.SetTime(now)
		return nil
	})
}
