// Command policysim runs dispatchers for the simulator and speaks its protocol over standard input and output.
package main

import (
	"fmt"
	"os"

	"ospreypond/internal/dispatcher/simulator"
)

func main() {
	if err := simulator.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "policysim:", err)
		os.Exit(1)
	}
}
