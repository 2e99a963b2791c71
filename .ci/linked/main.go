// Command linked fails unless the given program is linked dynamically against the C library and names a program
// interpreter (the dynamic loader), because the platform requires both to start the dispatcher.
package main

import (
	"debug/elf"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: linked PROGRAM")
		os.Exit(2)
	}
	if err := checkLinking(os.Args[1]); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", os.Args[1], err)
		os.Exit(1)
	}
}

// checkLinking returns an error unless the program at path is linked dynamically against the C library and names a
// program interpreter.
func checkLinking(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return fmt.Errorf("reading the program: %w", err)
	}
	defer func() { _ = f.Close() }() // the file was only read
	libraries, err := f.ImportedLibraries()
	if err != nil {
		return fmt.Errorf("reading the imported libraries: %w", err)
	}
	isCLibrary := func(l string) bool { return strings.HasPrefix(l, "libc.") }
	isLoader := func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }
	if !slices.ContainsFunc(libraries, isCLibrary) || !slices.ContainsFunc(f.Progs, isLoader) {
		return errors.New("linked statically: build in deploy/balancer.toml needs cgo and " +
			"-ldflags=-linkmode=external")
	}
	return nil
}
