package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/administration/document"
	"ospreypond/internal/cluster/boot"
)

func (s *clusterCommands) newConfigCheck() *cobra.Command {
	flags := &clusterFlags{commands: s}
	settings := false
	c := &cobra.Command{Use: "check FILE", Short: "Check whether a configuration would be accepted", Args: exactArgs("FILE"),
		Long: "Read a configuration (- for standard input) and report what is invalid. With --control it is checked against the\n" +
			"configuration in force, as 'apply' does; without, a complete configuration is checked by itself. A file with\n" +
			"\"upsert\" or \"remove\" is an update, which can only be checked with --control.",
		Example: "  ospreypond config check routes.json\n" +
			"  ospreypond config check --control 127.77.0.11:7380 change.json\n" +
			"  ospreypond config check --settings /etc/ospreypond/boot.json"}
	c.Flags().StringVar(&flags.control, "control", "", "internal `addresses` of control processes, host:port,...")
	c.Flags().DurationVar(&flags.timeout, "timeout", defaultTimeout, "how long to wait for the system")
	c.Flags().BoolVar(&settings, "settings", false, "the file contains the settings of a process")
	flags.outputFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		if err := flags.checkOutput(); err != nil {
			return err
		}
		body, err := s.readInput(args[0])
		if err != nil {
			return err
		}
		if settings {
			return flags.reportCheck(args[0], checkSettings(body))
		}
		if flags.control == "" {
			return flags.reportCheck(args[0], document.Check(body, nil))
		}
		return flags.withSystem(c, func(ctx context.Context, system administrator) error {
			_, present, err := system.ReadConfiguration(ctx)
			if err != nil {
				return err
			}
			return flags.reportCheck(args[0], document.Check(body, present))
		})
	}
	return c
}

func checkSettings(body []byte) error {
	_, err := boot.Parse(body)
	return err
}

// checkReport is the JSON output of 'config check'.
type checkReport struct {
	Fault string `json:"fault,omitempty"`
	File  string `json:"file"`
	Valid bool   `json:"valid"`
}

// applyReport is the JSON output of 'config apply'.
type applyReport struct {
	Base    uint64 `json:"base"` // version on which the change builds
	Kind    string `json:"kind"`
	Version uint64 `json:"version"` // version after the change
}

// reportCheck prints the result of checking a file, and returns an error if fault is not nil.
func (f *clusterFlags) reportCheck(name string, fault error) error {
	if f.output == formJSON {
		report := checkReport{File: name, Valid: fault == nil}
		if fault != nil {
			report.Fault = fault.Error()
		}
		if err := printJSON(f.commands.std.Out, report); err != nil {
			return err
		}
		if fault != nil {
			return errReported
		}
		return nil
	}
	if fault != nil {
		return fmt.Errorf("%s: %w", name, fault)
	}
	_, err := fmt.Fprintf(f.commands.std.Out, "%s: good\n", name)
	return err
}

func (s *clusterCommands) newConfigGet() *cobra.Command {
	return s.onSystem(&cobra.Command{Use: "get", Short: "Print the newest configuration", Args: exactArgs(),
		Long: "Print the complete newest configuration as JSON. To change it: edit it, raise its \"version\", and 'apply' it.",
		Example: "  ospreypond config get --control 127.77.0.11:7380 > routes.json\n" +
			"  ospreypond config get -o json | jq .routes"},
		func(ctx context.Context, flags *clusterFlags, system administrator, _ []string) error {
			_, body, err := system.ReadConfiguration(ctx)
			if err != nil {
				return err
			}
			return printJSON(s.std.Out, json.RawMessage(body))
		})
}

func (s *clusterCommands) newConfigApply() *cobra.Command {
	base := int64(-1)
	c := &cobra.Command{Use: "apply FILE", Short: "Change the configuration", Args: exactArgs("FILE"),
		Long: "Apply a configuration (- for standard input): a complete one, or an update with \"upsert\" and \"remove\". Its\n" +
			"\"version\" must be above the one in force. It is accepted only if the version that it builds on is still in force:\n" +
			"--base, or by default the newest. Applying the same file on the same base again is safe.",
		Example: "  ospreypond config apply routes.json --control 127.77.0.11:7380\n" +
			"  ospreypond config apply change.json --base 7"}
	s.onSystem(c, func(ctx context.Context, flags *clusterFlags, system administrator, args []string) error {
		if c.Flags().Changed("base") && base < 0 {
			return usageError{fmt.Errorf("--base: %d is not a version", base)}
		}
		body, err := s.readInput(args[0])
		if err != nil {
			return err
		}
		kind, err := document.KindOf(body)
		if err != nil {
			return fmt.Errorf("%s: %w", args[0], err)
		}
		on := uint64(max(base, 0))
		if base < 0 {
			if on, _, err = system.ReadConfiguration(ctx); err != nil {
				return err
			}
		}
		version, err := system.Configure(ctx, kind, on, body)
		if err != nil {
			return err
		}
		report := applyReport{Base: on, Kind: kind, Version: version}
		return flags.print(report, func(w io.Writer) { writef(w, "version %d is in force, built on %d\n", version, on) })
	})
	c.Flags().Int64Var(&base, "base", base, "the `version` that the change builds on; default: the newest")
	return c
}

func (s *clusterCommands) newConfigDiff() *cobra.Command {
	exitCode := false
	c := &cobra.Command{Use: "diff FILE", Short: "Show what applying a configuration would change", Args: exactArgs("FILE"),
		Long: "Compare the newest configuration, item by item, with what it would be after applying a file (- for standard input):\n" +
			"+ is added, - is removed, ~ is changed.",
		Example: "  ospreypond config diff routes.json --control 127.77.0.11:7380"}
	s.onSystem(c, func(ctx context.Context, flags *clusterFlags, system administrator, args []string) error {
		body, err := s.readInput(args[0])
		if err != nil {
			return err
		}
		_, present, err := system.ReadConfiguration(ctx)
		if err != nil {
			return err
		}
		difference, err := document.Compare(present, body)
		if err != nil {
			return fmt.Errorf("%s: %w", args[0], err)
		}
		if err := flags.print(difference, difference.Text); err != nil {
			return err
		}
		if exitCode && len(difference.Changes) > 0 {
			return errReported
		}
		return nil
	})
	c.Flags().BoolVar(&exitCode, "exit-code", false, "exit with 1 if there is a difference")
	return c
}
