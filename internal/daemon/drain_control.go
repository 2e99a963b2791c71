package daemon

import (
	"errors"
	"sync"
	"time"

	"canvasroute/internal/fleet"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
)

// The commands of operators that change the drain.
const (
	commandLeave = string(protocol.CommandLeave)
	commandJoin  = string(protocol.CommandJoin)
)

// drainControl runs the commands LEAVE and JOIN, which apply to the dispatcher as a whole. During a hot restart a
// command must reach each process that may serve afterwards, and with LB_FLEET it must be persisted by the process that
// uses the state folder. lifecycle.DrainHandover defines where a command runs.
type drainControl struct {
	state   *lifecycle.State
	restart *hotRestart // nil if there is no admin address
	node    *fleet.Node // nil if LB_FLEET is not set

	commandMu sync.Mutex // held while a command runs

	mu       sync.Mutex // guards handover, and orders its changes and those of state; not held during I/O
	handover lifecycle.DrainHandover
}

// run runs an operator's command. When it returns nil, the drain or its end is in effect in this process, its
// predecessor and its successor, as far as they exist, and persisted with LB_FLEET. If it cannot be persisted, it is in
// effect nevertheless. run returns lifecycle.ErrStopping for JOIN if the process is stopping, or the error of persisting
// the change or of the successor.
func (c *drainControl) run(command string) error {
	c.commandMu.Lock()
	defer c.commandMu.Unlock()
	runsHere, err := c.applyIfOwn(command)
	if err != nil {
		return err
	}
	if !runsHere {
		return c.runInSuccessor(command)
	}
	c.restart.notifyPredecessor(command)
	err = c.persist(command)
	if errors.Is(err, fleet.ErrFolderYielded) { // a successor has started to serve meanwhile
		return c.runInSuccessor(command)
	}
	return err
}

// applyIfOwn applies a command to the state of this process, unless it must run in the successor.
func (c *drainControl) applyIfOwn(command string) (runsHere bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.handover.RunsHere() {
		return false, nil
	}
	return true, c.apply(command)
}

// apply applies a command to the state of this process.
func (c *drainControl) apply(command string) error {
	if command == commandLeave {
		c.state.Drain(time.Now())
		return nil
	}
	return c.state.Rejoin(time.Now())
}

// runInSuccessor runs a command in the successor, which notifies this process before it reports the result.
func (c *drainControl) runInSuccessor(command string) error {
	if command == commandJoin && c.state.PhaseAt(time.Now()).IsStopping() {
		return lifecycle.ErrStopping
	}
	return c.restart.callSuccessor(command)
}

// persist persists the drain or its end, with LB_FLEET.
func (c *drainControl) persist(command string) error {
	switch {
	case c.node == nil:
		return nil
	case command == commandLeave:
		return c.node.PersistDrain()
	default:
		return c.node.PersistRejoin()
	}
}

// applyFromSuccessor applies a command that a successor has run and persists. It is called by the goroutine that
// receives the successor's messages, while run may wait for one of them, and therefore does not lock commandMu.
func (c *drainControl) applyFromSuccessor(command string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.apply(command) // fails only if the process is stopping: it neither drains nor resumes
}

// successorConnected records that a successor receives a snapshot with the drain.
func (c *drainControl) successorConnected(drained bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handover.SuccessorConnected(drained)
}

// handOff applies the start of a serving successor to the state of this process. It returns the command that the
// successor must run because the drain has changed since it connected, or "" if there is none.
func (c *drainControl) handOff() (command string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.state.HandOff(time.Now()); err != nil {
		return "", err
	}
	drained := c.state.IsDrained()
	switch changed := c.handover.SuccessorServing(drained); {
	case !changed:
		return "", nil
	case drained:
		return commandLeave, nil
	default:
		return commandJoin, nil
	}
}

// successorExited resumes serving, unless the dispatcher is drained, after the successor has exited.
func (c *drainControl) successorExited() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handover.SuccessorExited()
	c.state.ResumeServing(time.Now())
}
