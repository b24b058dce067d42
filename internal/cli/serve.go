package cli

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"ospreypond/internal/dispatcher/app"
	"ospreypond/internal/dispatcher/script"
	"ospreypond/internal/store"
)

// Defaults of --record-keep and --record-bytes.
const (
	keepAge   = 7 * 24 * time.Hour
	keepBytes = 1 << 30 // 1 GiB of keys and values
)

func newServe(std Streams, getenv func(string) string) *cobra.Command {
	opt := app.Options{Keep: store.Retention{Age: keepAge, Bytes: keepBytes}}
	c := &cobra.Command{Use: "serve", Short: "Run one dispatcher", Args: cobra.NoArgs,
		Long: "Run one dispatcher in the foreground, configured by the file that LB_CONFIG names.\n" +
			"SIGHUP makes it read that file again; SIGTERM stops it gracefully.",
		RunE: func(*cobra.Command, []string) error {
			log := newLog(std.Err)
			if err := app.Serve(opt, getenv, log); err != nil {
				var faults script.FileErrors
				if errors.As(err, &faults) {
					for _, f := range faults {
						log.WithError(f).Error("the settings file has a fault")
					}
					err = fmt.Errorf("%d faults in the settings file", len(faults))
				}
				log.WithError(err).Error("ospreypond cannot go on")
				return errReported
			}
			return nil
		}}
	f := c.Flags()
	f.StringVar(&opt.Record, "record", "", "record each request and its outcome in the store in this `folder`")
	f.DurationVar(&opt.Keep.Age, "record-keep", opt.Keep.Age, "drop recorded traffic older than this")
	f.StringVar(&opt.Fleet, "fleet", "", "take part in a fleet as the settings `file` says")
	f.Int64Var(&opt.Keep.Bytes, "record-bytes", opt.Keep.Bytes, "drop the oldest recorded traffic beyond this many bytes")
	return c
}
