package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/protocol"
)

func (s *systemCommands) newMembers() *cobra.Command {
	return s.connect(&cobra.Command{Use: "members", Short: "List the control processes and how they stand", Args: needs(),
		Long: "List the control processes: those that answer, and those that are members of a shard and do not. LEADS counts the\n" +
			"shards that a process owns; ROLE is voter, learner (it catches up) or none (not a member yet).\n" +
			"The exit status is 1 if a voter does not answer or a disk is sick.",
		Example: "  ospreypond members --control 127.77.0.11:7380,127.77.0.12:7380"},
		func(ctx context.Context, c *connection, system administrator, _ []string) error {
			reports, err := system.Reports(ctx)
			if err != nil {
				return err
			}
			members := administration.Members(reports)
			if err := c.print(members, func(w io.Writer) { table(w, memberRows(members)) }); err != nil {
				return err
			}
			var faults []string
			for _, member := range members {
				if member.Unhealthy() {
					faults = append(faults, fmt.Sprintf("%s at %s is %s", member.Node, member.Address, member.State()))
				}
			}
			return foundFaults(faults)
		})
}

func memberRows(members []administration.MemberView) [][]string {
	rows := [][]string{{"NODE", "ZONE", "ADDRESS", "ID", "ROLE", "STATE", "LEADS", "UP", "DISK", "MEMORY"}}
	for _, m := range members {
		up, disk, memory := "-", "-", "-"
		if m.Answers {
			up, disk, memory = milliseconds(m.UptimeMs), size(m.LogBytes), size(int64(m.MemoryBytes))
		}
		if m.DiskUnhealthy {
			disk = "sick"
		}
		rows = append(rows, []string{m.Node, m.Zone, m.Address, m.ID.String(), m.Role, m.State(), strconv.Itoa(m.Leads), up, disk, memory})
	}
	return rows
}

func (s *systemCommands) newShards() *cobra.Command {
	counters, digests := false, false
	c := &cobra.Command{Use: "shards", Short: "List the shards: owner, term, and how far each member is", Args: needs(),
		Long: "List the shards: 0 holds the configuration, the others jobs. For each its owner, term, commit index, the size of its\n" +
			"state and of its log after the newest snapshot; and each member with the entries that it lacks.\n" +
			"With --counters, what became of jobs and runs since the shard began, and what the owner decided since its process\n" +
			"started. With --digests, what each member's state comes to as of one index: equal states have equal digests.\n" +
			"The exit status is 1 if a shard has no owner, or digests differ.",
		Example: "  ospreypond shards --control 127.77.0.11:7380\n" +
			"  ospreypond shards --counters\n" +
			"  ospreypond shards --digests\n" +
			"  ospreypond shards -o json | jq '.[] | {shard, owner, term}'"}
	s.connect(c, func(ctx context.Context, made *connection, system administrator, _ []string) error {
		if digests {
			return printDigests(ctx, made, system)
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
		if err := made.print(shards, func(w io.Writer) { table(w, rows) }); err != nil {
			return err
		}
		return foundFaults(ownerless(shards))
	})
	c.Flags().BoolVar(&counters, "counters", false, "what became of jobs and runs, and what was decided")
	c.Flags().BoolVar(&digests, "digests", false, "compare the members' states by their digests")
	return c
}

// printDigests compares the members' states.
func printDigests(ctx context.Context, made *connection, system administrator) error {
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
	if err := made.print(all, func(w io.Writer) { table(w, rows) }); err != nil {
		return err
	}
	return foundFaults(faults)
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

func ownerless(shards []administration.ShardView) []string {
	var faults []string
	for _, shard := range shards {
		if shard.Owner == "" {
			faults = append(faults, fmt.Sprintf("shard %d has no owner that answers", shard.Shard))
		}
	}
	return faults
}

func counterRows(shards []administration.ShardView) [][]string {
	rows := [][]string{{"SHARD", "TAKEN", "COMPLETED", "FAILED", "CANCELLED", "STARTED", "LOST", "ROUNDS", "STOPS", "REFUSED",
		"STALE", "PREEMPTED", "STALLED"}}
	for _, shard := range shards {
		if shard.Counters == nil {
			continue
		}
		row := []string{shardName(shard.Shard)}
		c := shard.Counters
		for _, count := range []uint64{c.Taken, c.Completed, c.Failed, c.Cancelled, c.Started, c.Lost, c.Rounds, c.Stops, c.Refused,
			c.Stale, c.Preempted, c.Stalled} {
			row = append(row, strconv.FormatUint(count, 10))
		}
		rows = append(rows, row)
	}
	return rows
}

// foundFaults is the error of a command that has found something wrong.
func foundFaults(faults []string) error {
	if len(faults) == 0 {
		return nil
	}
	return errors.New(strings.Join(faults, "; "))
}

func shardRows(shards []administration.ShardView) [][]string {
	rows := [][]string{{"SHARD", "OWNER", "TERM", "COMMIT", "STATE", "LOG", "HOLDS", "MEMBERS (APPLIED, LACKING)"}}
	for _, shard := range shards {
		owner := shard.Owner
		if owner == "" {
			owner = "none"
		}
		rows = append(rows, []string{
			shardName(shard.Shard), owner, strconv.FormatUint(shard.Term, 10), strconv.FormatUint(shard.Commit, 10),
			size(int64(shard.StateBytes)), size(shard.LogBytes), holding(&shard), memberTexts(shard.Members),
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

func holding(shard *administration.ShardView) string {
	switch {
	case shard.Owner == "":
		return "-"
	case shard.Shard == protocol.ConfigurationShard:
		return fmt.Sprintf("version %d", shard.ConfigurationVersion)
	default:
		return fmt.Sprintf("%d jobs, %d held, %d running", shard.Jobs.Jobs, shard.Jobs.Held, shard.Jobs.Running)
	}
}

func memberTexts(members []administration.ShardMember) string {
	texts := make([]string, 0, len(members))
	for _, m := range members {
		name := m.Node
		if name == "" {
			name = m.Address
		}
		if m.Learner {
			name += " (learner)"
		}
		if !m.Answers {
			texts = append(texts, name+" silent")
			continue
		}
		texts = append(texts, fmt.Sprintf("%s %d, %d", name, m.Applied, m.Lacking))
	}
	return strings.Join(texts, "; ")
}

func (s *systemCommands) newRunners() *cobra.Command {
	return s.connect(&cobra.Command{Use: "runners", Short: "List the runners: state, capacity, what is free, distrust, holds", Args: needs(),
		Long: "List the runners as the owners of their shards know them. Amounts are cores, MB of memory and accelerators, free of\n" +
			"all. DISTRUST is 0 for a runner that fails nothing, up to 1 for one that fails all it starts; HOLD is how long what\n" +
			"runs there may go on without another heartbeat.",
		Example: "  ospreypond runners --control 127.77.0.11:7380"},
		func(ctx context.Context, c *connection, system administrator, _ []string) error {
			runners, err := system.Runners(ctx)
			if err != nil {
				return err
			}
			return c.print(administration.RunnerViews(runners), func(w io.Writer) { table(w, runnerRows(runners)) })
		})
}

const milli = 1000

func runnerRows(runners []administration.Runner) [][]string {
	rows := [][]string{{"INSTANCE", "SERVICE", "ZONE", "STATE", "CORES", "MEMORY MB", "GPU", "RUNS", "STOPS", "DISTRUST", "SILENT", "HOLD", "LABELS"}}
	for _, r := range runners {
		rows = append(rows, []string{
			r.Instance, r.Service, r.Zone, r.State,
			fmt.Sprintf("%.1f/%.1f", float64(r.Free.CPU)/milli, float64(r.Capacity.CPU)/milli),
			fmt.Sprintf("%d/%d", r.Free.MemoryMB, r.Capacity.MemoryMB),
			fmt.Sprintf("%d/%d", r.Free.GPU, r.Capacity.GPU),
			strconv.Itoa(r.Runs), strconv.Itoa(r.Stops), fmt.Sprintf("%.2f", r.Distrust),
			milliseconds(r.SilentMs), milliseconds(r.HoldMs), strings.Join(r.Labels, ","),
		})
	}
	return rows
}

// drainReport is what a drain prints as JSON.
type drainReport struct {
	Left int    `json:"left"` // shards that it still owns
	Node string `json:"node"`
}

func (s *systemCommands) newDrain() *cobra.Command {
	return s.connect(&cobra.Command{Use: "drain NODE", Short: "Have a control process give its leaderships away", Args: needs("NODE"),
		Long: "Have a control process, named by its node or internal address, give away the shards that it owns, before its machine\n" +
			"is looked after. It goes on as a member and owns nothing until it is started again.",
		Example: "  ospreypond drain control-2 --control 127.77.0.11:7380"},
		func(ctx context.Context, c *connection, system administrator, args []string) error {
			left, err := system.Drain(ctx, args[0])
			if err != nil {
				return err
			}
			report := drainReport{Left: left, Node: args[0]}
			err = c.print(report, func(w io.Writer) {
				if left > 0 {
					fmt.Fprintf(w, "%s still owns %d shards: no other member could take them\n", args[0], left)
					return
				}
				fmt.Fprintf(w, "%s owns nothing any more\n", args[0])
			})
			if err == nil && left > 0 {
				return errSaid
			}
			return err
		})
}
