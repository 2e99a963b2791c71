// Command testbed runs experiments with canvasroute and a simulated platform. It is a separate program, so that the
// dispatcher is not linked with the libraries for plots and command lines.
package main

import (
	"os"

	"canvasroute/internal/testbed/command"
)

func main() { os.Exit(command.Main(os.Args[1:])) }
