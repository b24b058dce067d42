// Command ospreypond is one dispatcher: it takes clients' requests and has runners do them. Its other commands look
// after what it stores.
package main

import (
	"os"

	"ospreypond/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}, os.Getenv))
}
