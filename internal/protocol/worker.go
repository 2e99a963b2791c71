package protocol

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// AttemptState is what a line of a worker says of its forward.
type AttemptState uint8

// The values of State.
const (
	Unknown AttemptState = iota // a word that this version does not know; it changes nothing
	Started
	Running
	Done
	Failed
	ReturnedUnstarted
	Lost
)

var states = map[string]AttemptState{
	"started": Started, "running": Running, "done": Done, "failed": Failed,
	"returned": ReturnedUnstarted, "lost": Lost,
}

// Line is one line of a worker's answer.
type Line struct {
	ID     string
	State  AttemptState
	Result string
}

// ParseLine reads one line.
func ParseLine(b []byte) (l Line, err error) {
	s, result, state := scanner{b: b}, false, ""
	s.object(func(key string) {
		switch key {
		case "id":
			l.ID = s.text()
		case "state":
			state = s.text()
		case "result":
			result, l.Result = true, s.text()
		default:
			s.skip()
		}
	})
	if l.State = states[state]; s.end() == nil && (state == "" || l.State == Done && !result) {
		return l, fmt.Errorf("%w: a line without state or result", ErrMalformed)
	}
	return l, s.err
}

// Declined tells whether an answer says that the forward never ran.
func Declined(h *Head) bool {
	return (h.Status == 503 || h.Status == 504) && h.Field(fieldDeclined) == "1"
}

// forwardRoom is more than a forward takes beside what its invocation brings.
const forwardRoom = 160

// AppendWorkerRequest writes the invocation as it goes to a worker that will be waited for as long as left.
func AppendWorkerRequest(b []byte, inv *Request, left time.Duration) []byte {
	room := forwardRoom + len(inv.Method) + len(inv.Target) + len(inv.ID) + len(inv.Body)
	for _, f := range inv.passed {
		room += len(f.name) + len(f.value) + len("\r\n: ")
	}
	b = slices.Grow(b, room)
	b = append(append(append(append(b, inv.Method...), ' '), inv.Target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), "\r\nReq-Id: "...)
	b = append(b, inv.ID...)
	b = strconv.AppendFloat(append(b, "\r\nReq-Deadline: "...), max(left, 0).Seconds(), 'f', 3, 64)
	for _, f := range inv.passed {
		b = append(append(append(append(b, "\r\n"...), f.name...), ": "...), f.value...)
	}
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(inv.Body)), 10)
	return append(append(b, "\r\n\r\n"...), inv.Body...)
}

// AppendGet writes a GET of a target.
func AppendGet(b []byte, target string) []byte {
	b = append(append(append(b, "GET "...), target...), " HTTP/1.1\r\nHost: "...)
	return append(append(b, host...), "\r\n\r\n"...)
}

// ParseLoad reads a load report: the values in the order of names, or under them. Without all there is none.
func ParseLoad(b []byte, names []string) ([]float64, error) {
	s, values, found := scanner{b: b}, make([]float64, len(names)), 0
	if s.peek() == '[' {
		s.array(func() {
			if v := s.number(); found < len(values) {
				values[found] = v
			}
			found++
		})
	} else {
		s.object(func(key string) {
			for n, name := range names {
				if key == name {
					values[n] = s.number()
					found++
					return
				}
			}
			s.skip()
		})
	}
	if err := s.end(); err != nil {
		return nil, err
	}
	if found != len(names) {
		return nil, fmt.Errorf("%w: a load report with %d of %d values", ErrMalformed, found, len(names))
	}
	return values, nil
}
