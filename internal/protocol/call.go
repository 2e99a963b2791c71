package protocol

import (
	"bytes"
	"fmt"
)

// Command is what an operator asks of the dispatcher, by one line.
type Command string

// The calls that operators can make.
const (
	CommandHealth Command = "HEALTH"
	CommandDump   Command = "DUMP"
	CommandLeave  Command = "LEAVE"
	CommandJoin   Command = "JOIN"
)

// MaxCommandBytes is the longest line of a call, with its end.
const MaxCommandBytes = 256

// ParseCommand reads a call from the start of b. whole is false while its line has no end yet. What comes after
// it does not count. The error says what is wrong with the line.
func ParseCommand(b []byte) (call Command, whole bool, err error) {
	line, _, whole := bytes.Cut(b, []byte("\n"))
	switch {
	case len(line) >= MaxCommandBytes:
		return "", true, fmt.Errorf("%w: a line of more than %d bytes", ErrMalformed, MaxCommandBytes)
	case !whole:
		return "", false, nil
	}
	line = bytes.TrimSpace(line)
	switch c := Command(line); c {
	case CommandHealth, CommandDump, CommandLeave, CommandJoin:
		return c, true, nil
	case "":
		return "", true, fmt.Errorf("%w: an empty line, must be HEALTH, DUMP, LEAVE or JOIN", ErrMalformed)
	}
	return "", true, fmt.Errorf("%w: unknown call %.40q, must be HEALTH, DUMP, LEAVE or JOIN", ErrMalformed,
		line)
}

// Metric is one number of a dump.
type Metric struct {
	Name, Operation string // Operation is "" for a figure of the whole dispatcher
	Value           int64
}

// figurePrefix stands before the name of each figure.
const figurePrefix = "svc."

// The first words of an operator's answer, and the last line of a dump.
const (
	callDone  = "done"
	callError = "error"
	dumpEnd   = "end"
)

// AppendDump writes the answer to a dump.
func AppendDump(b []byte, figures []Metric) []byte {
	b = append(b, callDone+"\n"...)
	for _, f := range figures {
		b = append(append(b, figurePrefix...), f.Name...)
		if f.Operation != "" {
			b = append(append(b, '.'), f.Operation...)
		}
		b = fmt.Appendf(b, "=%d\n", f.Value)
	}
	return append(b, dumpEnd+"\n"...)
}

// AppendCommandResult writes the answer to any other call, and to what is none: err says why it cannot be done.
func AppendCommandResult(b []byte, err error) []byte {
	if err != nil {
		return fmt.Appendf(b, "%s %v\n", callError, err)
	}
	return append(b, callDone+"\n"...)
}
