package simadapter

import (
	"encoding/json"
	"strconv"

	"canvasroute/internal/balancer"
)

// reply is the line that answers a batch: an object with the batch's frame, and commands in their order. It is written
// straight into a buffer that is used again for the next one.
type reply struct {
	line     []byte
	commands int
}

// start begins the reply to a batch.
func (r *reply) start(frame uint64) {
	r.line = append(r.line[:0], `{"frame":`...)
	r.line = strconv.AppendUint(r.line, frame, 10)
	r.line = append(r.line, `,"cmds":[`...)
	r.commands = 0
}

func (r *reply) end() { r.line = append(r.line, "]}\n"...) }

// open begins a command of a dispatcher. Its fields are written next, and then close.
func (r *reply) open(name string, dispatcher int) {
	if r.commands > 0 {
		r.line = append(r.line, ',')
	}
	r.commands++
	r.line = append(r.line, `{"`...)
	r.line = append(r.line, name...)
	r.line = append(r.line, `":{"dispatcher":`...)
	r.line = strconv.AppendInt(r.line, int64(dispatcher), 10)
}

func (r *reply) close() { r.line = append(r.line, "}}"...) }

// writeRaw writes a field whose value is JSON already.
func (r *reply) writeRaw(key, value string) {
	r.line = append(r.line, `,"`...)
	r.line = append(r.line, key...)
	r.line = append(r.line, `":`...)
	r.line = append(r.line, value...)
}

func (r *reply) writeInt(key string, n int64) {
	r.writeRaw(key, "")
	r.line = strconv.AppendInt(r.line, n, 10)
}

func (r *reply) writeSeconds(key string, d balancer.Duration) {
	r.writeRaw(key, "")
	r.line = strconv.AppendFloat(r.line, float64(d)/balancer.Second, 'f', -1, 64)
}

// writeText writes a whole command that has a text.
func (r *reply) writeText(name string, dispatcher int, text string) {
	r.open(name, dispatcher)
	r.writeRaw("text", quoted(text))
	r.close()
}

// quoted is a string as JSON.
func quoted(s string) string {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // each string has a JSON form
	}
	return string(b)
}
