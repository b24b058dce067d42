// Package command is the command line of a small system on one machine. It is no command of ospreypond: where that runs, no
// program may be able to start others.
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

// Main runs the command with these arguments, without the program's name, and returns the process' exit code.
func Main(args []string, std cli.Streams) int {
	return cli.Execute(newRoot(std), args, std)
}

func newRoot(std cli.Streams) *cobra.Command {
	options := localcluster.Options{Out: std.Out}
	c := &cobra.Command{Use: "localcluster", Short: "Run a small system on this machine", Args: cobra.NoArgs,
		Long: "Run three control processes, two frontends, and two agents with stand-in runners on addresses of loopback, in the\n" +
			"foreground; Ctrl-C ends all in order. The folder keeps settings, logs and data: started again with it, the system\n" +
			"goes on from there. The queue demo.local/jobs/ is there from the start; a task's \"spec\" tells the stand-in runners\n" +
			"what to do: \"sleep 2s\", \"fail 1s\", or \"last\" until it is stopped.",
		Example: "  localcluster --dir /tmp/osprey\n" +
			"  localcluster --dir /tmp/other --network 127.78.0\n" +
			"  localcluster --dir /tmp/again --restore monday.backup"}
	c.RunE = func(c *cobra.Command, _ []string) error { return run(c, options) }
	c.Flags().StringVar(&options.Dir, "dir", "", "`folder` for settings, logs and data")
	c.Flags().StringVar(&options.Network, "network", localcluster.StandardNetwork, "first three `numbers` of the machines' addresses")
	c.Flags().StringVar(&options.Restore, "restore", "", "start from this backup `file`, in a new folder")
	c.Flags().StringVar(&options.Program, "program", "", "`file` of "+processProgram+"; else the one beside this program")
	return c
}

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
