// Command drill runs the decision module on the simulator's wire, from standard input to standard output.
package main

import (
	"fmt"
	"os"

	"onyxgate/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
