package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/administration/document"
	"ospreypond/internal/cluster/boot"
)

// readInput reads a file, or the standard input for "-".
func (s *systemCommands) readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(s.std.In)
	}
	return os.ReadFile(name)
}

func (s *systemCommands) newConfigCheck() *cobra.Command {
	made := &connection{system: s}
	settings := false
	c := &cobra.Command{Use: "check FILE", Short: "Tell whether a configuration would be taken", Args: needs("FILE"),
		Long: "Read a configuration (- for the standard input) and tell what is wrong with it. With --control it is tried on\n" +
			"the configuration in force, as 'apply' would; without, a whole configuration is checked by itself. A file with\n" +
			"\"upsert\" or \"remove\" is an update, which only a running system can be asked about.",
		Example: "  ospreypond config check routes.json\n" +
			"  ospreypond config check --control 127.77.0.11:7380 change.json\n" +
			"  ospreypond config check --settings /etc/ospreypond/boot.json"}
	c.Flags().StringVar(&made.control, "control", "", "internal `addresses` of control processes, host:port,...")
	c.Flags().DurationVar(&made.timeout, "timeout", standardTimeout, "how long to wait for the system")
	c.Flags().BoolVar(&settings, "settings", false, "the file has the settings of a process")
	made.outputFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		if err := made.checkOutput(); err != nil {
			return err
		}
		body, err := s.readInput(args[0])
		if err != nil {
			return err
		}
		if settings {
			return made.reportCheck(args[0], checkSettings(body))
		}
		if made.control == "" {
			return made.reportCheck(args[0], document.Check(body, nil))
		}
		return made.within(c, func(ctx context.Context, system administrator) error {
			_, present, err := system.ReadConfiguration(ctx)
			if err != nil {
				return err
			}
			return made.reportCheck(args[0], document.Check(body, present))
		})
	}
	return c
}

func checkSettings(body []byte) error {
	_, err := boot.Parse(body)
	return err
}

// checkReport is what a check prints as JSON. The fields of reports are in the order of their keys.
type checkReport struct {
	Fault string `json:"fault,omitempty"`
	File  string `json:"file"`
	Valid bool   `json:"valid"`
}

// applyReport is what a change of the configuration prints as JSON.
type applyReport struct {
	Base    uint64 `json:"base"`
	Kind    string `json:"kind"`
	Version uint64 `json:"version"`
}

// reportCheck says whether a file is good.
func (c *connection) reportCheck(name string, fault error) error {
	if c.output == formJSON {
		report := checkReport{File: name, Valid: fault == nil}
		if fault != nil {
			report.Fault = fault.Error()
		}
		if err := printJSON(c.system.std.Out, report); err != nil {
			return err
		}
		if fault != nil {
			return errSaid
		}
		return nil
	}
	if fault != nil {
		return fmt.Errorf("%s: %w", name, fault)
	}
	_, err := fmt.Fprintf(c.system.std.Out, "%s: good\n", name)
	return err
}

func (s *systemCommands) newConfigGet() *cobra.Command {
	return s.connect(&cobra.Command{Use: "get", Short: "Print the newest configuration", Args: needs(),
		Long: "Print the newest configuration, whole, as JSON. Change it, give it a higher \"version\", and 'apply' it.",
		Example: "  ospreypond config get --control 127.77.0.11:7380 > routes.json\n" +
			"  ospreypond config get -o json | jq .routes"},
		func(ctx context.Context, c *connection, system administrator, _ []string) error {
			_, body, err := system.ReadConfiguration(ctx)
			if err != nil {
				return err
			}
			return printJSON(s.std.Out, json.RawMessage(body))
		})
}

func (s *systemCommands) newConfigApply() *cobra.Command {
	base := int64(-1)
	c := &cobra.Command{Use: "apply FILE", Short: "Put a configuration in force", Args: needs("FILE"),
		Long: "Put a configuration (- for the standard input) in force: a whole one, or an update with \"upsert\" and \"remove\".\n" +
			"Its \"version\" must be above the one in force. It is taken only if the version that it builds on is still in\n" +
			"force: --base, or else the newest. Applying the same file on the same base again is safe.",
		Example: "  ospreypond config apply routes.json --control 127.77.0.11:7380\n" +
			"  ospreypond config apply change.json --base 7"}
	s.connect(c, func(ctx context.Context, made *connection, system administrator, args []string) error {
		if c.Flags().Changed("base") && base < 0 {
			return usageError{fmt.Errorf("--base: %d is no version", base)}
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
		return made.print(report, func(w io.Writer) { fmt.Fprintf(w, "version %d is in force, built on %d\n", version, on) })
	})
	c.Flags().Int64Var(&base, "base", base, "the `version` that the change builds on; else the newest")
	return c
}

func (s *systemCommands) newConfigDiff() *cobra.Command {
	status := false
	c := &cobra.Command{Use: "diff FILE", Short: "Tell what applying a configuration would change", Args: needs("FILE"),
		Long: "Compare the newest configuration with what it would be once a file (- for the standard input) was applied, item\n" +
			"by item: + comes new, - goes, ~ changes.",
		Example: "  ospreypond config diff routes.json --control 127.77.0.11:7380"}
	s.connect(c, func(ctx context.Context, made *connection, system administrator, args []string) error {
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
		if err := made.print(difference, difference.Text); err != nil {
			return err
		}
		if status && len(difference.Changes) > 0 {
			return errSaid
		}
		return nil
	})
	c.Flags().BoolVar(&status, "exit-code", false, "exit with 1 if there is a difference")
	return c
}
