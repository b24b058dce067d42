package jobs_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

func TestJobs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Jobs")
}

const (
	jobA = "00000000000000aa"
	jobB = "00000000000000bb"
	jobC = "00000000000000cc"

	startMs = int64(1_700_000_000_000) // time of day, in ms since 1970, of each shard's first command
)

// shard is a State with a clock and with methods that apply commands of one item.
type shard struct {
	*jobs.State
	nowMs   int64             // TimeOfDayMs of the next command
	lastEnd map[string]uint64 // newest End.N of each runner
}

func newShard() *shard {
	s := &shard{State: jobs.New(jobs.Options{}), nowMs: startMs, lastEnd: map[string]uint64{}}
	s.do(&jobs.Command{})
	return s
}

// do applies a command at the shard's current time.
func (s *shard) do(c *jobs.Command) *jobs.Effects {
	GinkgoHelper()
	c.TimeOfDayMs = s.nowMs
	return s.Apply(c)
}

// advance advances the clock and applies an empty command.
func (s *shard) advance(ms int64) *jobs.Effects {
	s.nowMs += ms
	return s.do(&jobs.Command{})
}

// queue returns a queue that allows this number of failed attempts; 0: no limit.
func queue(maxAttempts int) protocol.Queue {
	return protocol.Queue{Key: "host/path/", Service: "service", Priority: 1, MaxAttempts: maxAttempts, Extension: 1.5}
}

// submit submits a job of these steps without repetitions.
func (s *shard) submit(id string, maxAttempts int, steps ...protocol.Step) *jobs.Effects {
	return s.submitSpec(id, maxAttempts, protocol.JobSpec{Spec: "text of " + id, Steps: steps})
}

func (s *shard) submitSpec(id string, maxAttempts int, spec protocol.JobSpec) *jobs.Effects {
	GinkgoHelper()
	effects := s.do(&jobs.Command{Submits: []jobs.Submit{{ID: id, Queue: queue(maxAttempts), Job: spec}}})
	Expect(effects.Submits).To(HaveLen(1))
	return effects
}

// start starts tasks on one runner in one command, and returns which starts were applied.
func (s *shard) start(runner string, run uint64, ids ...jobs.TaskID) []bool {
	c := &jobs.Command{}
	for _, id := range ids {
		c.Starts = append(c.Starts, jobs.Start{Task: id, Run: run, Runner: runner})
	}
	return s.do(c).Starts
}

// end applies an end of a run, with the next N of its runner.
func (s *shard) end(runner string, id jobs.TaskID, run uint64, outcome protocol.RunEnd, checkpoint string) *jobs.Effects {
	s.lastEnd[runner]++
	return s.do(&jobs.Command{Ends: []jobs.End{
		{Runner: runner, N: s.lastEnd[runner], Task: id, Run: run, Outcome: outcome, Checkpoint: checkpoint},
	}})
}

func (s *shard) lose(runner string, id jobs.TaskID, run uint64, checkpoint string) *jobs.Effects {
	return s.do(&jobs.Command{Losses: []jobs.Loss{{Runner: runner, Task: id, Run: run, Checkpoint: checkpoint}}})
}

// cancel cancels a job and reports whether it is known.
func (s *shard) cancel(id string) bool {
	return s.do(&jobs.Command{Cancels: []string{id}}).Cancels[0]
}

// fence fences an id and reports whether the shard has or had the job.
func (s *shard) fence(id string, version uint64) bool {
	return s.do(&jobs.Command{Fences: []jobs.Fence{{ID: id, Version: version}}}).Fences[0]
}

// submitBy submits a job of one task. Its queue comes from this version of the configuration.
func (s *shard) submitBy(id string, version uint64) jobs.SubmitEffect {
	submit := jobs.Submit{ID: id, Queue: queue(2), Job: protocol.JobSpec{Steps: []protocol.Step{step(1)}}, Version: version}
	return s.do(&jobs.Command{Submits: []jobs.Submit{submit}}).Submits[0]
}

// stateOf returns the job's state as clients see it, or "unknown".
func (s *shard) stateOf(id string) string {
	state, known := s.StateOf(id)
	if !known {
		return "unknown"
	}
	return string(state)
}

// phase returns the phase of a task and fails if there is no such task.
func (s *shard) phase(id jobs.TaskID) jobs.Phase {
	GinkgoHelper()
	task := s.Task(id)
	Expect(task).NotTo(BeNil(), "task %s", id)
	return task.Phase
}

func (s *shard) phases(ids ...jobs.TaskID) []jobs.Phase {
	GinkgoHelper()
	var phases []jobs.Phase
	for _, id := range ids {
		phases = append(phases, s.phase(id))
	}
	return phases
}

// pendingIDs returns the ids of the Pending tasks in the order of EachPending.
func (s *shard) pendingIDs() (ids []string) {
	s.EachPending(func(task *jobs.Task) bool {
		ids = append(ids, task.ID.String())
		return true
	})
	return ids
}

// runsOn returns the runs on a runner, each as the task's id, "/" and the number of the run.
func (s *shard) runsOn(runner string) (ids []string) {
	for _, task := range s.RunsOn(runner) {
		ids = append(ids, fmt.Sprintf("%s/%d", task.ID, task.Run))
	}
	return ids
}

// id returns the id of a task. numbers are its repetition, step and index; the first ones may be left out and are 0 then.
func id(job string, numbers ...int) jobs.TaskID {
	full := [3]int{}
	copy(full[3-len(numbers):], numbers)
	return jobs.TaskID{Job: job, Repetition: full[0], Step: full[1], Index: full[2]}
}

// step returns a step of count tasks, changed by the given functions.
func step(count int, change ...func(*protocol.Step)) protocol.Step {
	s := protocol.Step{Count: count, CPU: 500, MemoryMB: 64, EstimatedMs: 900}
	for _, f := range change {
		f(&s)
	}
	return s
}

func gang(s *protocol.Step)        { s.Gang = true }
func longRunning(s *protocol.Step) { s.LongRunning = true }
func checkpoints(s *protocol.Step) { s.Checkpoints = true }

// after makes a step depend on earlier ones.
func after(earlier ...int) func(*protocol.Step) {
	return func(s *protocol.Step) { s.DependsOn = earlier }
}
