package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/protocol"
)

func (s *clusterCommands) newShards() *cobra.Command {
	counters, digests := false, false
	c := &cobra.Command{Use: "shards", Short: "List the shards: owner, term, and the progress of each member", Args: exactArgs(),
		Long: "List the shards: 0 has the configuration, the others have jobs. Shown are the owner, the term, the commit index, the\n" +
			"sizes of the state and of the log after the newest snapshot, and for each member the entry that it has applied and\n" +
			"how many it lacks.\n" +
			"With --counters: counts of jobs and runs since the shard exists, and of the owner's decisions since its process\n" +
			"started. With --digests: the digest of each member's state as of one index; equal states have equal digests.\n" +
			"The exit status is 1 if a shard has no owner, or digests differ.",
		Example: "  ospreypond shards --control 127.77.0.11:7380\n" +
			"  ospreypond shards --counters\n" +
			"  ospreypond shards --digests\n" +
			"  ospreypond shards -o json | jq '.[] | {shard, owner, term}'"}
	s.onSystem(c, func(ctx context.Context, flags *clusterFlags, system administrator, _ []string) error {
		if digests {
			return printDigests(ctx, flags, system)
		}
		reports, err := system.Reports(ctx)
		if err != nil {
			return err
		}
		shards := administration.Shards(reports)
		rows := shardRows(shards)
		if counters {
			rows = counterRows(shards)
		}
		if err := flags.print(shards, func(w io.Writer) { printTable(w, rows) }); err != nil {
			return err
		}
		return faultsError(ownerFaults(shards))
	})
	c.Flags().BoolVar(&counters, "counters", false, "show counts of jobs, runs and decisions")
	c.Flags().BoolVar(&digests, "digests", false, "compare the members' states by digest")
	return c
}

// printDigests prints the digests of the members' states, and returns an error if two members of a shard differ.
func printDigests(ctx context.Context, flags *clusterFlags, system administrator) error {
	all, err := system.Digests(ctx)
	if err != nil {
		return err
	}
	rows := [][]string{{"SHARD", "INDEX", "EQUAL", "MEMBERS (DIGEST)"}}
	var faults []string
	for i := range all {
		shard := &all[i]
		equal := "yes"
		if shard.Differ() {
			equal = "NO"
			faults = append(faults, fmt.Sprintf("the members' states of shard %d differ at entry %d", shard.Shard, shard.Index))
		}
		rows = append(rows, []string{shardName(shard.Shard), strconv.FormatUint(shard.Index, 10), equal, digestTexts(shard.Members)})
	}
	if err := flags.print(all, func(w io.Writer) { printTable(w, rows) }); err != nil {
		return err
	}
	return faultsError(faults)
}

func digestTexts(members []administration.MemberDigest) string {
	texts := make([]string, 0, len(members))
	for _, member := range members {
		digest := member.Digest
		if digest == "" {
			digest = "none at that entry"
		}
		texts = append(texts, member.Node+" "+digest)
	}
	return strings.Join(texts, "; ")
}

// ownerFaults returns a fault for each shard without an owner that answers.
func ownerFaults(shards []administration.ShardView) []string {
	var faults []string
	for _, shard := range shards {
		if shard.Owner == "" {
			faults = append(faults, fmt.Sprintf("shard %d has no owner that answers", shard.Shard))
		}
	}
	return faults
}

// counterRows returns the table of --counters. It omits shards without counters, such as the configuration shard.
func counterRows(shards []administration.ShardView) [][]string {
	rows := [][]string{{"SHARD", "TAKEN", "COMPLETED", "FAILED", "CANCELLED", "STARTED", "LOST", "ROUNDS", "STOPS", "REFUSED",
		"STALE", "PREEMPTED", "STALLED", "CANCELS REFUSED"}}
	for _, shard := range shards {
		if shard.Counters == nil {
			continue
		}
		row := []string{shardName(shard.Shard)}
		c := shard.Counters
		for _, count := range []uint64{c.Taken, c.Completed, c.Failed, c.Cancelled, c.Started, c.Lost, c.Rounds, c.Stops, c.Refused,
			c.Stale, c.Preempted, c.Stalled, c.WithdrawalsRefused} {
			row = append(row, strconv.FormatUint(count, 10))
		}
		rows = append(rows, row)
	}
	return rows
}

func shardRows(shards []administration.ShardView) [][]string {
	rows := [][]string{{"SHARD", "OWNER", "TERM", "COMMIT", "STATE", "LOG", "CONTENTS", "MEMBERS (APPLIED, LACKING)"}}
	for _, shard := range shards {
		owner := shard.Owner
		if owner == "" {
			owner = "none"
		}
		rows = append(rows, []string{
			shardName(shard.Shard), owner, strconv.FormatUint(shard.Term, 10), strconv.FormatUint(shard.Commit, 10),
			sizeText(int64(shard.StateBytes)), sizeText(shard.LogBytes), stateText(&shard), memberTexts(shard.Members),
		})
	}
	return rows
}

func shardName(shard protocol.ShardID) string {
	if shard == protocol.ConfigurationShard {
		return "0 (configuration)"
	}
	return strconv.Itoa(int(shard))
}

// stateText summarizes the contents of a shard's state as its owner reports them; "-" without an owner.
func stateText(shard *administration.ShardView) string {
	switch {
	case shard.Owner == "":
		return "-"
	case shard.Shard == protocol.ConfigurationShard:
		return fmt.Sprintf("version %d", shard.ConfigurationVersion)
	default:
		return fmt.Sprintf("%d jobs, %d pending, %d running", shard.Jobs.Jobs, shard.Jobs.Held, shard.Jobs.Running)
	}
}

// memberTexts lists the members of a shard, each with the index of its last applied entry and the number of entries that
// it lacks.
func memberTexts(members []administration.ShardMember) string {
	texts := make([]string, 0, len(members))
	for _, m := range members {
		name := memberText(m.Node, m.Address, m.Learner)
		if m.Change != "" {
			name += " (" + m.Change + ")"
		}
		if !m.Answers {
			texts = append(texts, name+" unresponsive")
			continue
		}
		texts = append(texts, fmt.Sprintf("%s %d, %d", name, m.Applied, m.Lag))
	}
	return strings.Join(texts, "; ")
}
