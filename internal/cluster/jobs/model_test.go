package jobs_test

import (
	"maps"
	"slices"

	"pgregory.net/rapid"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// possibleRun is a run that may exist, according to a model.
type possibleRun struct {
	task   jobs.TaskID
	run    uint64
	runner string
}

// model is an independent model of a shard, derived only from commands and effects.
type model struct {
	state *jobs.State
	nowMs int64

	specs     map[string]protocol.JobSpec
	queues    map[string]protocol.Queue
	running   map[possibleRun]bool
	done      map[jobs.TaskID]bool
	fails     map[jobs.TaskID]int // ends `failed` of current runs; those of a gang under its index 0
	failedRun map[jobs.TaskID]uint64
	newest    map[jobs.TaskID]uint64
	lastSeen  map[string]uint64
	fenced    map[string]uint64 // the newest version
	ended     map[string]protocol.JobState
}

func newModel() *model {
	return &model{
		state:     jobs.New(jobs.Options{}),
		nowMs:     startMs,
		specs:     map[string]protocol.JobSpec{},
		queues:    map[string]protocol.Queue{},
		running:   map[possibleRun]bool{},
		done:      map[jobs.TaskID]bool{},
		fails:     map[jobs.TaskID]int{},
		failedRun: map[jobs.TaskID]uint64{},
		newest:    map[jobs.TaskID]uint64{},
		lastSeen:  map[string]uint64{},
		fenced:    map[string]uint64{},
		ended:     map[string]protocol.JobState{},
	}
}

func (m *model) sortedPossible() []possibleRun {
	return slices.SortedFunc(maps.Keys(m.running), func(a, b possibleRun) int {
		return slices.Compare([]string{a.task.String(), a.runner}, []string{b.task.String(), b.runner})
	})
}

func (m *model) step(id jobs.TaskID) *protocol.Step {
	spec := m.specs[id.Job]
	return &spec.Steps[id.Step]
}

func (m *model) gangOf(id jobs.TaskID) jobs.TaskID {
	id.Index = 0
	return id
}

// observe applies a command and its effects to the model, and fails where they break a rule.
func (m *model) observe(t *rapid.T, c *jobs.Command, effects *jobs.Effects) {
	for i, submit := range c.Submits {
		m.observeSubmit(t, submit, effects.Submits[i])
	}
	for i, fence := range c.Fences {
		_, has := m.specs[fence.ID]
		if effects.Fences[i] != has {
			t.Fatalf("fence of %s says %v", fence.ID, effects.Fences[i])
		}
		if !has {
			m.fenced[fence.ID] = max(m.fenced[fence.ID], fence.Version)
		}
	}
	for i, end := range c.Ends {
		m.observeEnd(t, end, effects.Ends[i])
	}
	for i, loss := range c.Losses {
		run := possibleRun{loss.Task, loss.Run, loss.Runner}
		if effects.Losses[i] && !m.running[run] {
			t.Fatalf("loss of %v counts, which does not exist", run)
		}
		delete(m.running, run)
	}
	m.observeStarts(t, c.Starts, effects.Starts)
	for _, job := range effects.EndedJobs {
		if before := m.ended[job.ID]; before != "" {
			t.Fatalf("job %s ended twice, %s and %s", job.ID, before, job.State)
		}
		m.ended[job.ID] = job.State
	}
}

func (m *model) observeSubmit(t *rapid.T, submit jobs.Submit, effect jobs.SubmitEffect) {
	_, has := m.specs[submit.ID]
	want := jobs.Accepted
	switch {
	case has:
		want = jobs.Duplicate
	case submit.Version <= m.fenced[submit.ID]:
		want = jobs.Fenced
	}
	if effect != want {
		t.Fatalf("submit of %s: %d, want %d", submit.ID, effect, want)
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
		t.Fatalf("end of %v counts", run)
	}
	if !fresh {
		return
	}
	m.lastSeen[end.Runner] = end.N
	if !m.running[run] {
		return
	}
	delete(m.running, run)
	if !counts || m.ended[end.Task.Job] != "" || m.step(end.Task).LongRunning {
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
			m.fails[m.gangOf(end.Task)]++
		}
	case end.Outcome == protocol.EndFailed:
		m.fails[end.Task]++
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
			t.Fatalf("%d members of %v were started", members, gang)
		}
	}
	for i, start := range starts {
		if applied[i] {
			m.running[possibleRun{start.Task, start.Run, start.Runner}] = true
			m.newest[start.Task] = start.Run
		}
	}
}

func (m *model) checkStart(t *rapid.T, start jobs.Start) {
	for run := range m.running {
		sameGang := m.step(start.Task).Gang && m.gangOf(run.task) == m.gangOf(start.Task)
		if run.task == start.Task || sameGang {
			t.Fatalf("start of %v while %v may exist", start, run)
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
		t.Fatalf("start of %v, which is done", start)
	case m.ended[start.Task.Job] != "":
		t.Fatalf("start of %v, whose job has ended", start)
	case start.Run != m.newest[start.Task]+1:
		t.Fatalf("start of %v after run %d", start, m.newest[start.Task])
	case maxAttempts > 0 && m.fails[counted] >= maxAttempts:
		t.Fatalf("start of %v after %d failures", start, m.fails[counted])
	case spec.Repetitions > 0 && spec.FirstRunMs+int64(start.Task.Repetition)*spec.IntervalMs > m.state.ClockMs():
		t.Fatalf("start of %v before its time", start)
	}
	for _, earlier := range m.step(start.Task).DependsOn {
		if !m.allDone(start.Task.Job, start.Task.Repetition, earlier) {
			t.Fatalf("start of %v before step %d is done", start, earlier)
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

// check compares what the state shows with the model.
func (m *model) check(t *rapid.T) {
	m.checkRuns(t)
	pending := map[jobs.TaskID]bool{}
	m.state.EachPending(func(task *jobs.Task) bool {
		pending[task.ID] = true
		if task.Phase != jobs.Pending || m.state.Task(task.ID) != task {
			t.Fatalf("%v is listed as pending", task.ID)
		}
		return true
	})
	if len(pending) != m.state.PendingCount() {
		t.Fatalf("%d tasks pending, %d counted", len(pending), m.state.PendingCount())
	}
	unfinished := 0
	for job := range m.queues {
		state, known := m.state.StateOf(job)
		if !known {
			continue
		}
		completed := state == protocol.JobCompleted
		if completed != (m.allRepetitionsDone(job) && m.ended[job] != protocol.JobCancelled) && m.ended[job] != protocol.JobFailed {
			t.Fatalf("job %s is %s, all done %v", job, state, m.allRepetitionsDone(job))
		}
		if m.ended[job] != "" && state != m.ended[job] {
			t.Fatalf("job %s is %s after %s", job, state, m.ended[job])
		}
		if m.ended[job] == "" {
			unfinished++
		}
	}
	if unfinished != m.state.UnfinishedJobs("q") {
		t.Fatalf("%d jobs unfinished, %d counted", unfinished, m.state.UnfinishedJobs("q"))
	}
}

// checkRuns compares the runs that occupy capacity, runner by runner.
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
		t.Fatalf("%d runs shown, %d may exist: %v, %v", len(shown), len(m.running), shown, m.sortedPossible())
	}
	for _, run := range shown {
		if !m.running[run] {
			t.Fatalf("%v is shown, and cannot exist", run)
		}
	}
}
