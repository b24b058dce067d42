package main

import (
	"runtime"
	"time"

	"github.com/spf13/cobra"
)

// ownerCommand measures one owner with more and more runners.
func ownerCommand() *cobra.Command {
	var sizes []int
	var span, budget, poll time.Duration
	var services, perJob, stuck int
	var starts, gathered bool
	var profile string
	command := &cobra.Command{Use: "owner", Short: "One shard's owner with hollow runners, its share of tasks and starts",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			return profiled(profile, func() error {
				t := table{[]string{"runners", "running", "beats/s", "starts/s", "rounds/s", "commits/s", "held at most",
					"µs a beat", "cores", "MB allocated/s", "heap MB"}}
				t.begin()
				for _, size := range sizes {
					l := load{runners: size, services: services, tasks: size * targetTasks / targetRunners, perJob: perJob,
						poll: poll, queues: targetQueues, stuck: stuck, gathered: gathered}
					if starts {
						l.starts = float64(size) * targetStarts / targetRunners
					}
					measureOwner(&t, l, span, budget)
				}
				return nil
			})
		}}
	f := command.Flags()
	f.IntSliceVar(&sizes, "runners", []int{100, 300, 1000, 3000}, "sizes to measure")
	f.DurationVar(&span, "span", 5*time.Second, "virtual time to measure")
	f.DurationVar(&budget, "budget", 20*time.Second, "processor time after which a size's measurement ends early")
	f.DurationVar(&poll, "poll", 100*time.Millisecond, "time to a busy runner's next heartbeat")
	f.IntVar(&services, "services", 1, "services that the runners are divided among")
	f.IntVar(&perJob, "per-job", 200, "tasks of a job")
	f.IntVar(&stuck, "stuck", 0, "tasks that are held all the while, since no runner has the label that they want")
	f.BoolVar(&starts, "starts", true, "tasks end, and others start, at the large deployment's peak for each runner")
	f.BoolVar(&gathered, "gathered", false, "what if the inputs of 5 ms shared one pass over the runners")
	f.StringVar(&profile, "profile", "", "write a processor profile to this `file`")
	return command
}

func measureOwner(t *table, l load, span, budget time.Duration) {
	w := newWorld(l)
	w.fill()
	f := w.measure(span, budget)
	seconds := f.span.Seconds()
	t.row(l.runners, w.state.Counters().Running, float64(f.beats)/seconds, float64(f.starts)/seconds, float64(f.rounds)/seconds,
		float64(f.commits)/seconds, f.heldMost, microseconds(f.processor, f.beats), f.processor.Seconds()/seconds,
		float64(f.allocatedBytes)/seconds/1e6, float64(heapBytes())/1e6)
	runtime.KeepAlive(w)
}
