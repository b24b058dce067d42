// Command localcluster runs a small system on one machine: processes of ospreypond and stand-in runners.
package main

import (
	"os"

	"ospreypond/internal/cli"
	"ospreypond/internal/cluster/localcluster/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
