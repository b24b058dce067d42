package simulation

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

// GroundTruth holds the state that the scheduler can't see but runners find out: the tasks that clients submitted, the work
// that each task takes, which tasks are done, and which members of a gang have started.
type GroundTruth struct {
	World   *World
	History *History
	jobs    map[string]*jobTruth
}

// NewGroundTruth returns a ground truth without jobs.
func NewGroundTruth(world *World, history *History) *GroundTruth {
	return &GroundTruth{World: world, History: history, jobs: map[string]*jobTruth{}}
}

// jobTruth is the true state of a job: of all its repetitions, steps and tasks.
type jobTruth struct {
	record      *JobRecord
	due         []time.Duration // when each repetition is due, by its number
	steps       map[stepName]*stepTruth
	alwaysFails bool // each run of its tasks fails
	remaining   int  // number of tasks that are not done
}

// stepTruth is the true state of a step in one repetition of a job.
type stepTruth struct {
	job       *jobTruth
	name      stepName
	spec      *protocol.Step
	tasks     []taskTruth
	remaining int                     // number of tasks that are not done
	members   map[uint64][]*execution // of a gang: the executions that have started and not ended, by the number of their run
}

// taskTruth is the true state of a task.
type taskTruth struct {
	name          TaskName
	workMs        float64 // time that the work takes on a runner of speed 1
	failingStarts int     // this many of the task's first runs fail, on whatever runner
	starts        int     // number of runs that were started
	done          bool
}

// Work describes how long the tasks of a job take and how often they fail.
type Work struct {
	MeanMs          float64 // mean time of a task on a runner of speed 1
	Spread          float64 // a task's time differs from the mean by at most this fraction of the mean
	FirstStartFails float64 // fraction of tasks that fail in their first run
	AlwaysFails     bool    // each run of each task fails
}

// AddJob draws the work of a job's tasks, so that runners can execute them.
func (g *GroundTruth) AddJob(record *JobRecord, work Work) {
	job := &jobTruth{record: record, steps: map[stepName]*stepTruth{}, alwaysFails: work.AlwaysFails}
	for repetition := range max(1, record.Spec.Repetitions) {
		job.due = append(job.due, dueAt(&record.Spec, repetition))
		for step := range record.Spec.Steps {
			job.addStep(g.World, stepName{record.ID, repetition, step}, work)
		}
	}
	g.jobs[record.ID] = job
}

// dueAt returns the true time at which a repetition of a job is due; 0 for a job without repetitions.
func dueAt(spec *protocol.JobSpec, repetition int) time.Duration {
	if spec.Repetitions == 0 {
		return 0
	}
	return time.Duration(spec.FirstRunMs+int64(repetition)*spec.IntervalMs-EpochMs) * time.Millisecond
}

// addStep adds a step of one repetition and draws the work of its tasks. All members of a gang have the same work.
func (j *jobTruth) addStep(w *World, name stepName, work Work) {
	spec := &j.record.Spec.Steps[name.Step]
	step := &stepTruth{job: j, name: name, spec: spec, remaining: spec.Count, tasks: make([]taskTruth, spec.Count)}
	if spec.Gang {
		step.members = map[uint64][]*execution{}
	}
	gangMs := work.draw(w) // drawn for all steps, so that the later draws do not depend on whether the step is a gang
	for i := range step.tasks {
		task := &step.tasks[i]
		task.name = TaskName{name.Job, name.Repetition, name.Step, i}
		task.workMs = gangMs
		if !spec.Gang {
			task.workMs = work.draw(w)
		}
		if w.Chance(work.FirstStartFails) {
			task.failingStarts = 1
		}
	}
	j.steps[name] = step
	j.remaining += spec.Count
}

// draw draws the work of one task, in ms on a runner of speed 1.
func (w Work) draw(world *World) float64 {
	return w.MeanMs * (1 + w.Spread*(2*world.Random.Float64()-1))
}

// find returns a task and its step, or nil if no client submitted it.
func (g *GroundTruth) find(name TaskName) (*stepTruth, *taskTruth) {
	job := g.jobs[name.Job]
	if job == nil {
		return nil, nil
	}
	step := job.steps[name.step()]
	if step == nil || name.Index >= len(step.tasks) {
		return nil, nil
	}
	return step, &step.tasks[name.Index]
}

// IsFinished reports whether every task of a job has ended done.
func (g *GroundTruth) IsFinished(id string) bool {
	job := g.jobs[id]
	return job != nil && job.remaining == 0
}

// completeTask records that a task has ended done. For a gang it records this of all members.
func (g *GroundTruth) completeTask(step *stepTruth, task *taskTruth) {
	if !step.spec.Gang {
		step.complete(task)
		return
	}
	for i := range step.tasks {
		step.complete(&step.tasks[i])
	}
}

// complete records that a task is done, once. Long-running tasks are never done.
func (s *stepTruth) complete(task *taskTruth) {
	if task.done || s.spec.LongRunning {
		return
	}
	task.done = true
	s.remaining--
	s.job.remaining--
}

// isDue reports whether tasks of the step may start: its repetition is due, and the steps that it depends on are done.
func (s *stepTruth) isDue(now time.Duration) bool {
	if now < s.job.due[s.name.Repetition] {
		return false
	}
	for _, number := range s.spec.DependsOn {
		earlier := s.job.steps[stepName{s.name.Job, s.name.Repetition, number}]
		if earlier == nil || earlier.remaining > 0 {
			return false
		}
	}
	return true
}
