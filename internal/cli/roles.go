package cli

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/agent"
	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/control"
	"ospreypond/internal/cluster/frontend"
	"ospreypond/internal/cluster/seeds"
)

// settingsVariable names the settings file of a process of the cluster scheduler.
const settingsVariable = "OSPREYPOND_SETTINGS"

// roleMain is a role's main function: it serves until the context ends.
type roleMain func(ctx context.Context, settings *boot.Settings, logger log.Logger) error

func newRoles(std Streams, getenv func(string) string) []*cobra.Command {
	return []*cobra.Command{
		newControl(std, getenv),
		newRole(std, getenv, "frontend", "Run a frontend of the cluster scheduler", frontend.Run),
		newRole(std, getenv, "agent", "Run the agent beside one runner", agent.Run),
	}
}

// newControl is the command of a control process, which may tell its metrics.
func newControl(std Streams, getenv func(string) string) *cobra.Command {
	var port int
	run := func(ctx context.Context, settings *boot.Settings, logger log.Logger) error {
		settings.MetricsPort = port
		return control.Run(ctx, settings, logger)
	}
	c := newRole(std, getenv, "control", "Run a control process of the cluster scheduler", run)
	c.Flags().IntVar(&port, "metrics-port", 0, "`port` of this machine where metrics are told, in the text format of Prometheus; 0: nowhere")
	return c
}

func newRole(std Streams, getenv func(string) string, use, short string, run roleMain) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs,
		Long: short + ", in the foreground, with the settings file that " + settingsVariable + " names.\n" +
			"SIGTERM ends it in order.",
		RunE: func(c *cobra.Command, _ []string) error {
			logger := newRoleLog(std.Err)
			seeds.Hangups() // a SIGHUP that comes while the role is being set up must not end it
			settings, err := boot.Load(getenv(settingsVariable))
			if err == nil {
				err = settings.CheckRole(use)
			}
			if err != nil {
				level.Error(logger).Log("msg", "the settings cannot be used", "err", err)
				return errSaid
			}
			settings.Limits.Apply()
			ctx, stop := Interruptible(c.Context())
			defer stop()
			if err := run(ctx, settings, logger); err != nil {
				level.Error(logger).Log("msg", "the role cannot go on", "role", use, "err", err)
				return errSaid
			}
			return nil
		}}
}

func newRoleLog(w io.Writer) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, level.AllowInfo())
	return log.With(logger, "ts", log.TimestampFormat(time.Now, "15:04:05.000"), "pid", os.Getpid())
}
