// Command mutants removes the guards that list.toml lists, one at a time, with a build overlay, and fails unless the
// test listed for each guard fails without it. It is not part of CI because it takes minutes. With -check, it only
// verifies that each guard is found in the source tree.
package main

import (
	"bytes"
	_ "embed"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

//go:embed list.toml
var list []byte

// mutant describes a change that removes a guard, and the test that must detect it.
type mutant struct {
	Name    string `toml:"name"`
	File    string `toml:"file"`
	Old     string `toml:"old"`
	New     string `toml:"new"`
	Test    string `toml:"test"` // pattern for go test -run
	Package string `toml:"in"`   // package of the test
}

func main() {
	check := flag.Bool("check", false, "only hold that each guard is found in the tree")
	flag.Parse()
	if err := run(*check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run tests each mutant of list.toml, and returns an error that names each mutant that its test does not detect. If
// check is set, it only verifies that each guard is found exactly once in its file.
func run(check bool) error {
	var all struct {
		Mutants []mutant `toml:"mutant"`
	}
	if err := toml.NewDecoder(bytes.NewReader(list)).DisallowUnknownFields().Decode(&all); err != nil {
		return fmt.Errorf("list.toml: %w", err)
	}
	var survived error
	for _, m := range all.Mutants {
		text, err := os.ReadFile(m.File)
		if err != nil {
			return fmt.Errorf("%s: %w", m.Name, err)
		}
		if n := strings.Count(string(text), m.Old); n != 1 {
			return fmt.Errorf("%s: guard found %d times in %s, want 1", m.Name, n, m.File)
		}
		if check {
			continue
		}
		caught, err := m.runTest(strings.Replace(string(text), m.Old, m.New, 1))
		if err != nil {
			return fmt.Errorf("%s: %w", m.Name, err)
		}
		fmt.Printf("%-60s caught %v by %s %s\n", m.Name, caught, m.Package, m.Test)
		if !caught {
			survived = errors.Join(survived, fmt.Errorf("%s: not detected by its test", m.Name))
		}
	}
	return survived
}

// runTest runs the mutant's test with the mutated text in place of the file, and reports whether the test fails.
func (m mutant) runTest(text string) (caught bool, err error) {
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	mutated, overlay := filepath.Join(dir, "mutated.go"), filepath.Join(dir, "overlay.json")
	original, err := filepath.Abs(m.File)
	if err != nil {
		return false, err
	}
	if err := os.WriteFile(mutated, []byte(text), 0o600); err != nil {
		return false, err
	}
	replace := fmt.Sprintf(`{"Replace":{%q:%q}}`, original, mutated)
	if err := os.WriteFile(overlay, []byte(replace), 0o600); err != nil {
		return false, err
	}
	if out, err := exec.Command("go", "vet", "-overlay", overlay, m.Package).CombinedOutput(); err != nil {
		return false, fmt.Errorf("does not build: %s", out)
	}
	out, err := exec.Command("go", "test", "-overlay", overlay, "-count=1", "-timeout=60s", "-run", m.Test,
		m.Package).CombinedOutput()
	var failed *exec.ExitError
	if err != nil && !errors.As(err, &failed) {
		return false, err
	}
	if bytes.Contains(out, []byte("no tests to run")) {
		return false, errors.New("test not found")
	}
	return err != nil, nil
}
