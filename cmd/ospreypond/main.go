// Command ospreypond runs one dispatcher, which sends clients' requests to runners, or one process of the cluster scheduler.
// Further commands administer a running scheduler and read and repair stored data.
package main

import (
	"os"

	"ospreypond/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}, os.Getenv))
}
