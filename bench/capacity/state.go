package main

import (
	"time"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// stateCommand measures what the states weigh, and what it takes to write and to read them.
func stateCommand() *cobra.Command {
	var tasks, routes []int
	command := &cobra.Command{Use: "state", Short: "Size, writing and reading of the shards' states", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			t := table{[]string{"running", "heap MB", "snapshot MB", "writing ms", "reading ms"}}
			t.begin()
			for _, count := range tasks {
				if err := measureJobs(&t, count); err != nil {
					return err
				}
			}
			c := table{[]string{"routes", "heap MB", "snapshot MB", "writing ms", "reading ms", "a change ms"}}
			c.begin()
			for _, count := range routes {
				if err := measureConfiguration(&c, count); err != nil {
					return err
				}
			}
			return nil
		}}
	f := command.Flags()
	f.IntSliceVar(&tasks, "tasks", []int{3_000, 10_000, targetTasks, 2 * targetTasks}, "running tasks of one shard")
	f.IntSliceVar(&routes, "routes", []int{400, 5 * targetQueues, 20_000}, "routes of the configuration")
	return command
}

const repeats = 5

// fastest runs f several times and returns the least processor time that it took.
func fastest(f func() error) (time.Duration, error) {
	least := time.Hour
	for range repeats {
		used := processorTime()
		if err := f(); err != nil {
			return 0, err
		}
		least = min(least, processorTime()-used)
	}
	return least, nil
}

func measureJobs(t *table, tasks int) error {
	before := heapBytes()
	state := runningState(tasks)
	heap := heapBytes() - before
	var data []byte
	writing, err := fastest(func() (err error) { data, err = state.Snapshot(); return err })
	if err != nil {
		return err
	}
	reading, err := fastest(func() error { return jobs.New(jobs.Options{}).Restore(data) })
	t.row(state.Counters().Running, float64(heap)/1e6, float64(len(data))/1e6, milliseconds(writing), milliseconds(reading))
	return err
}

// runningState has so many running tasks, with the runners that the large deployment has for them.
func runningState(tasks int) *jobs.State {
	const perJob = 200
	state := jobs.New(jobs.Options{})
	runners := max(tasks*targetRunners/targetTasks, 1)
	for first := 0; first < tasks; first += perJob {
		count := min(perJob, tasks-first)
		id := jobName(first)
		command := &jobs.Command{TimeOfDayMs: startMs, Submits: []jobs.Submit{{ID: id,
			Queue: protocol.Queue{Key: "team.example/q/", Service: serviceName(0), MaxAttempts: 3, Extension: 2, TargetLatencyMs: 2700},
			Job:   protocol.JobSpec{Spec: specText, Steps: []protocol.Step{{Count: count, CPU: 2000, MemoryMB: 4000, EstimatedMs: 35_000}}},
		}}}
		for i := range count {
			command.Starts = append(command.Starts, jobs.Start{Task: jobs.TaskID{Job: id, Index: i}, Run: 1,
				Runner: "i-" + jobName((first+i)%runners)})
		}
		state.Apply(command)
	}
	return state
}

func measureConfiguration(t *table, routes int) error {
	before := heapBytes()
	w := &feedWorld{source: feedSource{configuration.NewState()}, routes: routes}
	if err := w.execute(protocol.ConfigurationReplace, wholeConfiguration(routes)); err != nil {
		return err
	}
	heap := heapBytes() - before
	changing, err := fastest(func() error { w.changes++; return w.alter() })
	if err != nil {
		return err
	}
	var data []byte
	writing, err := fastest(func() (err error) { data, err = w.source.state.Snapshot(); return err })
	if err != nil {
		return err
	}
	reading, err := fastest(func() error { return configuration.NewState().Restore(data) })
	t.row(routes, float64(heap)/1e6, float64(len(data))/1e6, milliseconds(writing), milliseconds(reading), milliseconds(changing))
	return err
}
