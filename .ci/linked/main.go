// Command linked fails unless the program that it is given names a loader and the C library: the platform starts
// the dispatcher through them.
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
	if err := check(os.Args[1]); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", os.Args[1], err)
		os.Exit(1)
	}
}

func check(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return fmt.Errorf("reading the program: %w", err)
	}
	defer func() { _ = f.Close() }() // it was only read
	libraries, err := f.ImportedLibraries()
	if err != nil {
		return fmt.Errorf("reading its libraries: %w", err)
	}
	isC := func(l string) bool { return strings.HasPrefix(l, "libc.") }
	isLoader := func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }
	if !slices.ContainsFunc(libraries, isC) || !slices.ContainsFunc(f.Progs, isLoader) {
		return errors.New("linked statically: build in deploy/balancer.toml needs cgo and " +
			"-ldflags=-linkmode=external")
	}
	return nil
}
