// Command canvasroute is the dispatcher on sockets. LB_CONFIG names its configuration; with arguments it runs a
// command, such as `state show`, and does not serve.
package main

import (
	"os"

	"canvasroute/internal/daemon"
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(daemon.RunCommand(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(daemon.Main())
}
