// Command review-2 runs one case of the second review. It starts dispatchers by the command of the deploy file, plays
// the platform around them with stand-ins (discovery, workers, clients), and checks one rule.
//
// The exit code is 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns a description of each break of its rule.
var cases = map[string]func(*environment) ([]string, error){
	"window":   windowCase,
	"rejected": rejectedCase,
	"push":     pushCase,
	"cold":     coldCase,
	"pipeline": pipelineCase,
	"leave":    leaveCase,
	"leavers":  leaversCase,
	"upgrade":  upgradeCase,
	"restart":  restartCase,
}

// timeLimit ends a case that does not end by itself.
const timeLimit = 110 * time.Second

func main() { os.Exit(run()) }

func run() int {
	root := flag.String("root", ".", "root of the repository")
	recordFile := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play, known := cases[flag.Arg(0)]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", flag.Arg(0))
		return 2
	}
	env, err := newEnvironment(*root, *recordFile, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer env.close()
	type verdict struct {
		breaks []string
		err    error
	}
	done := make(chan verdict, 1)
	go func() {
		breaks, err := play(env)
		done <- verdict{breaks, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var result verdict
	select {
	case result = <-done:
	case <-signals:
		result.err = errors.New("ended by a signal")
	case <-time.After(timeLimit):
		result.err = errors.New("time limit")
	}
	if result.err == nil {
		result.err = env.unexpectedExit()
	}
	switch {
	case result.err != nil:
		env.say("CANNOT RUN: %v", result.err)
		return 2
	case len(result.breaks) > 0:
		for _, text := range result.breaks {
			env.say("BROKEN: %s", text)
		}
		return 1
	}
	env.say("HELD")
	return 0
}
