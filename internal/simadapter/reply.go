package simadapter

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fastjson"

	"canvasroute/internal/balancer"
)

// numbers reads a load report; one that does not hold all its values is none.
func (in *instance) numbers(v *fastjson.Value) []float64 {
	in.row = in.row[:0]
	if v == nil || len(v.GetArray()) != in.reported {
		return nil
	}
	for _, x := range v.GetArray() {
		in.row = append(in.row, x.GetFloat64())
	}
	return in.row
}

func quoted(s string) string {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // a string always has a JSON form
	}
	return string(b)
}

// reply is the line being written.
type reply struct {
	buf   []byte
	count int
}

func (r *reply) start(frame uint64) {
	r.buf = append(strconv.AppendUint(append(r.buf[:0], `{"frame":`...), frame, 10), `,"cmds":[`...)
	r.count = 0
}

func (r *reply) end() { r.buf = append(r.buf, "]}\n"...) }

func (r *reply) open(name string, dispatcher int) {
	if r.count > 0 {
		r.buf = append(r.buf, ',')
	}
	r.count++
	r.buf = append(append(append(r.buf, `{"`...), name...), `":{"dispatcher":`...)
	r.buf = strconv.AppendInt(r.buf, int64(dispatcher), 10)
}

func (r *reply) raw(key, value string) {
	r.buf = append(append(append(append(r.buf, `,"`...), key...), `":`...), value...)
}

func (r *reply) number(key string, n int64) {
	r.raw(key, "")
	r.buf = strconv.AppendInt(r.buf, n, 10)
}

func (r *reply) seconds(key string, t balancer.Time) {
	r.raw(key, "")
	r.buf = strconv.AppendFloat(r.buf, float64(t)/balancer.Second, 'f', -1, 64)
}

func (r *reply) close() { r.buf = append(r.buf, "}}"...) }

func (r *reply) text(name string, dispatcher int, text string) {
	r.open(name, dispatcher)
	r.raw("text", quoted(text))
	r.close()
}

// The answers of a dispatcher, as decide.Link.

func (in *instance) SendAttempt(inv balancer.RequestID, tgt balancer.WorkerID, within balancer.Time) {
	t := &in.tracks[inv]
	t.sent++
	t.out++
	in.reply.open("Issue", in.number)
	in.reply.raw("rid", t.quoted)
	in.reply.raw("worker", in.names[tgt])
	if within > 0 {
		in.reply.seconds("withinS", within)
	}
	in.reply.close()
}

func (in *instance) CancelAttempt(inv balancer.RequestID, forward int) {
	in.reply.open("AbortAttempt", in.number)
	in.reply.raw("rid", in.tracks[inv].quoted)
	in.reply.number("hop", int64(forward))
	in.reply.close()
}

func (in *instance) Reject(inv balancer.RequestID, comeBack balancer.Time) {
	in.reply.open("Bounce", in.number)
	in.reply.raw("rid", in.tracks[inv].quoted)
	if comeBack > 0 {
		in.reply.seconds("comeBackS", comeBack)
	}
	in.reply.close()
	in.finish(inv)
}

func (in *instance) Fail(inv balancer.RequestID) {
	in.reply.open("DropRequest", in.number)
	in.reply.raw("rid", in.tracks[inv].quoted)
	in.reply.close()
	in.finish(inv)
}

// finish marks an invocation over. Its number is not freed while the dispatcher may still be at work on it.
func (in *instance) finish(inv balancer.RequestID) {
	in.tracks[inv].over = true
	in.done = append(in.done, inv)
}

func (in *instance) Wake(key uint64, after balancer.Time) {
	in.reply.open("WakeMe", in.number)
	in.reply.number("keyBack", int64(key))
	in.reply.seconds("offsetS", after)
	in.reply.close()
}

func (in *instance) PollEndpoints() {
	in.reply.open("Subscribe", in.number)
	in.reply.raw("want", "true")
	in.reply.close()
}

func (in *instance) Probe(tgt balancer.WorkerID) {
	in.reply.open("HealthCheck", in.number)
	in.reply.raw("worker", in.names[tgt])
	in.reply.close()
}

func (in *instance) Log(line string) { in.reply.text("Remark", in.number, line) }
