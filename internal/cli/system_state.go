package cli

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/administration/archive"
	"ospreypond/internal/cluster/administration/inspect"
	"ospreypond/internal/cluster/boot"
)

func (s *systemCommands) newStateInspect() *cobra.Command {
	return s.newState("inspect DIR", "Print what the folder of a control process holds", false,
		"Read the folder (dataDir) of a control process that does not run, and print for each shard its term, commit, members,\n"+
			"snapshot and entries; COMMIT is as last written. Nothing is changed. The exit status is 1 if there is damage, which is named by file and offset.")
}

func (s *systemCommands) newStateVerify() *cobra.Command {
	return s.newState("verify DIR", "Check all that the folder of a control process holds", true,
		"Read the folder (dataDir) of a control process that does not run, compare all with its checksums, restore every\n"+
			"snapshot and carry out every entry: HOLDS is what comes of it. Nothing is changed. The exit status is 1 if there is a fault.")
}

func (s *systemCommands) newState(use, short string, verify bool, long string) *cobra.Command {
	made := &connection{system: s}
	c := &cobra.Command{Use: use, Short: short, Long: long, Args: needs("DIR"),
		Example: "  ospreypond state " + strings.Fields(use)[0] + " /tmp/osprey/control-1/data",
		RunE: func(_ *cobra.Command, args []string) error {
			if err := made.checkOutput(); err != nil {
				return err
			}
			folder, err := inspect.Read(args[0], verify)
			if err != nil {
				return err
			}
			if err := made.print(folder, func(w io.Writer) { folderText(w, folder) }); err != nil {
				return err
			}
			if len(folder.Faults) > 0 {
				return errSaid
			}
			return nil
		}}
	made.outputFlag(c)
	return c
}

func folderText(w io.Writer, folder *inspect.Folder) {
	bytes := int64(0)
	for _, file := range folder.Files {
		bytes += file.Bytes
	}
	if folder.Identity == 0 {
		fmt.Fprintf(w, "%s: %d files, %s\n", folder.Dir, len(folder.Files), size(bytes))
	} else {
		fmt.Fprintf(w, "%s: identity %v, %d files, %s\n", folder.Dir, folder.Identity, len(folder.Files), size(bytes))
	}
	if len(folder.Groups) > 0 {
		table(w, folderRows(folder))
	}
	for _, fault := range folder.Faults {
		if fault.File == "" {
			fmt.Fprintf(w, "fault: %s\n", fault.Reason)
			continue
		}
		fmt.Fprintf(w, "fault: %s at offset %d: %s\n", fault.File, fault.Offset, fault.Reason)
	}
	if len(folder.Faults) == 0 {
		fmt.Fprintln(w, "no faults")
	}
}

// folderRows has a column more if the folder was verified.
func folderRows(folder *inspect.Folder) [][]string {
	rows := [][]string{{"SHARD", "TERM", "COMMIT", "SNAPSHOT", "BYTES", "ENTRIES", "FROM", "TO", "MEMBERS"}}
	if folder.Verified {
		rows[0] = append(rows[0], "HOLDS")
	}
	for _, group := range folder.Groups {
		row := []string{
			strconv.Itoa(int(group.Shard)), strconv.FormatUint(group.Term, 10), strconv.FormatUint(group.Commit, 10),
			strconv.FormatUint(group.SnapshotIndex, 10), size(int64(group.SnapshotBytes)), strconv.Itoa(group.Entries),
			strconv.FormatUint(group.First, 10), strconv.FormatUint(group.Last, 10), folderMembers(group.Members),
		}
		if folder.Verified {
			row = append(row, group.Contents)
		}
		rows = append(rows, row)
	}
	return rows
}

func folderMembers(members []inspect.Member) string {
	var names []string
	for _, member := range members {
		name := member.Node
		if name == "" {
			name = member.Address
		}
		if member.Learner {
			name += " (learner)"
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

// backupTimeout is how long a backup may take.
const backupTimeout = time.Minute

func (s *systemCommands) newBackup() *cobra.Command {
	c := &cobra.Command{Use: "backup FILE", Short: "Write the state of a running system to a file", Args: needs("FILE"),
		Long: "Write the state of every shard to a file that is not there yet. It holds all that was acknowledged before the\n" +
			"command began. The shards are read one after the other, each from its owner, the configuration last.",
		Example: "  ospreypond backup monday.backup --control 127.77.0.11:7380"}
	s.connect(c, func(ctx context.Context, made *connection, system administrator, args []string) error {
		if _, err := os.Lstat(args[0]); err == nil {
			return fmt.Errorf("%s is there already", args[0])
		}
		backup, err := system.Backup(ctx)
		if err != nil {
			return err
		}
		backup.MadeMs = time.Now().UnixMilli()
		if err := backup.Write(args[0]); err != nil {
			return err
		}
		return made.print(archiveView(args[0], backup), func(w io.Writer) { archiveText(w, args[0], backup) })
	})
	c.Flags().Lookup("timeout").DefValue = backupTimeout.String()
	_ = c.Flags().Set("timeout", backupTimeout.String())
	return c
}

// archiveReport is what is printed of a backup as JSON.
type archiveReport struct {
	Dir    string        `json:"dir,omitempty"` // that it was restored into
	File   string        `json:"file"`
	Made   time.Time     `json:"made"`
	Shards []shardReport `json:"shards"`
}

// shardReport is one shard of an archiveReport.
type shardReport struct {
	Bytes int    `json:"bytes"`
	Index uint64 `json:"index"`
	Shard uint32 `json:"shard"`
	Term  uint64 `json:"term"`
}

func archiveView(path string, backup *archive.Archive) archiveReport {
	report := archiveReport{File: path, Made: time.UnixMilli(backup.MadeMs).UTC(), Shards: []shardReport{}}
	for _, shard := range backup.Shards {
		report.Shards = append(report.Shards, shardReport{
			Bytes: len(shard.Data), Index: shard.Index, Shard: shard.ID, Term: shard.Term,
		})
	}
	return report
}

func archiveText(w io.Writer, path string, backup *archive.Archive) {
	bytes := int64(0)
	for _, shard := range backup.Shards {
		bytes += int64(len(shard.Data))
	}
	made := time.UnixMilli(backup.MadeMs).UTC().Format(time.RFC3339)
	fmt.Fprintf(w, "%s: %d shards, %s, made %s\n", path, len(backup.Shards), size(bytes), made)
}

func (s *systemCommands) newRestore() *cobra.Command {
	made := &connection{system: s}
	var dir, settingsPath string
	var process archive.Process
	c := &cobra.Command{Use: "restore FILE", Short: "Write a backup into the empty folder of a control process", Args: needs("FILE"),
		Long: "Write a backup into the empty or missing folder of the one control process that the system starts again from. Start\n" +
			"it, with \"bootstrap\" false, then the others with empty folders and its address among their seeds: they join by\n" +
			"themselves. Start frontends and runners anew, too, since they have seen a later state.",
		Example: "  ospreypond restore monday.backup --settings /etc/ospreypond/boot.json\n" +
			"  ospreypond restore monday.backup --dir /data --node control-1 --zone a --address 10.0.0.1:7380\n" +
			"  localcluster --dir /tmp/again --restore monday.backup"}
	c.RunE = func(command *cobra.Command, args []string) error {
		if err := made.checkOutput(); err != nil {
			return err
		}
		if settingsPath != "" {
			if err := takeSettings(settingsPath, &process, &dir); err != nil {
				return err
			}
		}
		switch {
		case dir == "":
			return usageError{fmt.Errorf("--dir is missing, and no --settings name a dataDir")}
		case process.Node == "" || process.Address == "":
			return usageError{fmt.Errorf("--settings, or --node and --address, must tell which process the folder is for")}
		}
		if _, err := netip.ParseAddrPort(process.Address); err != nil {
			return usageError{fmt.Errorf("--address: an ip:port is due, found %q", process.Address)}
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
		return made.print(view, func(w io.Writer) {
			archiveText(w, args[0], backup)
			fmt.Fprintf(w, "restored into %s for %s at %s\n", dir, process.Node, process.Address)
		})
	}
	c.Flags().StringVar(&dir, "dir", "", "the process's dataDir, an empty or missing `folder`")
	c.Flags().StringVar(&settingsPath, "settings", "", "the process's settings `file`")
	c.Flags().StringVar(&process.Node, "node", "", "the process's node `name`")
	c.Flags().StringVar(&process.Zone, "zone", "", "the process's `zone`")
	c.Flags().StringVar(&process.Address, "address", "", "the process's internal `address`, ip:port")
	made.outputFlag(c)
	return c
}

// takeSettings fills in what the flags leave out.
func takeSettings(path string, process *archive.Process, dir *string) error {
	settings, err := boot.Load(path)
	if err != nil {
		return err
	}
	orElse(&process.Node, settings.NodeName)
	orElse(&process.Zone, settings.Zone)
	orElse(&process.Address, settings.InternalAddress())
	orElse(dir, settings.DataDir)
	return nil
}

func orElse(text *string, standard string) {
	if *text == "" {
		*text = standard
	}
}
