// Package simadapter plays decide's dispatchers on the bench's wire: it turns each event straight into a call and
// writes each answer straight into the reply. It decides nothing.
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

// instance is one dispatcher with its own names for what the wire calls by text.
type instance struct {
	number     int
	operations int
	customers  int
	reported   int // the values of a load report
	dispatcher *balancer.Balancer
	reply      *reply

	workers map[string]balancer.WorkerID
	names   []string // a worker's name on the wire, quoted
	tags    []uint16 // a worker's name in messages to peers
	tagged  map[uint16]balancer.WorkerID
	invs    map[string]balancer.RequestID
	tracks  []track
	free    []balancer.RequestID
	row     []float64            // the load report at hand
	done    []balancer.RequestID // perhaps over with nothing out, to be freed after the rules
	closed  bool                 // the terms failed: nothing more is expected of it
}

// track follows an invocation until its last outcome, so that its number can be used again.
type track struct {
	name   string
	quoted string
	sent   int // forwards made so far
	out    int
	over   bool
}

// host holds the instances of one process and the numbered lists that they are told of.
type host struct {
	instances map[int]*instance
	lists     map[int][]entry
	reply     reply
}

// Run reads batches until the input ends, and answers each with one line.
func Run(in io.Reader, out io.Writer) error {
	lines, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<16)
	h := &host{instances: map[int]*instance{}, lists: map[int][]entry{}}
	var parser fastjson.Parser
	var line []byte
	for n := 1; ; n++ {
		var err error
		line, err = readLine(lines, line[:0])
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", n, err)
		}
		batch, err := parser.ParseBytes(line)
		if err != nil {
			return fmt.Errorf("line %d: malformed: %w", n, err)
		}
		if err := h.batch(batch); err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if _, err := w.Write(h.reply.buf); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

func readLine(r *bufio.Reader, line []byte) ([]byte, error) {
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

func (h *host) batch(v *fastjson.Value) error {
	frame, happened := v.Get("frame"), v.Get("happened")
	if frame == nil || happened == nil || v.Get("wallS") == nil {
		return errors.New("a batch needs frame, wallS and happened")
	}
	number, err := frame.Uint64()
	if err != nil {
		return fmt.Errorf("frame: %w", err)
	}
	now, err := v.Get("wallS").Float64()
	if err != nil {
		return fmt.Errorf("wallS: %w", err)
	}
	events, err := happened.Array()
	if err != nil {
		return fmt.Errorf("happened: %w", err)
	}
	h.reply.start(number)
	for n, e := range events {
		o, err := e.Object()
		if err != nil || o.Len() != 1 {
			return fmt.Errorf("event %d: not an object of one key", n)
		}
		o.Visit(func(key []byte, fields *fastjson.Value) {
			if err == nil {
				if err = h.event(key, fields, settings.TimeOf(now)); err != nil {
					err = fmt.Errorf("event %d, %s: %w", n, key, err)
				}
			}
		})
		if err != nil {
			return err
		}
	}
	h.reply.end()
	return nil
}

func (h *host) event(key []byte, f *fastjson.Value, now balancer.Time) error {
	if f.Type() != fastjson.TypeObject {
		return errors.New("fields are not an object")
	}
	if string(key) == "Inventory" {
		return h.inventory(f)
	}
	if !f.Exists("dispatcher") {
		return errors.New("no dispatcher")
	}
	number := f.GetInt("dispatcher")
	if string(key) == "NewInstance" {
		return h.newInstance(number, f, now)
	}
	in := h.instances[number]
	if in == nil {
		return fmt.Errorf("unknown dispatcher %d", number)
	}
	if string(key) == "Destroy" {
		delete(h.instances, number)
		return nil
	}
	if in.closed {
		return nil
	}
	return in.guard(func() error {
		in.dispatcher.SetTime(now)
		err := h.tellInstance(in, key, f)
		in.dispatcher.RunDueRules()
		for _, inv := range in.done {
			in.release(inv)
		}
		in.done = in.done[:0]
		return err
	})
}

func (h *host) newInstance(number int, f *fastjson.Value, now balancer.Time) error {
	in := &instance{
		number: number, reply: &h.reply,
		workers: map[string]balancer.WorkerID{}, tagged: map[uint16]balancer.WorkerID{}, invs: map[string]balancer.RequestID{},
	}
	h.instances[number] = in
	return in.guard(func() error {
		t, err := settings.Parse(f.Get("setup"))
		if err != nil {
			return fmt.Errorf("setup: %w", err)
		}
		in.operations, in.customers = len(t.Operations), len(t.Tenants)
		in.reported = len(f.GetArray("setup", "report", "names"))
		in.dispatcher = balancer.New(t, f.GetUint64("nonce64"), in)
		in.dispatcher.SetTime(now)
		return nil
	})
}

// guard reports a panic in the decisions as a fault of this instance and its cause.
func (in *instance) guard(call func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			in.closed = true
			in.reply.text("Die", in.number, fmt.Sprint(cause))
		}
	}()
	return call()
}

func (h *host) tellInstance(in *instance, key []byte, f *fastjson.Value) error {
	d := in.dispatcher
	switch string(key) {
	case "Discovery":
		return h.discovery(in, f)
	case "Arrival":
		return in.arrival(f)
	case "Note", "Verdict":
		return in.forwardNews(string(key) == "Verdict", f)
	case "Flowing":
		inv, n, err := in.forwardOf(f)
		if err == nil {
			in.tracks[inv].over = true
			d.ClientLeft(inv, n)
		}
		return err
	case "TimedOutClient":
		// One that has ended already in this batch may be named again: that is harmless.
		if inv, ok := in.invs[string(f.GetStringBytes("rid"))]; ok {
			in.tracks[inv].over = true
			in.done = append(in.done, inv)
			d.ClientLeft(inv, -1)
		}
	case "Bell":
		d.WakeFired(f.GetUint64("keyBack"))
	case "Sampled":
		w, ok := in.workers[string(f.GetStringBytes("worker"))]
		if !ok {
			return fmt.Errorf("unknown worker %q", f.GetStringBytes("worker"))
		}
		d.ReceiveLoadReport(w, in.numbers(f.Get("telemetry")))
	case "Heard":
		return in.heard(balancer.PeerID(f.GetInt("sender")), f.GetStringBytes("octets"))
	default:
		return errors.New("unknown message")
	}
	return nil
}

func (in *instance) arrival(f *fastjson.Value) error {
	name := string(f.GetStringBytes("rid"))
	if name == "" || in.operations <= f.GetInt("band") || f.GetInt("band") < 0 {
		return fmt.Errorf("no rid, or unknown operation %d", f.GetInt("band"))
	}
	if c := f.GetInt("project"); c < 0 || c >= in.customers {
		return fmt.Errorf("unknown customer %d", c)
	}
	if _, known := in.invs[name]; known {
		return fmt.Errorf("invocation %q is known already", name)
	}
	inv := balancer.RequestID(len(in.tracks))
	if n := len(in.free); n > 0 {
		inv, in.free = in.free[n-1], in.free[:n-1]
	} else {
		in.tracks = append(in.tracks, track{})
	}
	in.tracks[inv] = track{name: name, quoted: quoted(name)}
	in.invs[name] = inv
	in.dispatcher.RequestArrived(inv, balancer.Arrival{
		Operation: balancer.OperationID(f.GetInt("band")),
		Tenant:    balancer.TenantID(f.GetInt("project")),
		Timeout:   settings.DurationOf(f.GetFloat64("graceS")),
		SizeHint:  balancer.Work(settings.DurationOf(f.GetFloat64("costGuessS"))),
		Slots:     f.GetFloat64("coresNeeded"),
	})
	return nil
}

func (in *instance) forwardOf(f *fastjson.Value) (balancer.RequestID, int, error) {
	inv, ok := in.invs[string(f.GetStringBytes("rid"))]
	if !ok {
		return 0, 0, fmt.Errorf("unknown invocation %q", f.GetStringBytes("rid"))
	}
	n := f.GetInt("hop")
	if n < 0 || n >= in.tracks[inv].sent {
		return 0, 0, fmt.Errorf("invocation %q has no forward %d", f.GetStringBytes("rid"), n)
	}
	return inv, n, nil
}

func (in *instance) forwardNews(ended bool, f *fastjson.Value) error {
	inv, n, err := in.forwardOf(f)
	if err != nil {
		return err
	}
	switch {
	case ended:
		how := f.GetInt("reason")
		if how < int(balancer.Succeeded) || how > int(balancer.NotSent) {
			return fmt.Errorf("unknown outcome %d", how)
		}
		t := &in.tracks[inv]
		t.out--
		t.over = t.over || f.GetBool("closed")
		in.done = append(in.done, inv)
		w, known := in.workers[string(f.GetStringBytes("worker"))]
		if !known {
			return fmt.Errorf("unknown worker %q", f.GetStringBytes("worker"))
		}
		in.dispatcher.AttemptEnded(inv, n, balancer.Outcome(how), f.GetBool("closed"))
		in.dispatcher.ReceiveLoadReport(w, in.numbers(f.Get("telemetry")))
	case f.GetInt("what") == 1: // notes of progress decide nothing so far
		in.dispatcher.AttemptStarted(inv, n)
	}
	return nil
}

// release frees an invocation's number once it is over and every forward has its outcome.
func (in *instance) release(inv balancer.RequestID) {
	if t := &in.tracks[inv]; t.over && t.out == 0 && t.name != "" {
		delete(in.invs, t.name)
		t.name = ""
		in.free = append(in.free, inv)
	}
}
