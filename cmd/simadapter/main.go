// Command simadapter runs dispatchers in the simulator. It reads batches of events from standard input and writes the
// replies to standard output. It exits with 1 after an error, which it writes to standard error.
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
