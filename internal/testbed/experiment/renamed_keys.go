package experiment

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// renamedKeys maps each former key of an experiment file to its present name. A former key is written with its path, in
// which the keys above it have their present names.
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

// ErrBothNames is returned for a file that uses both the former and the present name of a key.
var ErrBothNames = errors.New("two names of the same key")

// RenamedKey is a former key that an experiment file uses.
type RenamedKey struct {
	File string
	Line int    // of the key's first use, from 1
	Old  string // path of the key as the file has it, such as "fault.customer"
	New  string // path of the key with its present name
}

// String returns the warning that operators read.
func (k RenamedKey) String() string {
	return fmt.Sprintf("%s:%d: key %s is now called %s: please rename it", k.File, k.Line, k.Old, k.New)
}

// presentText is the text of an experiment file in which all keys have their present names.
type presentText struct {
	text    []byte
	renamed []RenamedKey // former keys of the file, in the order of their first use
}

// usePresentNames replaces all former keys of an experiment file. Lines keep their numbers. A text that is not TOML is
// returned as it is: its decoder reports what is wrong. The error wraps ErrBothNames.
func usePresentNames(file string, text []byte) (presentText, error) {
	scan := keyScan{file: file, present: map[string]int{}}
	scan.parser.Reset(text)
	for scan.parser.NextExpression() {
		scan.addExpression(scan.parser.Expression())
	}
	if scan.parser.Error() != nil {
		return presentText{text: text}, nil
	}
	if err := scan.checkNames(); err != nil {
		return presentText{}, err
	}
	return presentText{text: scan.replace(text), renamed: scan.renamed}, nil
}

// keyScan finds the former keys in the text of an experiment file.
type keyScan struct {
	parser       unstable.Parser
	file         string
	table        []string       // present path of the table that the scan is in
	present      map[string]int // line of the first use of each key that has its present name, by path
	renamed      []RenamedKey
	replacements []replacement // in the order of the text
}

// replacement is a range of the text that becomes a present name.
type replacement struct {
	from unstable.Range
	to   string
}

// addExpression records the keys of a table's header, or of a key with its value.
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

// addKey records a key of a table, part by part, and returns the key's present path.
func (s *keyScan) addKey(table []string, parts unstable.Iterator) []string {
	path := slices.Clone(table)
	for parts.Next() {
		path = append(path, s.addPart(path, parts.Node()))
	}
	return path
}

// addPart records one part of a key below the present path of the parts before it, and returns the part's present name.
func (s *keyScan) addPart(parent []string, part *unstable.Node) string {
	name := string(part.Data)
	written := joinKey(parent, name)
	line := s.parser.Shape(part.Raw).Start.Line
	newName, isFormer := renamedKeys[written]
	if !isFormer {
		if _, seen := s.present[written]; !seen {
			s.present[written] = line
		}
		return name
	}
	s.replacements = append(s.replacements, replacement{from: part.Raw, to: newName})
	if !slices.ContainsFunc(s.renamed, func(k RenamedKey) bool { return k.Old == written }) {
		s.renamed = append(s.renamed, RenamedKey{File: s.file, Line: line, Old: written, New: joinKey(parent, newName)})
	}
	return newName
}

// joinKey returns the path of a key of a table, as operators write it.
func joinKey(table []string, name string) string {
	return strings.Join(append(slices.Clone(table), name), ".")
}

// checkNames returns an error for the first key that the text has by both names.
func (s *keyScan) checkNames() error {
	for _, key := range s.renamed {
		if line, used := s.present[key.New]; used {
			return fmt.Errorf("%s:%d: %w: %s, and %s in line %d: use %s only", key.File, key.Line, ErrBothNames,
				key.Old, key.New, line, key.New)
		}
	}
	return nil
}

// replace returns the text with its replacements.
func (s *keyScan) replace(text []byte) []byte {
	var replaced []byte
	copied := 0 // bytes of the text
	for _, r := range s.replacements {
		start := int(r.from.Offset)
		replaced = append(replaced, text[copied:start]...)
		replaced = append(replaced, r.to...)
		copied = start + int(r.from.Length)
	}
	return append(replaced, text[copied:]...)
}
