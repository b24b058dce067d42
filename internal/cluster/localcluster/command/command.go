// Package command is the command line of the program localcluster, which runs a small system on one machine. It is a
// separate program, not a command of ospreypond, because ospreypond must not be able to start other programs.
package command

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"ospreypond/internal/cli"
	"ospreypond/internal/cluster/localcluster"
)

// processProgram is the file name of the program that all processes of a system run.
const processProgram = "ospreypond"

// Main runs the command with args, which don't include the program's name, and returns the exit status.
func Main(args []string, std cli.Streams) int {
	return cli.Execute(newRoot(std), args, std)
}

func newRoot(std cli.Streams) *cobra.Command {
	options := localcluster.Options{Out: std.Out}
	c := &cobra.Command{Use: "localcluster", Short: "Run a small system on this machine", Args: cobra.NoArgs,
		Long: "Run three control processes, two frontends, and two agents with stand-in runners at loopback addresses, in the\n" +
			"foreground; Ctrl-C stops all of them in order. The folder keeps settings, logs and data: a system that is started in\n" +
			"it again goes on from there. A new system has the queue demo.local/jobs/. A task's \"spec\" says what the stand-in\n" +
			"runners do: \"sleep 2s\", \"fail 1s\", or \"last\" until it is stopped.",
		Example: "  localcluster --dir /tmp/osprey\n" +
			"  localcluster --dir /tmp/other --network 127.78.0\n" +
			"  localcluster --dir /tmp/again --restore monday.backup"}
	c.RunE = func(c *cobra.Command, _ []string) error { return run(c, options) }
	c.Flags().StringVar(&options.Dir, "dir", "", "`folder` for settings, logs and data")
	c.Flags().StringVar(&options.Network, "network", localcluster.DefaultNetwork, "first three `numbers` of the machines' addresses")
	c.Flags().StringVar(&options.Restore, "restore", "", "start from this backup `file`, in a new folder")
	c.Flags().StringVar(&options.Program, "program", "", "`file` of "+processProgram+"; default: the one beside this program")
	return c
}

// run checks and completes the options, and runs the system until the process receives SIGINT or SIGTERM.
func run(c *cobra.Command, options localcluster.Options) error {
	if options.Dir == "" {
		return cli.UsageError(errors.New("--dir is missing"))
	}
	if options.Program == "" {
		own, err := os.Executable()
		if err != nil {
			return err
		}
		options.Program = filepath.Join(filepath.Dir(own), processProgram)
	}
	ctx, stop := cli.Interruptible(c.Context())
	defer stop()
	return localcluster.Run(ctx, options)
}
