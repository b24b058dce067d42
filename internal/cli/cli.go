// Package cli is the program's command line: commands, flags, help, exit codes and output forms.
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

// Version is the release.
const Version = "0.12.0"

// Exit statuses.
const (
	ok         = 0
	failure    = 1 // the command could not do what it was asked, or found something wrong
	usageFault = 2 // it was asked in a way that it does not understand
)

// Streams are what a command reads and writes.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// usageError is a fault of the command line itself.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// UsageFault marks a fault of the command line itself, which ends with an exit code of its own.
func UsageFault(err error) error { return usageError{err} }

// Main runs a command line, without the program's name, and returns the exit status. Errors go to Err.
func Main(args []string, std Streams, getenv func(string) string) int {
	return mainWith(args, std, getenv, dialSystem)
}

// mainWith is Main with another way to reach a running system.
func mainWith(args []string, std Streams, getenv func(string) string, dial dialer) int {
	return Execute(newRoot(std, getenv, dial), args, std)
}

// Execute runs the command that the arguments name, root or one below it, and returns the process' exit code. Faults of
// the command line and failures are told on std.Err.
func Execute(root *cobra.Command, args []string, std Streams) int {
	root.SilenceErrors, root.SilenceUsage = true, true
	root.SetIn(std.In)
	root.SetOut(std.Out)
	root.SetErr(std.Err)
	root.SetArgs(args)
	for _, c := range all(root) {
		tellUsageFaults(c)
	}
	cmd, err := root.ExecuteContextC(context.Background())
	var usage usageError
	switch {
	case err == nil:
		return ok
	case errors.As(err, &usage):
		fmt.Fprintf(std.Err, "%s: %v\nSee '%s --help'.\n", cmd.CommandPath(), err, cmd.CommandPath())
		return usageFault
	case errors.Is(err, errSaid):
	default:
		fmt.Fprintf(std.Err, "%s: %v\n", cmd.CommandPath(), err)
	}
	return failure
}

// errSaid ends a command with a failure that it has told already.
var errSaid = errors.New("failed")

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
	root.AddCommand(newSystem(std, getenv, dial)...)
	root.CompletionOptions.SetDefaultShellCompDirective(cobra.ShellCompDirectiveDefault)
	return root
}

// tellUsageFaults has the faults of c's own flags and arguments counted as faults of the command line.
func tellUsageFaults(c *cobra.Command) {
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

func all(c *cobra.Command) []*cobra.Command {
	cs := []*cobra.Command{c}
	for _, sub := range c.Commands() {
		cs = append(cs, all(sub)...)
	}
	return cs
}

// group is a command that only has commands under it.
func group(use, short string, subs ...*cobra.Command) *cobra.Command {
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
			goes := ""
			if info, ok := debug.ReadBuildInfo(); ok {
				goes = ", " + info.GoVersion
			}
			_, err := fmt.Fprintf(std.Out, "ospreypond %s%s\n", Version, goes)
			return err
		}}
}

func newLog(w io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return log
}

// Interruptible returns a context that SIGINT and SIGTERM end, for commands that end in order when they are asked to.
func Interruptible(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}
