// Command drill plays canvasroute's decisions on the bench's wire, from standard input to standard output.
package main

import (
	"fmt"
	"os"

	"canvasroute/internal/drill"
)

func main() {
	if err := drill.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
