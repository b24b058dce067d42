package cli

import (
	"fmt"
	"io"
	"net/netip"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/administration/archive"
	"ospreypond/internal/cluster/boot"
)

func (s *clusterCommands) newRestore() *cobra.Command {
	flags := &clusterFlags{commands: s}
	var dir, settingsPath string
	var process archive.Process
	c := &cobra.Command{Use: "restore FILE", Short: "Write a backup into the empty folder of a control process", Args: exactArgs("FILE"),
		Long: "Write a backup into the empty or missing folder of the one control process from which the system starts again. Start\n" +
			"that process with \"bootstrap\" false, then the others with empty folders and its address among their seeds: they join\n" +
			"by themselves. Restart frontends and runners as well, because they have seen a later state.",
		Example: "  ospreypond restore monday.backup --settings /etc/ospreypond/boot.json\n" +
			"  ospreypond restore monday.backup --dir /data --node control-1 --zone a --address 10.0.0.1:7380\n" +
			"  localcluster --dir /tmp/again --restore monday.backup"}
	c.RunE = func(command *cobra.Command, args []string) error {
		if err := flags.checkOutput(); err != nil {
			return err
		}
		if settingsPath != "" {
			if err := applySettings(settingsPath, &process, &dir); err != nil {
				return err
			}
		}
		switch {
		case dir == "":
			return usageError{fmt.Errorf("--dir is missing, and no --settings name a dataDir")}
		case process.Node == "" || process.Address == "":
			return usageError{fmt.Errorf("--settings, or --node and --address, must say which process the folder is for")}
		}
		if _, err := netip.ParseAddrPort(process.Address); err != nil {
			return usageError{fmt.Errorf("--address: %q is not an ip:port", process.Address)}
		}
		backup, err := archive.Read(args[0])
		if err != nil {
			return err
		}
		if err := backup.Restore(dir, process); err != nil {
			return err
		}
		view := archiveView(args[0], backup)
		view.Dir = dir
		return flags.print(view, func(w io.Writer) {
			archiveText(w, args[0], backup)
			writef(w, "restored into %s for %s at %s\n", dir, process.Node, process.Address)
		})
	}
	c.Flags().StringVar(&dir, "dir", "", "the process's dataDir, an empty or missing `folder`")
	c.Flags().StringVar(&settingsPath, "settings", "", "the process's settings `file`")
	c.Flags().StringVar(&process.Node, "node", "", "the process's node `name`")
	c.Flags().StringVar(&process.Zone, "zone", "", "the process's `zone`")
	c.Flags().StringVar(&process.Address, "address", "", "the process's internal `address`, ip:port")
	flags.outputFlag(c)
	return c
}

// applySettings reads a settings file and sets the values that no flag has set.
func applySettings(path string, process *archive.Process, dir *string) error {
	settings, err := boot.Load(path)
	if err != nil {
		return err
	}
	setDefault(&process.Node, settings.NodeName)
	setDefault(&process.Zone, settings.Zone)
	setDefault(&process.Address, settings.InternalAddress())
	setDefault(dir, settings.DataDir)
	return nil
}

// setDefault sets *text to value if it is empty.
func setDefault(text *string, value string) {
	if *text == "" {
		*text = value
	}
}
