// Command canvasroute is the dispatcher on sockets. LB_CONFIG names its configuration.
package main

import (
	"os"

	"canvasroute/internal/program"
)

func main() { os.Exit(program.Main()) }
