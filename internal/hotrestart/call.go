package hotrestart

import (
	"errors"
	"time"
)

// Limits on the time until the other process returns the result of a call.
const (
	commandTimeout = 3 * time.Second        // it may have to write to a slow disk
	idTimeout      = 250 * time.Millisecond // it only looks up request IDs
)

// Errors of calls.
var (
	// ErrNoResult is returned if the other process did not return a result in time. It may have done what was called for.
	// Processes of earlier releases run commands, but return no results.
	ErrNoResult = errors.New("the other process has not confirmed")
	// ErrLinkEnded is returned if the other process exited before it returned a result.
	ErrLinkEnded = errors.New("the other process ended before it confirmed")
)

// callResult is the result of a call.
type callResult struct {
	CallID  uint64   `json:"call_id"`
	Error   string   `json:"error,omitempty"`   // of a command; empty if it succeeded
	Refused bool     `json:"refused,omitempty"` // of a claim: the ID is in use
	IDs     []string `json:"ids,omitempty"`     // of SyncRequestIDs
}

// pendingCall is a call whose result has not arrived.
type pendingCall struct {
	onResult func(callResult) // called by the goroutine that receives, before later messages are handled; may be nil
	result   chan callResult
}

// call sends a message and waits for the result. Another goroutine must run Receive. The error is that of the
// connection, ErrNoResult or ErrLinkEnded.
func (l *Link) call(m message, timeout time.Duration, onResult func(callResult)) (callResult, error) {
	pending := &pendingCall{onResult: onResult, result: make(chan callResult, 1)}
	m.CallID = l.addCall(pending)
	defer l.removeCall(m.CallID)
	if err := l.send(m); err != nil {
		return callResult{}, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case result := <-pending.result:
		return result, nil
	case <-l.ended:
		return callResult{}, ErrLinkEnded
	case <-timer.C:
		return callResult{}, ErrNoResult
	}
}

func (l *Link) addCall(pending *pendingCall) (id uint64) {
	l.callMu.Lock()
	defer l.callMu.Unlock()
	l.lastCallID++
	l.calls[l.lastCallID] = pending
	return l.lastCallID
}

func (l *Link) removeCall(id uint64) {
	l.callMu.Lock()
	defer l.callMu.Unlock()
	delete(l.calls, id)
}

// deliverResult passes a result to the call that waits for it. The result of a call that has timed out is dropped.
func (l *Link) deliverResult(result callResult) {
	l.callMu.Lock()
	pending := l.calls[result.CallID]
	delete(l.calls, result.CallID)
	l.callMu.Unlock()
	if pending == nil {
		return
	}
	if pending.onResult != nil {
		pending.onResult(result)
	}
	pending.result <- result
}

// Command is a command of an operator that the other process has sent.
type Command struct {
	Name   string
	callID uint64 // 0 if the other process expects no result
}

// SendCommand sends a command to the other process, and does not wait until it has been run.
func (l *Link) SendCommand(name string) error { return l.send(message{Command: name}) }

// RunCommand sends a command to the other process and waits for its result. The error is that of the command or of the
// call.
func (l *Link) RunCommand(name string) error {
	result, err := l.call(message{Command: name}, commandTimeout, nil)
	if err == nil && result.Error != "" {
		err = errors.New(result.Error)
	}
	return err
}

// SendResult returns the result of a command to the process that sent it, if that expects one.
func (l *Link) SendResult(command Command, commandErr error) error {
	if command.callID == 0 {
		return nil
	}
	result := &callResult{CallID: command.callID}
	if commandErr != nil {
		result.Error = commandErr.Error()
	}
	return l.send(message{Result: result})
}

// SyncRequestIDs passes the IDs of the requests that are open in the predecessor to apply. From then on the predecessor
// claims each ID before it serves a request (ClaimRequestID). apply is called by the goroutine that receives, before
// claims and updates that follow. The error is that of the call.
func (l *Link) SyncRequestIDs(apply func(ids []string)) error {
	_, err := l.call(message{SyncIDs: true}, idTimeout, func(result callResult) { apply(result.IDs) })
	return err
}

// ClaimRequestID reports whether no request with an ID is open in the other process, which records that the ID is in use
// here. The error is that of the call.
func (l *Link) ClaimRequestID(id string) (granted bool, err error) {
	result, err := l.call(message{Claim: id}, idTimeout, nil)
	return err == nil && !result.Refused, err
}
