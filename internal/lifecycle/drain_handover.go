package lifecycle

// DrainHandover decides which process of a hot restart runs an operator's LEAVE or JOIN, so that the command reaches
// each process that may serve after it. It is the view of one process on its successor:
//
//	successor | LEAVE or JOIN        | successor connects   | successor serves                    | successor exits
//	none      | runs here            | starting; it gets    | -                                   | -
//	          |                      | the drain of now     |                                     |
//	starting  | runs here            | -                    | serving; it gets the drain again if | none
//	          |                      |                      | that has changed since it connected |
//	serving   | runs in the          | -                    | -                                   | none
//	          | successor            |                      |                                     |
//
// A process that runs a command also notifies its predecessor, which applies the drain to its own connections, and
// resumes with it if the process exits first. The zero value is the state without a successor. A DrainHandover is not
// safe for concurrent use.
type DrainHandover struct {
	successor   successorState
	wasSentLast bool // the successor was last told that the dispatcher is drained
}

// successorState is the progress of a successor.
type successorState uint8

const (
	noSuccessor successorState = iota
	successorStarting
	successorServing
)

// RunsHere reports whether this process runs an operator's command. Otherwise it must be forwarded to the successor.
func (h *DrainHandover) RunsHere() bool { return h.successor != successorServing }

// SuccessorConnected records that a successor has received the snapshot of this process, with the drain at that time.
func (h *DrainHandover) SuccessorConnected(drained bool) {
	h.successor = successorStarting
	h.wasSentLast = drained
}

// SuccessorServing records that the successor is serving. It reports whether the successor must be told the present
// drain, because a command has run here since it connected.
func (h *DrainHandover) SuccessorServing(drained bool) (changed bool) {
	h.successor = successorServing
	return drained != h.wasSentLast
}

// SuccessorExited records that the successor has exited.
func (h *DrainHandover) SuccessorExited() { h.successor = noSuccessor }
