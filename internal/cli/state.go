package cli

import (
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/administration/inspect"
)

func (s *clusterCommands) newStateInspect() *cobra.Command {
	return s.newState("inspect DIR", "Print what the folder of a control process contains", false,
		"Read the folder (dataDir) of a stopped control process, and print for each shard its term, commit index as last written,\n"+
			"snapshot, entries and members. Nothing is changed. The exit status is 1 if there is damage, which is reported by file\n"+
			"and offset.")
}

func (s *clusterCommands) newStateVerify() *cobra.Command {
	return s.newState("verify DIR", "Check everything that the folder of a control process contains", true,
		"Read the folder (dataDir) of a stopped control process, verify all checksums, restore every snapshot and apply every\n"+
			"entry: CONTENTS is the resulting state. Nothing is changed. The exit status is 1 if there is a fault.")
}

func (s *clusterCommands) newState(use, short string, verify bool, long string) *cobra.Command {
	flags := &clusterFlags{commands: s}
	c := &cobra.Command{Use: use, Short: short, Long: long, Args: exactArgs("DIR"),
		Example: "  ospreypond state " + strings.Fields(use)[0] + " /tmp/osprey/control-1/data",
		RunE: func(_ *cobra.Command, args []string) error {
			if err := flags.checkOutput(); err != nil {
				return err
			}
			folder, err := inspect.Read(args[0], verify)
			if err != nil {
				return err
			}
			if err := flags.print(folder, func(w io.Writer) { folderText(w, folder) }); err != nil {
				return err
			}
			if len(folder.Faults) > 0 {
				return errReported
			}
			return nil
		}}
	flags.outputFlag(c)
	return c
}

func folderText(w io.Writer, folder *inspect.Folder) {
	bytes := int64(0)
	for _, file := range folder.Files {
		bytes += file.Bytes
	}
	if folder.Identity == 0 {
		writef(w, "%s: %d files, %s\n", folder.Dir, len(folder.Files), sizeText(bytes))
	} else {
		writef(w, "%s: identity %v, %d files, %s\n", folder.Dir, folder.Identity, len(folder.Files), sizeText(bytes))
	}
	if len(folder.Groups) > 0 {
		printTable(w, folderRows(folder))
	}
	for _, fault := range folder.Faults {
		if fault.File == "" {
			writef(w, "fault: %s\n", fault.Reason)
			continue
		}
		writef(w, "fault: %s at offset %d: %s\n", fault.File, fault.Offset, fault.Reason)
	}
	if len(folder.Faults) == 0 {
		writef(w, "no faults\n")
	}
}

// folderRows returns the table of replica groups. If the folder was verified, it has the further column CONTENTS.
func folderRows(folder *inspect.Folder) [][]string {
	rows := [][]string{{"SHARD", "TERM", "COMMIT", "SNAPSHOT", "BYTES", "ENTRIES", "FROM", "TO", "MEMBERS"}}
	if folder.Verified {
		rows[0] = append(rows[0], "CONTENTS")
	}
	for _, group := range folder.Groups {
		row := []string{
			strconv.Itoa(int(group.Shard)), strconv.FormatUint(group.Term, 10), strconv.FormatUint(group.Commit, 10),
			strconv.FormatUint(group.SnapshotIndex, 10), sizeText(int64(group.SnapshotBytes)), strconv.Itoa(group.Entries),
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
		names = append(names, memberText(member.Node, member.Address, member.Learner))
	}
	return strings.Join(names, ", ")
}
