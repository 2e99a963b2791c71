// Command testbed runs experiments with canvasroute on stand-ins. Its libraries for plots and files stay
// out of the dispatcher's own program.
package main

import (
	"os"

	"canvasroute/internal/testbed/command"
)

func main() { os.Exit(command.Main(os.Args[1:])) }
