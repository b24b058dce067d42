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

// settingsVariable is the environment variable with the path of the settings file of a process of the cluster scheduler.
const settingsVariable = "OSPREYPOND_SETTINGS"

// roleMain runs the process of a role: it serves until ctx ends, then stops gracefully and returns nil.
type roleMain func(ctx context.Context, settings *boot.Settings, logger log.Logger) error

func newRoles(std Streams, getenv func(string) string) []*cobra.Command {
	return []*cobra.Command{
		newControl(std, getenv),
		newRole(std, getenv, "frontend", "Run a frontend of the cluster scheduler", frontend.Run),
		newRole(std, getenv, "agent", "Run the agent beside one runner", agent.Run),
	}
}

// newControl returns the command of a control process, the only role that serves metrics.
func newControl(std Streams, getenv func(string) string) *cobra.Command {
	var port int
	run := func(ctx context.Context, settings *boot.Settings, logger log.Logger) error {
		settings.MetricsPort = port
		return control.Run(ctx, settings, logger)
	}
	c := newRole(std, getenv, "control", "Run a control process of the cluster scheduler", run)
	c.Flags().IntVar(&port, "metrics-port", 0, "`port` on which to serve metrics, in Prometheus's text format; 0: none")
	return c
}

// newRole returns the command that runs the process of a role. use is the role's name and the command's.
func newRole(std Streams, getenv func(string) string, use, short string, run roleMain) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs,
		Long: short + ", in the foreground, with the settings file that " + settingsVariable + " names.\n" +
			"SIGTERM stops it gracefully.",
		RunE: func(c *cobra.Command, _ []string) error {
			logger := newRoleLog(std.Err)
			seeds.Hangups() // registers for SIGHUP: one during the start would otherwise end the process
			settings, err := boot.Load(getenv(settingsVariable))
			if err == nil {
				err = settings.CheckRole(use)
			}
			if err != nil {
				_ = level.Error(logger).Log("msg", "the settings cannot be used", "err", err)
				return errReported
			}
			settings.Limits.Apply()
			ctx, stop := Interruptible(c.Context())
			defer stop()
			if err := run(ctx, settings, logger); err != nil {
				_ = level.Error(logger).Log("msg", "the role cannot go on", "role", use, "err", err)
				return errReported
			}
			return nil
		}}
}

// newRoleLog returns the logger of a role's process. It writes logfmt lines of level info and above.
func newRoleLog(w io.Writer) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, level.AllowInfo())
	return log.With(logger, "ts", log.TimestampFormat(time.Now, "15:04:05.000"), "pid", os.Getpid())
}
