// Command capacity measures what one process of the system carries at the size of the large deployment: thousands of
// hollow runners, one owner, one feed, one replica group, all in one process and in virtual time, without sockets or
// disks. Figures are processor time and bytes; docs/CAPACITY.md is made from them.
package main

import (
	"os"
	"runtime"

	"github.com/spf13/cobra"
)

// The large deployment.
const (
	targetRunners = 8_900
	targetTasks   = 49_000
	targetStarts  = 1_400 // a second, at peak
	targetQueues  = 590
)

func main() {
	// One process has less than one core; the garbage collector's time is its own.
	runtime.GOMAXPROCS(1)
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "capacity", Short: "Measure what one process carries at the size of the large deployment",
		SilenceUsage: true}
	root.AddCommand(ownerCommand(), gangCommand(), feedCommand(), stateCommand(), groupCommand(), wireCommand(), linksCommand(),
		dialCommand())
	return root
}
