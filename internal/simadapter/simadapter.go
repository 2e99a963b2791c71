// Package simadapter runs dispatchers in the simulator: it turns each event on the simulator's wire into a call of a
// balancer, and each of the balancer's effects into a command of the reply. It decides nothing, keeps no time and does
// nothing by itself.
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

// Errors of batches that cannot be trusted. They end the run.
var (
	errMalformedBatch    = errors.New("malformed")
	errUnknownDispatcher = errors.New("unknown dispatcher")
	errUnknownEvent      = errors.New("unknown message")
	errUnknownRequest    = errors.New("unknown request")
	errUnknownWorker     = errors.New("unknown worker")
	errUnknownList       = errors.New("unknown list")
)

// simulation holds the dispatchers of one process, and the worker lists that the simulator has sent, by their numbers.
type simulation struct {
	instances map[int]*instance
	lists     map[int][]listedWorker
	reply     reply
}

// Run reads batches, one a line, until the input ends, and answers each with one line. An error names the line.
func Run(in io.Reader, out io.Writer) error {
	input := bufio.NewReaderSize(in, inputBufferBytes)
	output := bufio.NewWriterSize(out, outputBufferBytes)
	s := &simulation{instances: map[int]*instance{}, lists: map[int][]listedWorker{}}
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
		batch, err := parser.ParseBytes(line)
		if err != nil {
			return fmt.Errorf("line %d: %w: %w", n, errMalformedBatch, err)
		}
		if err := s.runBatch(batch); err != nil {
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

// readLine appends a line, which may be longer than the reader's buffer.
func readLine(r *bufio.Reader, line []byte) ([]byte, error) {
	for {
		fragment, err := r.ReadSlice('\n')
		line = append(line, fragment...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// runBatch handles the events of a batch, which all happen at one time, and writes the reply.
func (s *simulation) runBatch(v *fastjson.Value) error {
	header, err := parseHeader(v)
	if err != nil {
		return err
	}
	s.reply.start(header.frame)
	for n, event := range header.events {
		if err := s.runEvent(n, event, header.now); err != nil {
			return err
		}
	}
	s.reply.end()
	return nil
}

// batchHeader is what a batch consists of.
type batchHeader struct {
	frame  uint64 // the batch's number, which the reply repeats
	now    balancer.Time
	events []*fastjson.Value
}

func parseHeader(v *fastjson.Value) (batchHeader, error) {
	frame, wall, happened := v.Get("frame"), v.Get("wallS"), v.Get("happened")
	if frame == nil || wall == nil || happened == nil {
		return batchHeader{}, errors.New("a batch needs frame, wallS and happened")
	}
	number, err := frame.Uint64()
	if err != nil {
		return batchHeader{}, fmt.Errorf("frame: %w", err)
	}
	seconds, err := wall.Float64()
	if err != nil {
		return batchHeader{}, fmt.Errorf("wallS: %w", err)
	}
	events, err := happened.Array()
	if err != nil {
		return batchHeader{}, fmt.Errorf("happened: %w", err)
	}
	return batchHeader{frame: number, now: settings.TimeOf(seconds), events: events}, nil
}

// runEvent handles the n-th event of a batch: an object whose only key is its kind.
func (s *simulation) runEvent(n int, v *fastjson.Value, now balancer.Time) error {
	object, err := v.Object()
	if err != nil || object.Len() != 1 {
		return fmt.Errorf("event %d: not an object of one key", n)
	}
	object.Visit(func(kind []byte, fields *fastjson.Value) {
		if err = s.dispatchEvent(string(kind), fields, now); err != nil {
			err = fmt.Errorf("event %d, %s: %w", n, kind, err)
		}
	})
	return err
}

// dispatchEvent handles the events about lists and instances, and leaves the others to their instance.
func (s *simulation) dispatchEvent(kind string, fields *fastjson.Value, now balancer.Time) error {
	if fields.Type() != fastjson.TypeObject {
		return errors.New("fields are not an object")
	}
	if kind == "Inventory" {
		return s.storeList(fields)
	}
	if !fields.Exists("dispatcher") {
		return errors.New("no dispatcher")
	}
	number := fields.GetInt("dispatcher")
	if kind == "NewInstance" {
		return s.startInstance(number, fields, now)
	}
	in := s.instances[number]
	if in == nil {
		return fmt.Errorf("%w %d", errUnknownDispatcher, number)
	}
	if kind == "Destroy" {
		delete(s.instances, number)
		return nil
	}
	if in.failed {
		return nil
	}
	if kind == "Discovery" {
		return in.run(now, func() error { return s.updateEndpoints(in, fields) })
	}
	return in.run(now, func() error { return in.handle(kind, fields) })
}

// startInstance starts a dispatcher. One with the same number that runs already is replaced.
func (s *simulation) startInstance(number int, fields *fastjson.Value, now balancer.Time) error {
	in := newInstance(number, &s.reply)
	s.instances[number] = in
	return in.reportPanic(func() error {
		config, err := settings.Parse(fields.Get("setup"))
		if err != nil {
			return fmt.Errorf("setup: %w", err)
		}
		in.operations = len(config.Operations)
		in.tenants = len(config.Tenants)
		in.reportValues = len(fields.GetArray("setup", "report", "names"))
		in.balancer = balancer.New(config, fields.GetUint64("nonce64"), in)
		in.balancer.SetTime(now)
		return nil
	})
}
