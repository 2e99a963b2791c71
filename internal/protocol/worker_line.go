package protocol

import "fmt"

// AttemptState is the state of an attempt, as a line of its worker reports it.
type AttemptState uint8

// The values of AttemptState.
const (
	Unknown AttemptState = iota // not known to this version; it has no effect
	Started
	Running
	Done
	Failed
	ReturnedUnstarted
	Lost
)

var attemptStates = map[string]AttemptState{
	"started":  Started,
	"running":  Running,
	"done":     Done,
	"failed":   Failed,
	"returned": ReturnedUnstarted,
	"lost":     Lost,
}

// Line is one line of a worker's response.
type Line struct {
	ID     string
	State  AttemptState
	Result string // of a line that is Done
}

// ParseLine parses one line, a JSON object; unknown keys are skipped. A line without a state, or one that is Done
// without a result, is ErrMalformed.
func ParseLine(b []byte) (line Line, err error) {
	s := scanner{input: b}
	state := ""
	hasResult := false
	s.object(func(key string) {
		switch key {
		case "id":
			line.ID = s.string()
		case "state":
			state = s.string()
		case "result":
			hasResult = true
			line.Result = s.string()
		default:
			s.skip()
		}
	})
	line.State = attemptStates[state]
	if err := s.finish(); err != nil {
		return line, err
	}
	if state == "" || line.State == Done && !hasResult {
		return line, fmt.Errorf("%w: worker's line without state or result", ErrMalformed)
	}
	return line, nil
}
