package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/administration"
)

func (s *clusterCommands) newRunners() *cobra.Command {
	return s.onSystem(&cobra.Command{Use: "runners", Short: "List the runners: state, capacity, failure scores, leases", Args: exactArgs(),
		Long: "List the runners as the owners of their shards know them. CORES, MEMORY and GPU are free/total capacity. FAILURES is\n" +
			"the failure score: from 0 for a runner that fails nothing to 1 for one that fails everything that it starts. LAST\n" +
			"SEEN is the time since the last heartbeat; LEASE is what remains of the lease, for which runs go on without another heartbeat.",
		Example: "  ospreypond runners --control 127.77.0.11:7380"},
		func(ctx context.Context, flags *clusterFlags, system administrator, _ []string) error {
			runners, err := system.Runners(ctx)
			if err != nil {
				return err
			}
			return flags.print(administration.RunnerViews(runners), func(w io.Writer) { printTable(w, runnerRows(runners)) })
		})
}

// millicoresPerCore converts protocol.Resources.CPU, which is in thousandths of a core, to cores.
const millicoresPerCore = 1000

func runnerRows(runners []administration.Runner) [][]string {
	rows := [][]string{{"INSTANCE", "SERVICE", "ZONE", "STATE", "CORES", "MEMORY MB", "GPU", "RUNS", "STOPS", "FAILURES", "LAST SEEN", "LEASE", "LABELS"}}
	for _, r := range runners {
		rows = append(rows, []string{
			r.Instance, r.Service, r.Zone, stateWord(r.State),
			fmt.Sprintf("%.1f/%.1f", float64(r.Free.CPU)/millicoresPerCore, float64(r.Capacity.CPU)/millicoresPerCore),
			fmt.Sprintf("%d/%d", r.Free.MemoryMB, r.Capacity.MemoryMB),
			fmt.Sprintf("%d/%d", r.Free.GPU, r.Capacity.GPU),
			strconv.Itoa(r.Runs), strconv.Itoa(r.Stops), fmt.Sprintf("%.2f", r.Distrust),
			durationText(r.SilentMs), durationText(r.HoldMs), strings.Join(r.Labels, ","),
		})
	}
	return rows
}
