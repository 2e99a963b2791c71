// Package docscheck keeps pages and code together. An engineer on call goes from a page to the code by a name, and from
// a log line to its row in a table. So a name that a page gives in backticks has to exist, and each log message of the
// dispatcher has to stand on a page. The package has tests alone: they fail when a name changes and the page does not.
package docscheck

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// checkedPages are the pages whose names are checked.
var checkedPages = []string{
	"README.md",
	"docs/ROADMAP.md",
	"docs/architecture.md",
	"docs/capacity.md",
	"docs/crossings.md",
	"docs/design.md",
	"docs/oncall.md",
	"docs/scale.md",
}

// messagePages are the pages in one of which each log message has a row.
var messagePages = []string{"docs/oncall.md", "docs/returning.md", "docs/operating.md"}

// otherNames are names in backticks that are not in the code, and what they are.
var otherNames = map[string]string{
	"accepting":   "an old log message",
	"facts.a":     "a file in the state folder",
	"facts.b":     "a file in the state folder",
	"keys.N":      "files in the state folder",
	"life.a":      "a file in the state folder",
	"life.b":      "a file in the state folder",
	"TCP_INFO":    "of the system",
	"TCP_NODELAY": "of the system",
	"crowd":       "a day of the operators",
	"soak":        "a day of the operators",
}

var (
	backticked = regexp.MustCompile("`([^`\n]+)`")
	testName   = regexp.MustCompile(`\b(?:[a-z]\w*\.)?Test[A-Z]\w*`)
	goName     = regexp.MustCompile(`^[A-Za-z_]\w*(\.[A-Za-z_]\w*)*$`)
	firstCells = regexp.MustCompile(`(?m)^\| [^|]*`)
	// oldMessages is the section of messages that the code no longer has.
	oldMessages = regexp.MustCompile(`(?s)\n### Old log messages\n.*?\n## `)

	fileName = regexp.MustCompile(`^[\w./-]+\.(go|toml|md|txt)$`)
)

func TestNamesOnPagesExist(t *testing.T) {
	code := readCode(t)
	for _, page := range checkedPages {
		t.Run(page, func(t *testing.T) {
			text := readPage(t, page)
			for _, name := range testName.FindAllString(text, -1) {
				if !code.tests[name] {
					t.Errorf("no test function %s", name)
				}
			}
			for _, match := range backticked.FindAllStringSubmatch(text, -1) {
				if name := match[1]; !code.has(name) {
					t.Errorf("`%s` is neither in the code nor a file", name)
				}
			}
		})
	}
}

func TestLogMessagesStandOnPages(t *testing.T) {
	explained := map[string]bool{}
	for _, page := range messagePages {
		text := oldMessages.ReplaceAllString(readPage(t, page), "")
		for _, firstCell := range firstCells.FindAllString(text, -1) {
			for _, match := range backticked.FindAllStringSubmatch(firstCell, -1) {
				explained[match[1]] = true
			}
		}
	}
	messages := readCode(t).messages
	if len(messages) == 0 {
		t.Fatal("no log messages found in the code")
	}
	slices.Sort(messages)
	for _, message := range slices.Compact(messages) {
		if !explained[message] {
			t.Errorf("log message %q has a row in none of %v", message, messagePages)
		}
	}
}

// has reports whether a text in backticks names something that exists: a declaration, a test, a name in a string literal
// (metric, settings key, log message and the like) or a file. Other texts, such as commands and values, are not checked.
func (c *code) has(text string) bool {
	switch {
	case fileName.MatchString(text):
		return slices.ContainsFunc(c.files, func(file string) bool {
			return file == text || strings.HasSuffix(file, "/"+text)
		})
	case goName.MatchString(text):
		return otherNames[text] != "" || c.names[text] || c.tests[text] || c.isInLiterals(text)
	}
	return true
}

// isInLiterals reports whether a name stands as a word in a string literal of the code. Of a path, such as that of a
// settings key, each element has to.
func (c *code) isInLiterals(name string) bool {
	for element := range strings.SplitSeq(name, ".") {
		if !c.literals[element] {
			return false
		}
	}
	return true
}

func readPage(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, page))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
