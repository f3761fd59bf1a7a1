// Command simadapter runs the decisions on the simulator's wire, from standard input to standard output. It exits with 1, and says
// why on standard error, where it can't read or answer a line.
package main

import (
	"fmt"
	"os"

	"onyxgate/internal/simadapter"
)

func main() {
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
