// Command canvasroute runs a dispatcher. The environment variable LB_CONFIG holds the path of its configuration file.
// With arguments it runs a command instead, such as `state show FOLDER`, and serves no requests. Exit codes and signals
// are described in docs/operating.md.
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
