package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/administration"
)

func (s *clusterCommands) newMembers() *cobra.Command {
	return s.onSystem(&cobra.Command{Use: "members", Short: "List the control processes and their state", Args: exactArgs(),
		Long: "List the control processes: those that answer, and members of shards that do not. LEADS is the number of shards that\n" +
			"a process owns; ROLE is voter, learner (it is catching up) or none (not a member yet).\n" +
			"The exit status is 1 if a voter does not answer or a disk is unhealthy.",
		Example: "  ospreypond members --control 127.77.0.11:7380,127.77.0.12:7380"},
		func(ctx context.Context, flags *clusterFlags, system administrator, _ []string) error {
			reports, err := system.Reports(ctx)
			if err != nil {
				return err
			}
			members := administration.Members(reports)
			if err := flags.print(members, func(w io.Writer) { printTable(w, memberRows(members)) }); err != nil {
				return err
			}
			var faults []string
			for _, member := range members {
				if member.Unhealthy() {
					faults = append(faults, fmt.Sprintf("%s at %s is %s", member.Node, member.Address, stateWord(member.State())))
				}
			}
			return faultsError(faults)
		})
}

func memberRows(members []administration.MemberView) [][]string {
	rows := [][]string{{"NODE", "ZONE", "ADDRESS", "ID", "ROLE", "STATE", "LEADS", "UP", "DISK", "MEMORY"}}
	for _, m := range members {
		up, disk, memory := "-", "-", "-"
		if m.Answers {
			up, disk, memory = durationText(m.UptimeMs), sizeText(m.LogBytes), sizeText(int64(m.MemoryBytes))
		}
		if m.DiskUnhealthy {
			disk = "unhealthy"
		}
		rows = append(rows, []string{m.Node, m.Zone, m.Address, m.ID.String(), m.Role, stateWord(m.State()), strconv.Itoa(m.Leads), up, disk, memory})
	}
	return rows
}
