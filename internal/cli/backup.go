package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/administration/archive"
)

// backupTimeout is the default of --timeout for a backup, which reads the state of all shards.
const backupTimeout = time.Minute

func (s *clusterCommands) newBackup() *cobra.Command {
	c := &cobra.Command{Use: "backup FILE", Short: "Write the state of a running system to a file", Args: exactArgs("FILE"),
		Long: "Write the state of every shard to a new file. It includes everything that was acknowledged before the command\n" +
			"started. The shards are read one after the other, each from its owner, the configuration last.",
		Example: "  ospreypond backup monday.backup --control 127.77.0.11:7380"}
	s.onSystem(c, func(ctx context.Context, flags *clusterFlags, system administrator, args []string) error {
		if _, err := os.Lstat(args[0]); err == nil {
			return fmt.Errorf("%s already exists", args[0])
		}
		backup, err := system.Backup(ctx)
		if err != nil {
			return err
		}
		backup.MadeMs = time.Now().UnixMilli()
		if err := backup.Write(args[0]); err != nil {
			return err
		}
		return flags.print(archiveView(args[0], backup), func(w io.Writer) { archiveText(w, args[0], backup) })
	})
	c.Flags().Lookup("timeout").DefValue = backupTimeout.String()
	_ = c.Flags().Set("timeout", backupTimeout.String())
	return c
}

// archiveReport is the JSON output of 'backup' and 'restore'.
type archiveReport struct {
	Dir    string        `json:"dir,omitempty"` // folder into which 'restore' wrote; empty for 'backup'
	File   string        `json:"file"`
	Made   time.Time     `json:"made"`
	Shards []shardReport `json:"shards"`
}

// shardReport describes one shard of an archiveReport.
type shardReport struct {
	Bytes int    `json:"bytes"` // of the shard's state
	Index uint64 `json:"index"` // of the last log entry that the state includes
	Shard uint32 `json:"shard"`
	Term  uint64 `json:"term"` // of the owner that reported the state
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
	writef(w, "%s: %d shards, %s, made %s\n", path, len(backup.Shards), sizeText(bytes), made)
}
