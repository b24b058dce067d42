package cli

import (
	"bufio"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"ospreypond/internal/dispatcher/traffic"
)

func newTraffic(std Streams) *cobra.Command {
	return commandGroup("traffic", "Export recorded traffic", newTrafficExport(std))
}

func newTrafficExport(std Streams) *cobra.Command {
	var format, from, to string
	c := &cobra.Command{Use: "export DIR", Short: "Print recorded traffic as CSV or JSON lines", Args: cobra.ExactArgs(1),
		Long: "Print the requests that 'serve --record DIR' recorded, in the order of their arrival, while no dispatcher records\n" +
			"there. In CSV a request's attempts are one field, hops: target;sent_us;took_us;outcome, separated by spaces.",
		RunE: func(c *cobra.Command, args []string) error {
			if !slices.Contains(traffic.Formats, traffic.Format(format)) {
				return usageError{fmt.Errorf("--format: %q is not one of %v", format, traffic.Formats)}
			}
			var times [2]time.Time
			for i, f := range []struct{ name, text string }{{"from", from}, {"to", to}} {
				if f.text == "" {
					continue
				}
				var err error
				if times[i], err = time.Parse(time.RFC3339Nano, f.text); err != nil {
					return usageError{fmt.Errorf("--%s: %q is not a time like 2026-12-01T08:00:00Z", f.name, f.text)}
				}
			}
			ctx, stop := Interruptible(c.Context())
			defer stop()
			out := bufio.NewWriter(std.Out)
			if _, err := traffic.Export(ctx, args[0], traffic.Format(format), times[0], times[1], out); err != nil {
				return err
			}
			return out.Flush()
		}}
	c.Flags().StringVar(&format, "format", string(traffic.CSV), "csv or jsonl")
	c.Flags().StringVar(&from, "from", "", "export only requests that arrived at this `time` (RFC 3339) or later")
	c.Flags().StringVar(&to, "to", "", "export only requests that arrived before this `time`")
	return c
}
