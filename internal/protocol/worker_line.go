package protocol

import "fmt"

// AttemptState is the state of an attempt that a worker reports in a line.
type AttemptState uint8

// The values of AttemptState.
const (
	AttemptUnknown AttemptState = iota // state that this version does not support; ignored
	AttemptStarted
	AttemptRunning
	AttemptDone
	AttemptFailed
	AttemptReturnedUnstarted // the worker returned the attempt without starting it
	AttemptLost              // the outcome is unknown to the worker
)

var attemptStates = map[string]AttemptState{
	wordStarted:           AttemptStarted,
	wordRunning:           AttemptRunning,
	wordDone:              AttemptDone,
	wordFailed:            AttemptFailed,
	wordReturnedUnstarted: AttemptReturnedUnstarted,
	wordLost:              AttemptLost,
}

// WorkerLine is one line of a worker's response.
type WorkerLine struct {
	ID     string // request ID
	State  AttemptState
	Result string // result of an attempt in state AttemptDone
}

// ParseWorkerLine parses one line, which holds a JSON object. Unknown keys are ignored. It returns ErrMalformed for
// invalid JSON, for a line without a state, or for one in state AttemptDone without a result.
func ParseWorkerLine(b []byte) (line WorkerLine, err error) {
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
	if state == "" || line.State == AttemptDone && !hasResult {
		return line, fmt.Errorf("%w: worker response line without state or result", ErrMalformed)
	}
	return line, nil
}
