package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"unicode"
)

// moduleRoot is the path of the module's root directory, relative to this package.
const moduleRoot = "../.."

// code holds the names in the Go code that pages may refer to, and the names of the files.
type code struct {
	names    map[string]bool // package-level names, fields and methods: "Name", "pkg.Name", "Type.Member", "pkg.Type.Member"
	tests    map[string]bool // test functions: "TestName", "pkg.TestName"
	literals map[string]bool // words in string literals: names on the wire, in settings and in the log
	messages []string        // constant log messages of the dispatcher
	files    []string        // paths of the repository's files, relative to its root
}

// readCode parses all Go code of the module.
func readCode(t *testing.T) *code {
	t.Helper()
	c := &code{names: map[string]bool{}, tests: map[string]bool{}, literals: map[string]bool{}}
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "journal"):
			return fs.SkipDir
		case entry.IsDir():
			return nil
		}
		relative, err := filepath.Rel(moduleRoot, path)
		if err != nil {
			return err
		}
		c.files = append(c.files, filepath.ToSlash(relative))
		if filepath.Ext(path) != ".go" || strings.Contains(relative, "testdata") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		c.addFile(file, filepath.ToSlash(relative))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// addFile adds the declarations and literals of a file. From test files it adds only the test functions.
func (c *code) addFile(file *ast.File, path string) {
	if strings.HasSuffix(path, "_test.go") {
		pkg := strings.TrimSuffix(file.Name.Name, "_test")
		for _, declaration := range file.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok && function.Recv == nil {
				c.tests[function.Name.Name] = true
				c.tests[pkg+"."+function.Name.Name] = true
			}
		}
		return
	}
	c.names[file.Name.Name] = true
	for _, declaration := range file.Decls {
		c.addDeclaration(file.Name.Name, declaration)
	}
	isDispatcher := strings.HasPrefix(path, "internal/") && !strings.HasPrefix(path, "internal/testbed/")
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.BasicLit:
			for _, word := range strings.FieldsFunc(stringValue(node), isWordSeparator) {
				c.literals[word] = true
			}
		case *ast.CallExpr:
			if message := logMessage(node); isDispatcher && message != "" {
				c.messages = append(c.messages, message)
			}
		}
		return true
	})
}

// addDeclaration adds the declared names, and the names of struct fields and interface methods.
func (c *code) addDeclaration(pkg string, declaration ast.Decl) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		if declaration.Recv == nil {
			c.addName(pkg, declaration.Name.Name)
		} else {
			c.addName(pkg, receiverType(declaration), declaration.Name.Name)
		}
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			switch spec := spec.(type) {
			case *ast.ValueSpec:
				for _, name := range spec.Names {
					c.addName(pkg, name.Name)
				}
			case *ast.TypeSpec:
				c.addName(pkg, spec.Name.Name)
				c.addMembers(pkg, spec)
			}
		}
	}
}

// addMembers adds the fields of a struct type, or the methods of an interface type.
func (c *code) addMembers(pkg string, spec *ast.TypeSpec) {
	var members *ast.FieldList
	switch declared := spec.Type.(type) {
	case *ast.StructType:
		members = declared.Fields
	case *ast.InterfaceType:
		members = declared.Methods
	default:
		return
	}
	for _, member := range members.List {
		for _, name := range member.Names {
			c.addName(pkg, spec.Name.Name, name.Name)
		}
	}
}

// addName adds each form of a name that a page may use: every suffix of its path.
func (c *code) addName(path ...string) {
	for start := range path {
		c.names[strings.Join(path[start:], ".")] = true
	}
}

// receiverType returns the name of a method's receiver type.
func receiverType(function *ast.FuncDecl) string {
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name
	}
	return ""
}

// logMessage returns the constant message of a call that writes a log line, or "" for other calls.
func logMessage(call *ast.CallExpr) string {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || method.Sel.Name != "Msg" || len(call.Args) != 1 {
		return ""
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok {
		return ""
	}
	return stringValue(literal)
}

// isWordSeparator reports whether a character cannot be part of a name.
func isWordSeparator(character rune) bool {
	return character != '_' && !unicode.IsLetter(character) && !unicode.IsDigit(character)
}

// stringValue returns the value of a string literal, or "" for other literals.
func stringValue(literal *ast.BasicLit) string {
	if literal.Kind != token.STRING {
		return ""
	}
	value, err := strconv.Unquote(literal.Value)
	if err != nil {
		return ""
	}
	return value
}
