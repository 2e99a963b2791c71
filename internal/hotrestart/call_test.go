package hotrestart

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
)

// newCaller returns a link to another process, which runs commands with run.
func newCaller(t *testing.T, run func(*Link, Command)) *Link {
	t.Helper()
	first, second := newSocketPair(t)
	caller, runner := newLink(first), newLink(second)
	go func() { _ = caller.Receive(Handler{}) }()
	go func() { _ = runner.Receive(Handler{Command: func(command Command) { run(runner, command) }}) }()
	return caller
}

func TestCallReturnsTheResultOfTheCommand(t *testing.T) {
	failure := errors.New("disk full")
	caller := newCaller(t, func(runner *Link, command Command) {
		if command.Name == "LEAVE" {
			assert.NoError(t, runner.SendResult(command, nil))
			return
		}
		assert.NoError(t, runner.SendResult(command, failure))
	})
	assert.NoError(t, caller.RunCommand("LEAVE"))
	assert.EqualError(t, caller.RunCommand("JOIN"), "disk full")
	assert.NoError(t, caller.RunCommand("LEAVE"))
}

// The result of a call that has timed out must not be taken for that of another one.
func TestCallIgnoresResultsOfOtherCalls(t *testing.T) {
	caller := newCaller(t, func(runner *Link, command Command) {
		other := Command{Name: command.Name, callID: command.callID + 1}
		assert.NoError(t, runner.SendResult(other, errors.New("of another call")))
		assert.NoError(t, runner.SendResult(command, nil))
	})
	assert.NoError(t, caller.RunCommand("LEAVE"))
	assert.NoError(t, caller.RunCommand("LEAVE"))
	assert.Empty(t, caller.calls)
}

// A process of an earlier release runs commands, but knows no other calls and returns no results.
func TestCallWithoutResultTimesOut(t *testing.T) {
	caller := newCaller(t, func(*Link, Command) {})
	assert.ErrorIs(t, caller.SyncRequestIDs(func([]string) { t.Error("no IDs were sent") }), ErrNoResult)
	granted, err := caller.ClaimRequestID("a1")
	assert.ErrorIs(t, err, ErrNoResult)
	assert.False(t, granted)
}

func TestCallEndsWithTheLink(t *testing.T) {
	caller := newCaller(t, func(runner *Link, _ Command) { runner.Close() })
	assert.ErrorIs(t, caller.RunCommand("LEAVE"), ErrLinkEnded)
}

// A process of an earlier release sends a command without a number, and reads no result.
func TestCommandWithoutNumberHasNoResult(t *testing.T) {
	results := make(chan error, 1)
	caller := newCaller(t, func(runner *Link, command Command) { results <- runner.SendResult(command, errors.New("unread")) })
	assert.NoError(t, caller.SendCommand("LEAVE"))
	assert.NoError(t, <-results, "none was sent")
}
