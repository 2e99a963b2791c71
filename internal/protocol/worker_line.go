package protocol

import "fmt"

// AttemptState is the state of an attempt, as a line of its worker reports it.
type AttemptState uint8

// The values of AttemptState.
const (
	Unknown AttemptState = iota // a word that this version does not know; it has no effect
	Started
	Running
	Done
	Failed
	ReturnedUnstarted // the worker gave the attempt back before its start
	Lost              // the worker does not know the outcome
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
	ID     string // of the request
	State  AttemptState
	Result string // of an attempt that is Done
}

// ParseLine parses one line: a JSON object. Unknown keys are skipped. A line without a state, or one that is Done
// without a result, is ErrMalformed.
func ParseLine(b []byte) (line Line, err error) {
	s := scanner{input: b}
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
		return line, fmt.Errorf("%w: worker's line without state or result", ErrMalformed)
	}
	return line, nil
}
