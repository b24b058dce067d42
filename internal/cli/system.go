package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/administration/archive"
	"ospreypond/internal/cluster/protocol"
)

// controlVariable holds the addresses of control processes for commands that are not told any.
const controlVariable = "OSPREYPOND_CONTROL"

// standardTimeout is how long a command waits for the system.
const standardTimeout = 5 * time.Second

// Forms of output.
const (
	formText = "text"
	formJSON = "json"
)

// administrator is a running system as the commands see it; administration.Client is one.
type administrator interface {
	ReadConfiguration(ctx context.Context) (version uint64, body []byte, err error)
	Configure(ctx context.Context, kind string, base uint64, body []byte) (version uint64, err error)
	Submit(ctx context.Context, queue, id string, job *protocol.JobSpec) error
	Status(ctx context.Context, id string) (state string, err error)
	Cancel(ctx context.Context, id string) error
	Jobs(ctx context.Context, queue string) ([]administration.Job, error)
	Reports(ctx context.Context) ([]administration.Report, error)
	Digests(ctx context.Context) ([]administration.ShardDigests, error)
	Runners(ctx context.Context) ([]administration.Runner, error)
	Drain(ctx context.Context, node string) (left int, err error)
	Backup(ctx context.Context) (*archive.Archive, error)
	Close()
}

// dialer reaches the system whose control processes stand at the addresses.
type dialer func(addresses []string) (administrator, error)

func dialSystem(addresses []string) (administrator, error) { return administration.Dial(addresses) }

// systemCommands makes the commands that look after the cluster scheduler.
type systemCommands struct {
	std    Streams
	getenv func(string) string
	dial   dialer
}

func newSystem(std Streams, getenv func(string) string, dial dialer) []*cobra.Command {
	s := &systemCommands{std: std, getenv: getenv, dial: dial}
	return []*cobra.Command{
		group("config", "Look after the configuration of the cluster scheduler",
			s.newConfigCheck(), s.newConfigGet(), s.newConfigApply(), s.newConfigDiff()),
		group("jobs", "Hand jobs in, and look after them",
			s.newJobsSubmit(), s.newJobsStatus(), s.newJobsCancel(), s.newJobsList()),
		s.newMembers(), s.newShards(), s.newRunners(), s.newDrain(),
		s.newBackup(), s.newRestore(),
		group("state", "Look at the folder of a control process that does not run", s.newStateInspect(), s.newStateVerify()),
	}
}

// connection is how a command reaches the system, and the form of its output.
type connection struct {
	system  *systemCommands
	control string
	timeout time.Duration
	output  string
}

// connect adds the flags of a command that asks a running system, and its run function.
func (s *systemCommands) connect(c *cobra.Command, run func(ctx context.Context, c *connection, system administrator, args []string) error) *cobra.Command {
	made := s.flags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		return made.within(c, func(ctx context.Context, system administrator) error { return run(ctx, made, system, args) })
	}
	return c
}

// flags adds the flags of a command that asks a running system.
func (s *systemCommands) flags(c *cobra.Command) *connection {
	made := &connection{system: s}
	c.Flags().StringVar(&made.control, "control", "", "internal `addresses` of control processes, host:port,...; else those in "+controlVariable)
	c.Flags().DurationVar(&made.timeout, "timeout", standardTimeout, "how long to wait for the system")
	made.outputFlag(c)
	return made
}

func (c *connection) outputFlag(command *cobra.Command) {
	command.Flags().StringVarP(&c.output, "output", "o", formText, "`form` of the output: text or json")
}

func (c *connection) checkOutput() error {
	if c.output != formText && c.output != formJSON {
		return usageError{fmt.Errorf("--output: %q is neither %s nor %s", c.output, formText, formJSON)}
	}
	return nil
}

// within runs f with the system at hand, until it is done, out of time or interrupted.
func (c *connection) within(command *cobra.Command, f func(ctx context.Context, system administrator) error) error {
	if err := c.checkOutput(); err != nil {
		return err
	}
	if c.timeout <= 0 {
		return usageError{fmt.Errorf("--timeout: %v is not above 0", c.timeout)}
	}
	system, err := c.dial()
	if err != nil {
		return err
	}
	defer system.Close()
	ctx, stop := Interruptible(command.Context())
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return advised(f(ctx, system))
}

func (c *connection) dial() (administrator, error) {
	addresses := c.control
	if addresses == "" {
		addresses = c.system.getenv(controlVariable)
	}
	if addresses == "" {
		return nil, usageError{fmt.Errorf("--control is missing, and %s is not set", controlVariable)}
	}
	system, err := c.system.dial(splitList(addresses))
	if err != nil {
		return nil, usageError{fmt.Errorf("--control: %w", err)}
	}
	return system, nil
}

func splitList(text string) []string {
	var parts []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// advised adds what can be done about a fault of the system to its message.
func advised(err error) error {
	if err == nil || errors.Is(err, errSaid) {
		return err
	}
	if advice := administration.Advice(err); advice != "" {
		return fmt.Errorf("%w\nWhat to do: %s", err, advice)
	}
	return err
}

// needs returns a check that a command is given exactly the named arguments.
func needs(names ...string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) < len(names) {
			return fmt.Errorf("%s is missing", names[len(args)])
		}
		if len(args) > len(names) {
			return fmt.Errorf("%q is one argument too many", args[len(names)])
		}
		return nil
	}
}

// print writes value as JSON, or text by the function.
func (c *connection) print(value any, text func(w io.Writer)) error {
	if c.output == formJSON {
		return printJSON(c.system.std.Out, value)
	}
	text(c.system.std.Out)
	return nil
}

// table writes rows in columns, the first row as heads.
func table(w io.Writer, rows [][]string) {
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(columns, strings.Join(row, "\t"))
	}
	_ = columns.Flush()
}

func milliseconds(count int64) string {
	span := time.Duration(count) * time.Millisecond
	if span >= time.Minute {
		span = span.Round(time.Second)
	}
	return span.String()
}

const bytesPerKB = 1000

func size(bytes int64) string {
	switch {
	case bytes < 10*bytesPerKB:
		return fmt.Sprintf("%d B", bytes)
	case bytes < 10*bytesPerKB*bytesPerKB:
		return fmt.Sprintf("%d kB", bytes/bytesPerKB)
	default:
		return fmt.Sprintf("%d MB", bytes/bytesPerKB/bytesPerKB)
	}
}
