// Command simhost hosts dispatchers on the simulator's wire, over standard input and output.
package main

import (
	"fmt"
	"os"

	"ospreypond/internal/dispatcher/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
