// Command simadapter speaks the simulator's protocol for the balancer, from standard input to standard output.
package main

import (
	"fmt"
	"os"

	"canvasroute/internal/simadapter"
)

func main() {
	if err := simadapter.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
