// Command simadapter runs dispatchers in the simulator. It reads batches of events from standard input and writes
// replies to standard output. On error it prints the error to standard error and exits with code 1.
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
