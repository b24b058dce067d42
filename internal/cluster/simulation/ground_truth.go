package simulation

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

// GroundTruth is what the scheduler can't know but runners find out: the tasks that clients submitted, the work that each
// takes, which of them are done, and which members of a gang are present.
type GroundTruth struct {
	World   *World
	History *History
	jobs    map[string]*jobTruth
}

// NewGroundTruth returns a ground truth without jobs.
func NewGroundTruth(world *World, history *History) *GroundTruth {
	return &GroundTruth{World: world, History: history, jobs: map[string]*jobTruth{}}
}

// jobTruth is what the tasks of a job really take.
type jobTruth struct {
	record      *JobRecord
	due         []time.Duration // by repetition
	steps       map[stepName]*stepTruth
	alwaysFails bool // each run of its tasks fails
	remaining   int  // tasks that are not done
}

// stepTruth is a step of one repetition.
type stepTruth struct {
	job       *jobTruth
	name      stepName
	spec      *protocol.Step
	tasks     []taskTruth
	remaining int
	members   map[uint64][]*execution // of a gang: those present, by the number of their run
}

// taskTruth is one task.
type taskTruth struct {
	name          TaskName
	workMs        float64 // on a runner of speed 1
	failingStarts int     // so many of its first starts fail, on whatever runner
	starts        int
	done          bool
}

// Work says what the tasks of a job take.
type Work struct {
	MeanMs          float64
	Spread          float64 // fraction of the mean by which tasks differ from it at most
	FirstStartFails float64 // fraction of tasks whose first start fails
	AlwaysFails     bool
}

// AddJob draws what a job's tasks take and makes them known to the runners.
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

func (j *jobTruth) addStep(w *World, name stepName, work Work) {
	spec := &j.record.Spec.Steps[name.Step]
	step := &stepTruth{job: j, name: name, spec: spec, remaining: spec.Count, tasks: make([]taskTruth, spec.Count)}
	if spec.Gang {
		step.members = map[uint64][]*execution{}
	}
	gangMs := work.draw(w) // also drawn where it is not needed, so that what follows does not depend on the step
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

// draw returns the work of one task, in ms.
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

// completeTask records that a task has ended done; of a gang, with it all members.
func (g *GroundTruth) completeTask(step *stepTruth, task *taskTruth) {
	if !step.spec.Gang {
		step.complete(task)
		return
	}
	for i := range step.tasks {
		step.complete(&step.tasks[i])
	}
}

func (s *stepTruth) complete(task *taskTruth) {
	if task.done || s.spec.LongRunning {
		return
	}
	task.done = true
	s.remaining--
	s.job.remaining--
}

// isDue reports whether tasks of the step may start: its time has come, and the steps that it depends on are done.
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
