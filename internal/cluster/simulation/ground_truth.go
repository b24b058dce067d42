package simulation

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

// jobTruth is what a job's tasks really take: the clients know it, the scheduler doesn't.
type jobTruth struct {
	record      *JobRecord
	due         []time.Duration // by time K: when it falls due
	steps       map[stepName]*stepTruth
	alwaysFails bool // its tasks fail whenever they are tried
	remaining   int  // tasks not done
	lastDone    time.Duration
}

// stepTruth is one step at one time.
type stepTruth struct {
	job       *jobTruth
	name      stepName
	spec      *protocol.Step
	tasks     []taskTruth
	remaining int
	members   map[uint64][]*execution // gang: those present, by run
}

// taskTruth is one task.
type taskTruth struct {
	name          TaskName
	workMs        float64 // on a runner of speed 1
	failingStarts int     // of its first starts that fail by their own fault
	starts        int
	done          bool
}

// GroundTruth is the reality behind the runners: which tasks there are, what they take, and which members of gangs are there.
type GroundTruth struct {
	World   *World
	History *History
	jobs    map[string]*jobTruth
}

// NewGroundTruth returns a plant without jobs.
func NewGroundTruth(world *World, ledger *History) *GroundTruth {
	return &GroundTruth{World: world, History: ledger, jobs: map[string]*jobTruth{}}
}

// Work says what a job's tasks take.
type Work struct {
	MeanMs          float64
	Spread          float64 // share by which tasks differ
	FirstStartFails float64 // share of tasks whose first start fails
	AlwaysFails     bool
}

// AddJob makes a job's tasks known to the runners.
func (p *GroundTruth) AddJob(record *JobRecord, work Work) {
	job := &jobTruth{record: record, steps: map[stepName]*stepTruth{}, alwaysFails: work.AlwaysFails, lastDone: Never}
	times := max(1, record.Spec.Repetitions)
	for k := range times {
		job.due = append(job.due, dueAt(&record.Spec, k))
		for s := range record.Spec.Steps {
			job.addStep(p.World, stepName{record.ID, k, s}, work)
		}
	}
	p.jobs[record.ID] = job
}

// dueAt returns the true time at which time K of a job falls due; 0 without repetitions.
func dueAt(spec *protocol.JobSpec, k int) time.Duration {
	if spec.Repetitions == 0 {
		return 0
	}
	return time.Duration(spec.FirstRunMs+int64(k)*spec.IntervalMs-EpochMs) * time.Millisecond
}

func (j *jobTruth) addStep(w *World, name stepName, work Work) {
	step := &j.record.Spec.Steps[name.Step]
	group := &stepTruth{job: j, name: name, spec: step, remaining: step.Count, tasks: make([]taskTruth, step.Count)}
	if step.Gang {
		group.members = map[uint64][]*execution{}
	}
	shared := work.MeanMs * (1 + work.Spread*(2*w.Random.Float64()-1))
	for i := range group.tasks {
		task := &group.tasks[i]
		task.name = TaskName{name.Job, name.Repetition, name.Step, i}
		task.workMs = shared
		if !step.Gang {
			task.workMs = work.MeanMs * (1 + work.Spread*(2*w.Random.Float64()-1))
		}
		if w.Chance(work.FirstStartFails) {
			task.failingStarts = 1
		}
	}
	j.steps[name] = group
	j.remaining += step.Count
}

// find returns a task and its group, or nil if no client sent it.
func (p *GroundTruth) find(name TaskName) (*stepTruth, *taskTruth) {
	job := p.jobs[name.Job]
	if job == nil {
		return nil, nil
	}
	group := job.steps[name.step()]
	if group == nil || name.Index >= len(group.tasks) {
		return nil, nil
	}
	return group, &group.tasks[name.Index]
}

// Finished tells whether every task of a job has ended done, and since when.
func (p *GroundTruth) Finished(id string) (bool, time.Duration) {
	job := p.jobs[id]
	if job == nil || job.remaining > 0 {
		return false, Never
	}
	return true, job.lastDone
}

// completeTask notes that a task has ended done; for a gang, all of it.
func (p *GroundTruth) completeTask(group *stepTruth, task *taskTruth) {
	if !group.spec.Gang {
		p.complete(group, task)
		return
	}
	for i := range group.tasks {
		p.complete(group, &group.tasks[i])
	}
}

func (p *GroundTruth) complete(group *stepTruth, task *taskTruth) {
	if task.done || group.spec.LongRunning {
		return
	}
	task.done = true
	group.remaining--
	group.job.remaining--
	group.job.lastDone = p.World.now
}

// isDue tells whether the turn of a group has come by now.
func (g *stepTruth) isDue(now time.Duration) bool {
	if now < g.job.due[g.name.Repetition] {
		return false
	}
	for _, s := range g.spec.DependsOn {
		if before := g.job.steps[stepName{g.name.Job, g.name.Repetition, s}]; before == nil || before.remaining > 0 {
			return false
		}
	}
	return true
}
