package simadapter

import (
	"encoding/json"
	"strconv"

	"canvasroute/internal/balancer"
)

// decimal is the base of numbers in a reply.
const decimal = 10

// reply is the response line to a batch: a JSON object with the number of the batch and the commands in order. The
// buffer is reused for the next reply.
type reply struct {
	line         []byte
	commandCount int // number of commands written so far
}

// start starts the reply to the batch with the given number.
func (r *reply) start(frame uint64) {
	r.line = append(r.line[:0], `{"`+keyFrame+`":`...)
	r.line = strconv.AppendUint(r.line, frame, decimal)
	r.line = append(r.line, `,"`+keyCommands+`":[`...)
	r.commandCount = 0
}

// end completes the reply.
func (r *reply) end() { r.line = append(r.line, "]}\n"...) }

// open starts a command of a dispatcher. The caller then writes the fields and calls close.
func (r *reply) open(command string, dispatcher int) {
	if r.commandCount > 0 {
		r.line = append(r.line, ',')
	}
	r.commandCount++
	r.line = append(r.line, `{"`...)
	r.line = append(r.line, command...)
	r.line = append(r.line, `":{"`+keyDispatcher+`":`...)
	r.line = strconv.AppendInt(r.line, int64(dispatcher), decimal)
}

// close completes a command.
func (r *reply) close() { r.line = append(r.line, "}}"...) }

// writeJSON writes a field whose value is already encoded as JSON.
func (r *reply) writeJSON(key, value string) {
	r.line = append(r.line, `,"`...)
	r.line = append(r.line, key...)
	r.line = append(r.line, `":`...)
	r.line = append(r.line, value...)
}

// writeInt writes a numeric field.
func (r *reply) writeInt(key string, n int64) {
	r.writeJSON(key, "")
	r.line = strconv.AppendInt(r.line, n, decimal)
}

// writeSeconds writes a field that holds a duration in seconds.
func (r *reply) writeSeconds(key string, d balancer.Duration) {
	r.writeJSON(key, "")
	r.line = strconv.AppendFloat(r.line, float64(d)/balancer.Second, 'f', -1, 64)
}

// writeTextCommand writes a command whose only field, apart from the dispatcher, is a text.
func (r *reply) writeTextCommand(command string, dispatcher int, text string) {
	r.open(command, dispatcher)
	r.writeJSON(keyText, quoted(text))
	r.close()
}

// quoted returns a string encoded as JSON.
func quoted(s string) string {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // unreachable: every string can be encoded as JSON
	}
	return string(b)
}
