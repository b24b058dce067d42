package cli

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/administration"
)

// controlVariable is the environment variable with the addresses of control processes that applies without --control.
const controlVariable = "OSPREYPOND_CONTROL"

// defaultTimeout is the default of --timeout, for all commands but 'backup'.
const defaultTimeout = 5 * time.Second

// Values of --output.
const (
	formText = "text"
	formJSON = "json"
)

// clusterFlags are the flags of one command: how it connects to the system, and the format of its output.
type clusterFlags struct {
	commands *clusterCommands
	control  string        // internal addresses of control processes, separated by commas
	timeout  time.Duration // for the whole command
	output   string        // formText or formJSON
}

// onSystem adds the flags to a command that needs a running system, and has it connect to the system and call run.
func (s *clusterCommands) onSystem(c *cobra.Command, run func(ctx context.Context, flags *clusterFlags, system administrator, args []string) error) *cobra.Command {
	flags := s.addFlags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		return flags.withSystem(c, func(ctx context.Context, system administrator) error { return run(ctx, flags, system, args) })
	}
	return c
}

// addFlags adds --control, --timeout and --output to a command that needs a running system.
func (s *clusterCommands) addFlags(c *cobra.Command) *clusterFlags {
	flags := &clusterFlags{commands: s}
	c.Flags().StringVar(&flags.control, "control", "", "internal `addresses` of control processes, host:port,...; default: those in "+controlVariable)
	c.Flags().DurationVar(&flags.timeout, "timeout", defaultTimeout, "how long to wait for the system")
	flags.outputFlag(c)
	return flags
}

// outputFlag adds --output.
func (f *clusterFlags) outputFlag(command *cobra.Command) {
	command.Flags().StringVarP(&f.output, "output", "o", formText, "`form` of the output: text or json")
}

// checkOutput returns a usage error unless --output is text or json.
func (f *clusterFlags) checkOutput() error {
	if f.output != formText && f.output != formJSON {
		return usageError{fmt.Errorf("--output: %q is neither %s nor %s", f.output, formText, formJSON)}
	}
	return nil
}

// withSystem connects to the system and calls run with a context that ends at the timeout or at SIGINT or SIGTERM.
func (f *clusterFlags) withSystem(command *cobra.Command, run func(ctx context.Context, system administrator) error) error {
	if err := f.checkOutput(); err != nil {
		return err
	}
	if f.timeout <= 0 {
		return usageError{fmt.Errorf("--timeout: %v is not above 0", f.timeout)}
	}
	system, err := f.dial()
	if err != nil {
		return err
	}
	defer system.Close()
	ctx, stop := Interruptible(command.Context())
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	return withAdvice(run(ctx, system))
}

// dial connects to the system at the addresses of --control or, without that flag, of the environment variable.
func (f *clusterFlags) dial() (administrator, error) {
	addresses := f.control
	if addresses == "" {
		addresses = f.commands.getenv(controlVariable)
	}
	if addresses == "" {
		return nil, usageError{fmt.Errorf("--control is missing, and %s is not set", controlVariable)}
	}
	system, err := f.commands.dial(splitList(addresses))
	if err != nil {
		return nil, usageError{fmt.Errorf("--control: %w", err)}
	}
	return system, nil
}

// splitList splits text at commas, trims spaces and drops empty parts.
func splitList(text string) []string {
	var parts []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// withAdvice adds advice for the operator to an error of the system, if there is any for its kind.
func withAdvice(err error) error {
	if err == nil || errors.Is(err, errReported) {
		return err
	}
	if advice := administration.Advice(err); advice != "" {
		return fmt.Errorf("%w\nWhat to do: %s", err, advice)
	}
	return err
}
