package jobs_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"strings"
	"testing"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// roundCommand returns a command as a busy owner proposes it in one round: size submits, size ends and size starts.
func roundCommand(size int) *jobs.Command {
	c := &jobs.Command{TimeOfDayMs: startMs}
	for i := range size {
		job := fmt.Sprintf("%016x", i)
		runner := fmt.Sprintf("i-%08x", i%7)
		c.Submits = append(c.Submits, jobs.Submit{ID: job, Queue: queue(3), Job: protocol.JobSpec{
			Spec: strings.Repeat("x", 250), Steps: []protocol.Step{step(6), step(6, after(0))},
		}})
		task := jobs.TaskID{Job: job, Index: i}
		c.Ends = append(c.Ends, jobs.End{Runner: runner, N: uint64(i), Task: task, Run: 1, Outcome: protocol.EndDone})
		c.Starts = append(c.Starts, jobs.Start{Runner: runner, Task: task, Run: 1})
	}
	return c
}

var commandSizes = []int{1, 4, 32} // arguments of roundCommand

// BenchmarkCodec measures the time of encoding and decoding a command and the size of its encoding. BenchmarkGob does the
// same with package gob, for comparison.
func BenchmarkCodec(b *testing.B) {
	for _, size := range commandSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := roundCommand(size)
			b.ReportAllocs()
			for b.Loop() {
				data, _ := jobs.Encode(c)
				if _, err := jobs.Decode(data); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "bytes")
			}
		})
	}
}

// BenchmarkGob is BenchmarkCodec with the encoding of package gob.
func BenchmarkGob(b *testing.B) {
	for _, size := range commandSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := roundCommand(size)
			b.ReportAllocs()
			for b.Loop() {
				var buffer bytes.Buffer
				if err := gob.NewEncoder(&buffer).Encode(c); err != nil {
					b.Fatal(err)
				}
				length := buffer.Len()
				if err := gob.NewDecoder(&buffer).Decode(&jobs.Command{}); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(length), "bytes")
			}
		})
	}
}

// Sizes of largeShard.
const (
	largeTaskCount   = 49_000
	largeTasksPerJob = 49
	largeRunnerCount = 1_000
)

// largeShard returns a shard with 49,000 running tasks of 1,000 jobs on 1,000 runners.
func largeShard() *jobs.State {
	s := jobs.New(jobs.Options{})
	for i := range largeTaskCount / largeTasksPerJob {
		job := fmt.Sprintf("%016x", i)
		c := &jobs.Command{TimeOfDayMs: startMs, Submits: []jobs.Submit{{ID: job, Queue: queue(3), Job: protocol.JobSpec{
			Spec: strings.Repeat("x", 250), Steps: []protocol.Step{step(largeTasksPerJob)},
		}}}}
		for index := range largeTasksPerJob {
			task := jobs.TaskID{Job: job, Index: index}
			c.Starts = append(c.Starts, jobs.Start{Task: task, Run: 1, Runner: largeRunner(i*largeTasksPerJob + index)})
		}
		s.Apply(c)
	}
	return s
}

// largeRunner returns the runner of a task of largeShard, given the number of the task.
func largeRunner(number int) string { return fmt.Sprintf("i-%08x", number%largeRunnerCount) }

// BenchmarkApplyEndAndStart measures a command that ends one run of a large shard and starts the task's next one.
func BenchmarkApplyEndAndStart(b *testing.B) {
	s := largeShard()
	n := uint64(0)
	task := jobs.TaskID{Job: fmt.Sprintf("%016x", 500), Index: 7}
	runner := largeRunner(500*largeTasksPerJob + 7)
	b.ReportAllocs()
	for b.Loop() {
		n++
		effects := s.Apply(&jobs.Command{
			TimeOfDayMs: startMs + int64(n),
			Ends:        []jobs.End{{Runner: runner, N: n, Task: task, Run: n, Outcome: protocol.EndStopped}},
			Starts:      []jobs.Start{{Task: task, Run: n + 1, Runner: runner}},
		})
		if !effects.Starts[0] {
			b.Fatal("start was not applied")
		}
	}
}

// BenchmarkSnapshotLarge measures the time and the bytes of the snapshot of a large shard.
func BenchmarkSnapshotLarge(b *testing.B) {
	s := largeShard()
	b.ReportAllocs()
	for b.Loop() {
		data, _ := s.Snapshot()
		b.ReportMetric(float64(len(data)), "bytes")
	}
}

// BenchmarkRestoreLarge measures the time to restore a large shard from its snapshot.
func BenchmarkRestoreLarge(b *testing.B) {
	data, _ := largeShard().Snapshot()
	b.ReportAllocs()
	for b.Loop() {
		if err := jobs.New(jobs.Options{}).Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}
