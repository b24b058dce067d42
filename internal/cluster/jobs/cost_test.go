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

// roundCommand is what an owner decides in one round on a busy shard: submits, ends, starts.
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

var commandSizes = []int{1, 4, 32}

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

const (
	largeTasks   = 49_000
	largePerJob  = 49
	largeRunners = 1_000
)

// largeShard has 49,000 running tasks on 1,000 runners.
func largeShard() *jobs.State {
	s := jobs.New(jobs.Options{})
	for i := range largeTasks / largePerJob {
		job := fmt.Sprintf("%016x", i)
		c := &jobs.Command{TimeOfDayMs: startMs, Submits: []jobs.Submit{{ID: job, Queue: queue(3), Job: protocol.JobSpec{
			Spec: strings.Repeat("x", 250), Steps: []protocol.Step{step(largePerJob)},
		}}}}
		for index := range largePerJob {
			task := jobs.TaskID{Job: job, Index: index}
			c.Starts = append(c.Starts, jobs.Start{Task: task, Run: 1, Runner: largeRunner(i*largePerJob + index)})
		}
		s.Apply(c)
	}
	return s
}

func largeRunner(number int) string { return fmt.Sprintf("i-%08x", number%largeRunners) }

func BenchmarkApplyEndAndStart(b *testing.B) {
	s := largeShard()
	n := uint64(0)
	task := jobs.TaskID{Job: fmt.Sprintf("%016x", 500), Index: 7}
	runner := largeRunner(500*largePerJob + 7)
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

func BenchmarkSnapshotLarge(b *testing.B) {
	s := largeShard()
	b.ReportAllocs()
	for b.Loop() {
		data, _ := s.Snapshot()
		b.ReportMetric(float64(len(data)), "bytes")
	}
}

func BenchmarkRestoreLarge(b *testing.B) {
	data, _ := largeShard().Snapshot()
	b.ReportAllocs()
	for b.Loop() {
		if err := jobs.New(jobs.Options{}).Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}
