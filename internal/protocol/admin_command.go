package protocol

import (
	"bytes"
	"errors"
	"fmt"
)

// Command is a command of an operator, sent as one line of text.
type Command string

// MaxCommandBytes is the maximum length of a command line in bytes, including its line end.
const MaxCommandBytes = 256

// ErrIncompleteCommand is returned for a command without a line end.
var ErrIncompleteCommand = errors.New("incomplete command")

// ParseCommand parses the command in the first line of b and ignores further lines. It returns ErrIncompleteCommand if
// b has no line end yet, or ErrMalformed. The text of ErrMalformed is sent to the operator.
func ParseCommand(b []byte) (Command, error) {
	line, _, complete := bytes.Cut(b, []byte("\n"))
	switch {
	case len(line) >= MaxCommandBytes:
		return "", fmt.Errorf("%w: a line of more than %d bytes", ErrMalformed, MaxCommandBytes)
	case !complete:
		return "", ErrIncompleteCommand
	}
	line = bytes.TrimSpace(line)
	command := Command(line)
	switch command {
	case CommandHealth, CommandDump, CommandLeave, CommandJoin:
		return command, nil
	case "":
		return "", fmt.Errorf("%w: an empty line, must be HEALTH, DUMP, LEAVE or JOIN", ErrMalformed)
	}
	return "", fmt.Errorf("%w: unknown call %.40q, must be HEALTH, DUMP, LEAVE or JOIN", ErrMalformed,
		line)
}

// Metric is one value of a metrics dump.
type Metric struct {
	Name      string
	Operation string // name of the operation; "" for a metric of the whole dispatcher
	Value     int64
}

// AppendDump appends the response to CommandDump: a first line, one line for each metric, and a last line.
func AppendDump(b []byte, metrics []Metric) []byte {
	b = append(b, resultDone+"\n"...)
	for _, m := range metrics {
		b = append(b, metricPrefix...)
		b = append(b, m.Name...)
		if m.Operation != "" {
			b = append(b, '.')
			b = append(b, m.Operation...)
		}
		b = fmt.Appendf(b, "=%d\n", m.Value)
	}
	return append(b, dumpEnd+"\n"...)
}

// AppendCommandResult appends the response to any command other than CommandDump, or to a malformed one. err is the
// reason for the failure, or nil on success.
func AppendCommandResult(b []byte, err error) []byte {
	if err != nil {
		return fmt.Appendf(b, "%s %v\n", resultError, err)
	}
	return append(b, resultDone+"\n"...)
}
