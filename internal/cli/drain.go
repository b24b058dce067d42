package cli

import (
	"context"
	"io"

	"github.com/spf13/cobra"
)

// drainReport is the JSON output of 'drain'.
type drainReport struct {
	Left int    `json:"left"` // number of shards that the process still owns
	Node string `json:"node"`
}

func (s *clusterCommands) newDrain() *cobra.Command {
	return s.onSystem(&cobra.Command{Use: "drain NODE", Short: "Transfer the leaderships of a control process to others", Args: exactArgs("NODE"),
		Long: "Have a control process, named by its node or internal address, transfer the shards that it owns to others, before\n" +
			"maintenance of its machine. It stays a member, and owns nothing until it is started again.",
		Example: "  ospreypond drain control-2 --control 127.77.0.11:7380"},
		func(ctx context.Context, flags *clusterFlags, system administrator, args []string) error {
			remaining, err := system.Drain(ctx, args[0])
			if err != nil {
				return err
			}
			report := drainReport{Left: remaining, Node: args[0]}
			err = flags.print(report, func(w io.Writer) {
				if remaining > 0 {
					writef(w, "%s still owns %d shards: no other member could take them\n", args[0], remaining)
					return
				}
				writef(w, "%s owns nothing any more\n", args[0])
			})
			if err == nil && remaining > 0 {
				return errReported
			}
			return err
		})
}
