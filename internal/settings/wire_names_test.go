package settings

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	glossaryPath    = "../../docs/glossary.md"
	glossaryHeading = "## Wire names"
	wireNamesFile   = "wire_names.go"
)

// wireNamePackages are the packages that map names on the wire to terms.
var wireNamePackages = []string{"settings", "protocol", "simadapter"}

// wireName is a row of the table of wire names.
type wireName struct {
	name string // name on the wire
	term string
	unit string // unit of a number; "" if not a number or without a unit
}

// TestWireNamesAreInTheGlossary checks that the glossary and the code have the same wire names, terms and units.
func TestWireNamesAreInTheGlossary(t *testing.T) {
	glossaryRows := readGlossary(t)
	for _, packageName := range wireNamePackages {
		t.Run(packageName, func(t *testing.T) {
			codeRows := parseWireNames(t, packageName)
			assert.NotEmpty(t, codeRows)
			assert.Equal(t, formatRows(codeRows), formatRows(glossaryRows[packageName]))
		})
	}
	for packageName := range glossaryRows {
		assert.Contains(t, wireNamePackages, packageName, "the glossary has wire names of another package")
	}
}

// TestWireNamesAreLiteralsInOneFileOnly checks that only the file of wire names has wire names as string literals.
func TestWireNamesAreLiteralsInOneFileOnly(t *testing.T) {
	for _, packageName := range wireNamePackages {
		t.Run(packageName, func(t *testing.T) {
			wireNames := map[string]bool{}
			for _, row := range parseWireNames(t, packageName) {
				wireNames[row.name] = true
			}
			paths, err := filepath.Glob(filepath.Join("..", packageName, "*.go"))
			require.NoError(t, err)
			for _, path := range paths {
				if strings.HasSuffix(path, "_test.go") || filepath.Base(path) == wireNamesFile {
					continue
				}
				for _, literal := range stringLiterals(t, path) {
					assert.False(t, wireNames[literal], "%s has the wire name %q as a literal", path, literal)
				}
			}
		})
	}
}

// formatRows formats one row per line, so that a failing comparison has a short diff.
func formatRows(rows []wireName) string {
	var lines []string
	for _, row := range rows {
		lines = append(lines, row.name+" | "+row.term+" | "+row.unit)
	}
	return strings.Join(lines, "\n")
}

// parseWireNames parses the constants in a package's file of wire names. The comment of each constant holds its term,
// and its unit after a semicolon.
func parseWireNames(t *testing.T, packageName string) []wireName {
	t.Helper()
	var rows []wireName
	ast.Inspect(parseFile(t, filepath.Join("..", packageName, wireNamesFile)), func(node ast.Node) bool {
		constant, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		require.Len(t, constant.Values, 1, "%s: want exactly one value per declaration", constant.Names[0])
		literal, ok := constant.Values[0].(*ast.BasicLit)
		require.True(t, ok, "%s is not a literal", constant.Names[0])
		name, err := strconv.Unquote(literal.Value)
		require.NoError(t, err)
		term, unit, _ := strings.Cut(constant.Comment.Text(), ";")
		require.NotEmpty(t, strings.TrimSpace(term), "%s has no term", constant.Names[0])
		rows = append(rows, wireName{name: name, term: strings.TrimSpace(term), unit: strings.TrimSpace(unit)})
		return true
	})
	return rows
}

// stringLiterals returns the values of a file's string literals, except for struct tags and import paths.
func stringLiterals(t *testing.T, path string) []string {
	t.Helper()
	var literals []string
	ast.Inspect(parseFile(t, path), func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.Field:
			return node.Tag == nil
		case *ast.BasicLit:
			if node.Kind == token.STRING {
				literal, err := strconv.Unquote(node.Value)
				require.NoError(t, err)
				literals = append(literals, literal)
			}
		}
		return true
	})
	return literals
}

func parseFile(t *testing.T, path string) *ast.File {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
	require.NoError(t, err)
	return file
}

// readGlossary parses the table of wire names in the glossary, and groups its rows by package.
func readGlossary(t *testing.T) map[string][]wireName {
	t.Helper()
	page, err := os.ReadFile(glossaryPath)
	require.NoError(t, err)
	_, section, found := strings.Cut(string(page), glossaryHeading+"\n")
	require.True(t, found, "the glossary has no section %q", glossaryHeading)
	section, _, _ = strings.Cut(section, "\n## ")
	rows := map[string][]wireName{}
	for line := range strings.SplitSeq(section, "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		require.Len(t, cells, 4, "want wire name, term, unit and package in row: %s", line)
		for n := range cells {
			cells[n] = strings.Trim(strings.TrimSpace(cells[n]), "`")
		}
		packageName := cells[3]
		rows[packageName] = append(rows[packageName], wireName{name: cells[0], term: cells[1], unit: cells[2]})
	}
	return rows
}
