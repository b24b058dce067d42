package main

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// specText is a job's text for its tasks.
var specText = strings.Repeat("x", 250)

// gangCommand measures how long the largest gangs take to be placed and to start, on a fleet that is otherwise at work.
func gangCommand() *cobra.Command {
	var sizes []int
	var runners int
	var poll time.Duration
	var profile string
	command := &cobra.Command{Use: "gang", Short: "A gang of so many members, each with a whole runner's accelerators",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			return profiled(profile, func() error {
				t := table{[]string{"members", "runners", "committed after ms", "last order after ms", "processor ms", "entry KB"}}
				t.begin()
				for _, size := range sizes {
					measureGang(&t, size, runners, poll)
				}
				return nil
			})
		}}
	f := command.Flags()
	f.IntSliceVar(&sizes, "members", []int{16, 64, 256, 1024}, "sizes of the gang")
	f.IntVar(&runners, "runners", targetRunners, "runners of the service")
	f.DurationVar(&poll, "poll", time.Second, "time to a busy runner's next heartbeat")
	f.StringVar(&profile, "profile", "", "write a processor profile to this `file`")
	return command
}

func measureGang(t *table, members, runners int, poll time.Duration) {
	w := newWorld(load{runners: runners, services: 1, tasks: runners, perJob: 200, poll: poll, queues: 1})
	w.fill()
	w.figures = figures{}
	begun, used := w.now, processorTime()
	committed := time.Duration(-1)
	w.extra = func(effects *jobs.Effects) {
		if len(effects.Starts) == members && committed < 0 {
			committed = w.now - begun
		}
	}
	w.submit(protocol.Step{Count: members, CPU: 2_000, MemoryMB: 4_000, GPU: gpus, EstimatedMs: 60_000, Gang: true})
	until := begun + 20*time.Second
	for !w.gangRuns(members) && w.step(until) {
	}
	last := w.now - begun
	spent := processorTime() - used
	t.row(members, runners, milliseconds(committed), milliseconds(last), milliseconds(spent), float64(w.figures.commandBytes)/1e3)
}

// gangRuns tells whether all members have reached their runners.
func (w *world) gangRuns(members int) bool {
	if w.state.Counters().Running < members || w.figures.starts < members {
		return false
	}
	newest := w.newestJob()
	count := 0
	for _, r := range w.runners {
		for i := range r.beat.Active {
			if strings.HasPrefix(r.beat.Active[i].Task, newest) {
				count++
			}
		}
	}
	return count == members
}
