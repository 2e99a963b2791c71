// Package docscheck keeps the documentation consistent with the code. An engineer on call looks up names from a page in
// the code, and log messages in a table on a page. Therefore each name in backticks on a page must exist, and each log
// message of the dispatcher must be documented. The package contains only tests: they fail if a name changes in the
// code but not on the pages.
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

// messagePages are the pages with tables of log messages. Each log message must have a row in one of them.
var messagePages = []string{"docs/oncall.md", "docs/returning.md", "docs/operating.md"}

// namesOutsideCode describes the names in backticks that are not defined in the code.
var namesOutsideCode = map[string]string{
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
	backticked     = regexp.MustCompile("`([^`\n]+)`")
	testName       = regexp.MustCompile(`\b(?:[a-z]\w*\.)?Test[A-Z]\w*`)
	goName         = regexp.MustCompile(`^[A-Za-z_]\w*(\.[A-Za-z_]\w*)*$`)
	firstCellOfRow = regexp.MustCompile(`(?m)^\| [^|]*`)
	// oldMessagesSection matches the section of log messages that no longer exist in the code.
	oldMessagesSection = regexp.MustCompile(`(?s)\n### Old log messages\n.*?\n## `)

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
				if name := match[1]; !code.exists(name) {
					t.Errorf("`%s` is neither a name in the code nor a file", name)
				}
			}
		})
	}
}

func TestLogMessagesHaveRowsOnPages(t *testing.T) {
	documented := map[string]bool{}
	for _, page := range messagePages {
		text := oldMessagesSection.ReplaceAllString(readPage(t, page), "")
		for _, firstCell := range firstCellOfRow.FindAllString(text, -1) {
			for _, match := range backticked.FindAllStringSubmatch(firstCell, -1) {
				documented[match[1]] = true
			}
		}
	}
	messages := readCode(t).messages
	if len(messages) == 0 {
		t.Fatal("no log messages found in the code")
	}
	slices.Sort(messages)
	for _, message := range slices.Compact(messages) {
		if !documented[message] {
			t.Errorf("log message %q has no row in any of %v", message, messagePages)
		}
	}
}

// exists reports whether a text in backticks refers to an existing declaration, test, name in a string literal (metric,
// settings key, log message and the like) or file. Other texts, such as commands and values, are not checked.
func (c *code) exists(text string) bool {
	switch {
	case fileName.MatchString(text):
		return slices.ContainsFunc(c.files, func(file string) bool {
			return file == text || strings.HasSuffix(file, "/"+text)
		})
	case goName.MatchString(text):
		return namesOutsideCode[text] != "" || c.names[text] || c.tests[text] || c.isInLiterals(text)
	}
	return true
}

// isInLiterals reports whether a name occurs as a word in a string literal of the code. For a path, such as that of a
// settings key, each element must occur.
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
	text, err := os.ReadFile(filepath.Join(moduleRoot, page))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
