package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"ospreypond/internal/local"
)

func (s *systemCommands) newLocal() *cobra.Command {
	options := local.Options{Network: local.StandardNetwork, Out: s.std.Out}
	c := &cobra.Command{Use: "local", Short: "Run a small system on this machine", Args: needs(),
		Long: "Run three control processes, two frontends, and two agents with stand-in runners on addresses of loopback, in the\n" +
			"foreground; Ctrl-C ends all in order. The folder keeps settings, logs and data: started again with it, the system\n" +
			"goes on from there. The queue demo.local/jobs/ is there from the start; a task's \"spec\" tells the stand-in runners\n" +
			"what to do: \"sleep 2s\", \"fail 1s\", or \"last\" until it is stopped.",
		Example: "  ospreypond local --dir /tmp/osprey\n" +
			"  ospreypond local --dir /tmp/other --network 127.78.0\n" +
			"  ospreypond local --dir /tmp/again --restore monday.backup",
		RunE: func(c *cobra.Command, _ []string) error {
			if options.Dir == "" {
				return usageError{fmt.Errorf("--dir is missing")}
			}
			program, err := os.Executable()
			if err != nil {
				return err
			}
			options.Program = program
			ctx, stop := interruptible(c.Context())
			defer stop()
			return local.Run(ctx, options)
		}}
	c.Flags().StringVar(&options.Dir, "dir", "", "`folder` for settings, logs and data")
	c.Flags().StringVar(&options.Network, "network", options.Network, "first three `numbers` of the machines' addresses")
	c.Flags().StringVar(&options.Restore, "restore", "", "start from this backup `file`, in a new folder")
	return c
}
