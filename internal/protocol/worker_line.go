package protocol

import "fmt"

// AttemptState is the state of an attempt that a worker reports in a line.
type AttemptState uint8

// The values of AttemptState.
const (
	Unknown AttemptState = iota // state that this version does not support; ignored
	Started
	Running
	Done
	Failed
	ReturnedUnstarted // the worker returned the attempt without starting it
	Lost              // the outcome is unknown to the worker
)

var attemptStates = map[string]AttemptState{
	wordStarted:           Started,
	wordRunning:           Running,
	wordDone:              Done,
	wordFailed:            Failed,
	wordReturnedUnstarted: ReturnedUnstarted,
	wordLost:              Lost,
}

// Line is one line of a worker's response.
type Line struct {
	ID     string // request ID
	State  AttemptState
	Result string // result of an attempt in state Done
}

// ParseLine parses one line, which holds a JSON object. Unknown keys are ignored. It returns ErrMalformed if the line
// has no state, or has the state Done without a result.
func ParseLine(b []byte) (line Line, err error) {
	s := jsonScanner{input: b}
	state := ""
	hasResult := false
	s.object(func(key string) {
		switch key {
		case keyLineID:
			line.ID = s.string()
		case keyLineState:
			state = s.string()
		case keyLineResult:
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
		return line, fmt.Errorf("%w: worker response line without state or result", ErrMalformed)
	}
	return line, nil
}
