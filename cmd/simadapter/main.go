// Command simadapter connects the decision core to the simulator: it reads the simulator's messages from standard input
// and writes replies to standard output. If it can't read or answer a line, it prints an error on standard error and
// exits with status 1.
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
