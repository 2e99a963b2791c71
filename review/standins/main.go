// Command review runs one case of the review: it starts dispatchers with the command of the deploy file, lets stand-ins
// of clients, workers and the discovery service act, and checks one rule.
//
//	review ROOT FOLDER CASE
//
// ROOT is the root of the project, FOLDER gets record.txt, CASE is the name of a case. The exit code is 0 if the rule
// held, 1 if it was broken, and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit is the time after which a case that is still running counts as one that could not run.
const caseLimit = 110 * time.Second

// errNotRun is the error of a case that could not run, or whose disruption did not take place.
var errNotRun = errors.New("the case could not run")

// cases are the cases by name, and further trials that have no folder. Each returns the breaks of the rule that it saw.
var cases = map[string]func(*bench) ([]string, error){
	// The cases.
	"leaving":     runLeaving,
	"desync":      runDesync,
	"missing-key": runMissingKey,
	// The further trials: see REPORT.md.
	"key-store":   runKeyStore,
	"same-id":     runSameID,
	"leave-start": runLeaveStart,
	"leave-kept":  runLeaveKept,
	"two-groups":  runTwoGroups,
	"endless":     runEndless,
}

func main() {
	const arguments = 4
	if len(os.Args) != arguments || cases[os.Args[3]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review ROOT FOLDER CASE")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(root, folder, name string) int {
	b, err := newBench(root, filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	timeout := time.AfterFunc(caseLimit, func() {
		b.record("end", "time limit of the case")
		b.close()
		os.Exit(exitNotRun)
	})
	defer timeout.Stop()
	b.record("case", "%s, trouble %v", name, b.trouble)
	breaks, err := cases[name](b)
	for _, text := range breaks {
		b.record("BROKEN", "%s", text)
		fmt.Println("rule broken:", text)
	}
	switch {
	case len(breaks) > 0:
		b.record("end", "exit 1: the rule was broken")
		return exitBroken
	case err != nil:
		b.record("end", "exit 2: %v", err)
		fmt.Println(err)
		return exitNotRun
	}
	b.record("end", "exit 0: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
