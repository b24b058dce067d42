// Package cli is the command line of the program ospreypond: its commands, flags, help texts, exit statuses and output
// formats. Main runs one command line. Other programs of this module use Execute to handle errors in the same way.
//
// Operators' scripts rely on the flags, exit statuses, JSON keys and table columns, so these must not change.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

// Version is the release of the program, as the command version prints it.
const Version = "0.12.0"

// Exit statuses.
const (
	exitOK      = 0
	exitFailure = 1 // the command failed or found faults
	exitUsage   = 2 // the command line is invalid; the command had no effect
)

// Streams are the standard streams of a command. All must be set.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// usageError marks an error in the command line. The exit status is then exitUsage.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// UsageError marks err as an error in the command line, so that Execute returns exit status 2 and points to the help.
func UsageError(err error) error { return usageError{err} }

// Main runs the command line args, which don't include the program's name, and returns the exit status. Errors are written
// to std.Err. getenv is os.Getenv or a test's replacement.
func Main(args []string, std Streams, getenv func(string) string) int {
	return mainWith(args, std, getenv, dialSystem)
}

// mainWith is Main with a replaceable connection to a running system.
func mainWith(args []string, std Streams, getenv func(string) string, dial dialer) int {
	return Execute(newRoot(std, getenv, dial), args, std)
}

// Execute runs the command that args select, root or one of its subcommands, and returns the exit status. It writes errors
// to std.Err; an error in the command line is followed by a pointer to the command's help.
func Execute(root *cobra.Command, args []string, std Streams) int {
	root.SilenceErrors, root.SilenceUsage = true, true
	root.SetIn(std.In)
	root.SetOut(std.Out)
	root.SetErr(std.Err)
	root.SetArgs(args)
	for _, c := range withSubcommands(root) {
		markUsageErrors(c)
	}
	cmd, err := root.ExecuteContextC(context.Background())
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		writef(std.Err, "%s: %v\nSee '%s --help'.\n", cmd.CommandPath(), err, cmd.CommandPath())
		return exitUsage
	case errors.Is(err, errReported):
	default:
		writef(std.Err, "%s: %v\n", cmd.CommandPath(), err)
	}
	return exitFailure
}

// errReported ends a command with exitFailure and without a further message: the command has already printed the error.
var errReported = errors.New("failed")

func newRoot(std Streams, getenv func(string) string, dial dialer) *cobra.Command {
	serve := newServe(std, getenv)
	root := &cobra.Command{
		Use:   "ospreypond",
		Short: "A cluster scheduler for jobs, and a dispatcher of requests",
		Long: "ospreypond is a cluster scheduler for jobs, and a dispatcher of requests: it has runners do them, each with exactly\n" +
			"one final answer. 'localcluster --dir DIR' runs a small scheduler on this machine. Without a command it serves as\n" +
			"a dispatcher.",
		RunE: serve.RunE,
		Args: cobra.NoArgs,
	}
	root.AddCommand(serve, newStore(std), newTraffic(std), newVersion(std))
	root.AddCommand(newRoles(std, getenv)...)
	root.AddCommand(newClusterCommands(std, getenv, dial)...)
	root.CompletionOptions.SetDefaultShellCompDirective(cobra.ShellCompDirectiveDefault)
	return root
}

// markUsageErrors turns errors that parsing c's flags and checking its arguments return into usage errors.
func markUsageErrors(c *cobra.Command) {
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	check := c.Args
	if check == nil {
		return
	}
	c.Args = func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}

// withSubcommands returns c and its subcommands at all levels.
func withSubcommands(c *cobra.Command) []*cobra.Command {
	commands := []*cobra.Command{c}
	for _, sub := range c.Commands() {
		commands = append(commands, withSubcommands(sub)...)
	}
	return commands
}

// commandGroup returns a command that only holds subcommands. Calling it without one is a usage error.
func commandGroup(use, short string, subs ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return errors.New("a command is missing")
		}
		return fmt.Errorf("unknown command %q", args[0])
	}, RunE: func(*cobra.Command, []string) error { return nil }}
	c.AddCommand(subs...)
	return c
}

func newVersion(std Streams) *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the release", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			goVersion := ""
			if info, ok := debug.ReadBuildInfo(); ok {
				goVersion = ", " + info.GoVersion
			}
			_, err := fmt.Fprintf(std.Out, "ospreypond %s%s\n", Version, goVersion)
			return err
		}}
}

// newLog returns the logger of the dispatcher and of the store commands.
func newLog(w io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return log
}

// Interruptible returns a context that ends when the process receives SIGINT or SIGTERM, for commands that stop gracefully.
// The caller must call the returned function, which restores the default handling of the two signals.
func Interruptible(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}
