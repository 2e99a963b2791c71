package experiment

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// renamedKeys maps each former key of an experiment file to its current name. A former key is given as its path, in
// which the parent keys have their current names.
var renamedKeys = map[string]string{
	"customer": "tenants",
	"trouble":  "fault",

	"dispatchers.ask-within":      "poll-interval",
	"dispatchers.come-back-most":  "max-retry-after",
	"dispatchers.dial-within":     "dial-timeout",
	"dispatchers.forwards":        "max-attempts",
	"dispatchers.link-doubled":    "link-duplicates",
	"dispatchers.may-cancel":      "cancellation",
	"dispatchers.notice-after":    "failure-timeout",
	"dispatchers.second-copies":   "hedging",
	"dispatchers.state-every":     "state-interval",
	"dispatchers.surplus-value":   "over-quota-value",
	"dispatchers.value-by-number": "value-by-count",

	"fleet.cold-from":     "warmup-initial-share",
	"fleet.cold-multiple": "overload-multiple",
	"fleet.cold-ramp":     "warmup-duration",
	"fleet.cold-span":     "overload-span",
	"fleet.tells-start":   "announce-start-notes",

	"operation.repeat":      "idempotency",
	"operation.tardy-value": "late-value",

	"load.open-most": "max-open",

	"fault.back":         "restore-after",
	"fault.customer":     "tenant",
	"fault.forwards":     "max-attempts",
	"fault.list-back":    "list-restore-after",
	"fault.never":        "never-restored",
	"fault.peers-back":   "peers-restore-after",
	"fault.workers-back": "workers-restore-after",
}

// ErrBothNames is returned for a file that uses both the former and the current name of a key.
var ErrBothNames = errors.New("two names of the same key")

// RenamedKey describes a former key that an experiment file uses.
type RenamedKey struct {
	File string
	Line int    // of the first use of the key, from 1
	Old  string // path of the key with its former name, such as "fault.customer"
	New  string // path of the key with its current name
}

// String returns a warning that asks operators to rename the key.
func (k RenamedKey) String() string {
	return fmt.Sprintf("%s:%d: key %s is now called %s: please rename it", k.File, k.Line, k.Old, k.New)
}

// currentText is the text of an experiment file in which all keys have their current names.
type currentText struct {
	text    []byte
	renamed []RenamedKey // former keys in the original file, in the order of their first use
}

// replaceFormerKeys replaces all former keys of an experiment file with their current names, and preserves line
// numbers. It returns text that is not valid TOML unchanged, because the decoder reports the error later. Errors wrap
// ErrBothNames.
func replaceFormerKeys(file string, text []byte) (currentText, error) {
	scan := keyScan{file: file, currentKeys: map[string]int{}}
	scan.parser.Reset(text)
	for scan.parser.NextExpression() {
		scan.addExpression(scan.parser.Expression())
	}
	if scan.parser.Error() != nil {
		return currentText{text: text}, nil
	}
	if err := scan.checkNames(); err != nil {
		return currentText{}, err
	}
	return currentText{text: scan.applyReplacements(text), renamed: scan.renamed}, nil
}

// keyScan collects the former keys in the text of an experiment file.
type keyScan struct {
	parser       unstable.Parser
	file         string
	table        []string       // path of the table being scanned, with current names
	currentKeys  map[string]int // line of the first use of each key with its current name, by path
	renamed      []RenamedKey
	replacements []replacement // in text order
}

// replacement is a range of the text, and the current key name that replaces it.
type replacement struct {
	textRange   unstable.Range
	currentName string
}

// addExpression records the keys of a table header or of a key-value pair.
func (s *keyScan) addExpression(expression *unstable.Node) {
	switch expression.Kind {
	case unstable.Table, unstable.ArrayTable:
		s.table = s.addKey(nil, expression.Key())
	case unstable.KeyValue:
		s.addKeyValue(s.table, expression)
	}
}

func (s *keyScan) addKeyValue(table []string, keyValue *unstable.Node) {
	path := s.addKey(table, keyValue.Key())
	s.addValue(path, keyValue.Value())
}

// addValue records the keys of inline tables within a value.
func (s *keyScan) addValue(path []string, value *unstable.Node) {
	children := value.Children()
	switch value.Kind {
	case unstable.InlineTable:
		for children.Next() {
			if child := children.Node(); child.Kind == unstable.KeyValue {
				s.addKeyValue(path, child)
			}
		}
	case unstable.Array:
		for children.Next() {
			s.addValue(path, children.Node())
		}
	}
}

// addKey records each part of a key in a table, and returns the path of the key with current names.
func (s *keyScan) addKey(table []string, parts unstable.Iterator) []string {
	path := slices.Clone(table)
	for parts.Next() {
		path = append(path, s.addPart(path, parts.Node()))
	}
	return path
}

// addPart records one part of a key, and returns its current name. parent is the path of the preceding parts, with
// current names.
func (s *keyScan) addPart(parent []string, part *unstable.Node) string {
	name := string(part.Data)
	writtenPath := joinKey(parent, name)
	line := s.parser.Shape(part.Raw).Start.Line
	newName, isFormer := renamedKeys[writtenPath]
	if !isFormer {
		if _, seen := s.currentKeys[writtenPath]; !seen {
			s.currentKeys[writtenPath] = line
		}
		return name
	}
	s.replacements = append(s.replacements, replacement{textRange: part.Raw, currentName: newName})
	if !slices.ContainsFunc(s.renamed, func(k RenamedKey) bool { return k.Old == writtenPath }) {
		s.renamed = append(s.renamed, RenamedKey{File: s.file, Line: line, Old: writtenPath, New: joinKey(parent, newName)})
	}
	return newName
}

// joinKey returns the dotted path of a key in a table.
func joinKey(table []string, name string) string {
	return strings.Join(append(slices.Clone(table), name), ".")
}

// checkNames returns an error that wraps ErrBothNames for the first key that the text uses with both names.
func (s *keyScan) checkNames() error {
	for _, key := range s.renamed {
		if line, used := s.currentKeys[key.New]; used {
			return fmt.Errorf("%s:%d: %w: %s, and %s in line %d: use %s only", key.File, key.Line, ErrBothNames,
				key.Old, key.New, line, key.New)
		}
	}
	return nil
}

// applyReplacements returns the text with all replacements applied.
func (s *keyScan) applyReplacements(text []byte) []byte {
	var replaced []byte
	copied := 0 // number of bytes of the text already copied or replaced
	for _, r := range s.replacements {
		start := int(r.textRange.Offset)
		replaced = append(replaced, text[copied:start]...)
		replaced = append(replaced, r.currentName...)
		copied = start + int(r.textRange.Length)
	}
	return append(replaced, text[copied:]...)
}
