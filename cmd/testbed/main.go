// Command testbed runs experiments with canvasroute and stand-ins. It is a program of its own so that the libraries for
// plots and command lines are not linked into the dispatcher.
package main

import (
	"os"

	"canvasroute/internal/testbed/command"
)

func main() { os.Exit(command.Main(os.Args[1:])) }
