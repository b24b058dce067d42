package jobs_test

import (
	"maps"
	"slices"

	"pgregory.net/rapid"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// possibleRun is a run that may exist according to the model.
type possibleRun struct {
	task   jobs.TaskID
	run    uint64
	runner string
}

// model is a second, simple implementation of the rules of a shard. It knows only the commands and their effects, and fails
// the test if an effect or an accessor of the state contradicts it.
type model struct {
	state *jobs.State
	nowMs int64 // TimeOfDayMs of the newest command

	specs         map[string]protocol.JobSpec // by id, of the jobs that were accepted
	queues        map[string]protocol.Queue   // by id, of the jobs that were accepted
	running       map[possibleRun]bool        // lingering runs included
	done          map[jobs.TaskID]bool
	failures      map[jobs.TaskID]int          // number of counted failed runs; for a gang, under the id of its first task
	failedRun     map[jobs.TaskID]uint64       // newest run of a gang that is counted in failures, under the same id
	newestRun     map[jobs.TaskID]uint64       // number of the newest run that was started
	lastSeen      map[string]uint64            // highest End.N by runner
	fencedVersion map[string]uint64            // newest fenced version by job id
	endState      map[string]protocol.JobState // state of the jobs that have ended
}

func newModel() *model {
	return &model{
		state:         jobs.New(jobs.Options{}),
		nowMs:         startMs,
		specs:         map[string]protocol.JobSpec{},
		queues:        map[string]protocol.Queue{},
		running:       map[possibleRun]bool{},
		done:          map[jobs.TaskID]bool{},
		failures:      map[jobs.TaskID]int{},
		failedRun:     map[jobs.TaskID]uint64{},
		newestRun:     map[jobs.TaskID]uint64{},
		lastSeen:      map[string]uint64{},
		fencedVersion: map[string]uint64{},
		endState:      map[string]protocol.JobState{},
	}
}

// sortedPossible returns the runs that may exist, sorted so that drawing from them is reproducible.
func (m *model) sortedPossible() []possibleRun {
	return slices.SortedFunc(maps.Keys(m.running), func(a, b possibleRun) int {
		return slices.Compare([]string{a.task.String(), a.runner}, []string{b.task.String(), b.runner})
	})
}

func (m *model) step(id jobs.TaskID) *protocol.Step {
	spec := m.specs[id.Job]
	return &spec.Steps[id.Step]
}

// gangOf returns the id of the first task of a task's gang. The model counts the gang's failures under this id.
func (m *model) gangOf(id jobs.TaskID) jobs.TaskID {
	id.Index = 0
	return id
}

// observe applies a command and its effects to the model, and fails the test if an effect contradicts the model.
func (m *model) observe(t *rapid.T, c *jobs.Command, effects *jobs.Effects) {
	for i, submit := range c.Submits {
		m.observeSubmit(t, submit, effects.Submits[i])
	}
	for i, fence := range c.Fences {
		_, has := m.specs[fence.ID]
		if effects.Fences[i] != has {
			t.Fatalf("fence of job %s returned %v", fence.ID, effects.Fences[i])
		}
		if !has {
			m.fencedVersion[fence.ID] = max(m.fencedVersion[fence.ID], fence.Version)
		}
	}
	for i, end := range c.Ends {
		m.observeEnd(t, end, effects.Ends[i])
	}
	for i, loss := range c.Losses {
		run := possibleRun{loss.Task, loss.Run, loss.Runner}
		if effects.Losses[i] && !m.running[run] {
			t.Fatalf("loss of run %v was applied, but the run does not exist", run)
		}
		delete(m.running, run)
	}
	m.observeStarts(t, c.Starts, effects.Starts)
	for _, job := range effects.EndedJobs {
		if before := m.endState[job.ID]; before != "" {
			t.Fatalf("job %s ended twice, %s and %s", job.ID, before, job.State)
		}
		m.endState[job.ID] = job.State
	}
}

func (m *model) observeSubmit(t *rapid.T, submit jobs.Submit, effect jobs.SubmitEffect) {
	_, has := m.specs[submit.ID]
	want := jobs.Accepted
	switch {
	case has:
		want = jobs.Duplicate
	case m.fencedVersion[submit.ID] == protocol.EveryVersion:
		want = jobs.Withdrawn
	case submit.Version <= m.fencedVersion[submit.ID]:
		want = jobs.Fenced
	}
	if effect != want {
		t.Fatalf("submit of job %s had effect %d, want %d", submit.ID, effect, want)
	}
	if effect == jobs.Accepted {
		m.specs[submit.ID] = submit.Job
		m.queues[submit.ID] = submit.Queue
	}
}

func (m *model) observeEnd(t *rapid.T, end jobs.End, counts bool) {
	run := possibleRun{end.Task, end.Run, end.Runner}
	fresh := end.N > m.lastSeen[end.Runner]
	if counts && (!fresh || !m.running[run] || m.done[end.Task]) {
		t.Fatalf("end of run %v was applied, but the run does not exist or the end is not new", run)
	}
	if !fresh {
		return
	}
	m.lastSeen[end.Runner] = end.N
	if !m.running[run] {
		return
	}
	delete(m.running, run)
	if !counts || m.endState[end.Task.Job] != "" || m.step(end.Task).LongRunning {
		return
	}
	spec := m.specs[end.Task.Job]
	gang := m.step(end.Task).Gang
	switch {
	case end.Outcome == protocol.EndDone && gang:
		for index := range spec.Steps[end.Task.Step].Count {
			member := end.Task
			member.Index = index
			m.done[member] = true
		}
	case end.Outcome == protocol.EndDone:
		m.done[end.Task] = true
	case end.Outcome == protocol.EndFailed && gang:
		if m.failedRun[m.gangOf(end.Task)] < end.Run {
			m.failedRun[m.gangOf(end.Task)] = end.Run
			m.failures[m.gangOf(end.Task)]++
		}
	case end.Outcome == protocol.EndFailed:
		m.failures[end.Task]++
	}
}

func (m *model) observeStarts(t *rapid.T, starts []jobs.Start, applied []bool) {
	gangs := map[jobs.TaskID]int{}
	for i, start := range starts {
		if !applied[i] {
			continue
		}
		m.checkStart(t, start)
		if m.step(start.Task).Gang {
			gangs[m.gangOf(start.Task)]++
		}
	}
	for gang, members := range gangs {
		if members != m.step(gang).Count {
			t.Fatalf("%d members of gang %v were started", members, gang)
		}
	}
	for i, start := range starts {
		if applied[i] {
			m.running[possibleRun{start.Task, start.Run, start.Runner}] = true
			m.newestRun[start.Task] = start.Run
		}
	}
}

// checkStart fails the test if a start that the state applied breaks a rule.
func (m *model) checkStart(t *rapid.T, start jobs.Start) {
	for run := range m.running {
		sameGang := m.step(start.Task).Gang && m.gangOf(run.task) == m.gangOf(start.Task)
		if run.task == start.Task || sameGang {
			t.Fatalf("start %v was applied while run %v may exist", start, run)
		}
	}
	spec := m.specs[start.Task.Job]
	counted := start.Task
	if m.step(counted).Gang {
		counted = m.gangOf(counted)
	}
	maxAttempts := m.queues[start.Task.Job].MaxAttempts
	switch {
	case m.done[start.Task]:
		t.Fatalf("start %v was applied, but the task is done", start)
	case m.endState[start.Task.Job] != "":
		t.Fatalf("start %v was applied, but the job has ended", start)
	case start.Run != m.newestRun[start.Task]+1:
		t.Fatalf("start %v was applied after run %d", start, m.newestRun[start.Task])
	case maxAttempts > 0 && m.failures[counted] >= maxAttempts:
		t.Fatalf("start %v was applied after %d failures", start, m.failures[counted])
	case spec.Repetitions > 0 && spec.FirstRunMs+int64(start.Task.Repetition)*spec.IntervalMs > m.state.ClockMs():
		t.Fatalf("start %v was applied before its repetition fell due", start)
	}
	for _, earlier := range m.step(start.Task).DependsOn {
		if !m.allDone(start.Task.Job, start.Task.Repetition, earlier) {
			t.Fatalf("start %v was applied before step %d was done", start, earlier)
		}
	}
}

func (m *model) allDone(job string, repetition, step int) bool {
	for index := range m.specs[job].Steps[step].Count {
		if !m.done[jobs.TaskID{Job: job, Repetition: repetition, Step: step, Index: index}] {
			return false
		}
	}
	return true
}

func (m *model) allRepetitionsDone(job string) bool {
	spec := m.specs[job]
	for repetition := range max(1, spec.Repetitions) {
		for step := range spec.Steps {
			if !m.allDone(job, repetition, step) {
				return false
			}
		}
	}
	return true
}

// check compares the accessors of the state with the model.
func (m *model) check(t *rapid.T) {
	m.checkRuns(t)
	pending := map[jobs.TaskID]bool{}
	m.state.EachPending(func(task *jobs.Task) bool {
		pending[task.ID] = true
		if task.Phase != jobs.Pending || m.state.Task(task.ID) != task {
			t.Fatalf("%v is listed as pending but has another phase", task.ID)
		}
		return true
	})
	if len(pending) != m.state.PendingCount() {
		t.Fatalf("%d tasks are pending, but the state counts %d", len(pending), m.state.PendingCount())
	}
	unfinished := 0
	for job := range m.queues {
		state, known := m.state.StateOf(job)
		if !known {
			continue
		}
		completed := state == protocol.JobCompleted
		if completed != (m.allRepetitionsDone(job) && m.endState[job] != protocol.JobCancelled) && m.endState[job] != protocol.JobFailed {
			t.Fatalf("job %s is %s; all its tasks are done: %v", job, state, m.allRepetitionsDone(job))
		}
		if m.endState[job] != "" && state != m.endState[job] {
			t.Fatalf("job %s is %s after it ended as %s", job, state, m.endState[job])
		}
		if m.endState[job] == "" {
			unfinished++
		}
	}
	if unfinished != m.state.UnfinishedJobs("q") {
		t.Fatalf("%d jobs are unfinished, but the state counts %d", unfinished, m.state.UnfinishedJobs("q"))
	}
}

// checkRuns compares the runs of all runners, lingering ones included, with the model.
func (m *model) checkRuns(t *rapid.T) {
	var shown []possibleRun
	for _, runner := range m.state.Runners() {
		for _, task := range m.state.RunsOn(runner) {
			shown = append(shown, possibleRun{task.ID, task.Run, runner})
		}
		for _, lingering := range m.state.LingeringOn(runner) {
			shown = append(shown, possibleRun{lingering.Task, lingering.Run, runner})
		}
	}
	if len(shown) != len(m.running) {
		t.Fatalf("the state has %d runs, the model %d: %v, %v", len(shown), len(m.running), shown, m.sortedPossible())
	}
	for _, run := range shown {
		if !m.running[run] {
			t.Fatalf("the state has run %v, which cannot exist", run)
		}
	}
}
