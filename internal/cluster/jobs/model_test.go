package jobs_test

import (
	"maps"
	"slices"

	"pgregory.net/rapid"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// aliveRun is a run that may exist, as the ledger of a model knows it.
type aliveRun struct {
	task   jobs.TaskID
	run    uint64
	runner string
}

// model is an independent ledger of what a shard was told, kept only from commands and effects.
type model struct {
	state *jobs.State
	nowMs int64

	specs     map[string]protocol.JobSpec
	queues    map[string]protocol.Queue
	alive     map[aliveRun]bool
	done      map[jobs.TaskID]bool
	fails     map[jobs.TaskID]int // ends `failed` of present runs; those of a gang under its index 0
	failedRun map[jobs.TaskID]uint64
	newest    map[jobs.TaskID]uint64
	lastSeen  map[string]uint64
	fenced    map[string]uint64 // the newest version
	ended     map[string]string
}

func newModel() *model {
	return &model{
		state:     jobs.New(jobs.Options{}),
		nowMs:     startMs,
		specs:     map[string]protocol.JobSpec{},
		queues:    map[string]protocol.Queue{},
		alive:     map[aliveRun]bool{},
		done:      map[jobs.TaskID]bool{},
		fails:     map[jobs.TaskID]int{},
		failedRun: map[jobs.TaskID]uint64{},
		newest:    map[jobs.TaskID]uint64{},
		lastSeen:  map[string]uint64{},
		fenced:    map[string]uint64{},
		ended:     map[string]string{},
	}
}

func (m *model) sortedAlive() []aliveRun {
	return slices.SortedFunc(maps.Keys(m.alive), func(a, b aliveRun) int {
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

// observe enters a command and its effects in the ledger, and fails where they break a rule.
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
		run := aliveRun{loss.Task, loss.Run, loss.Runner}
		if effects.Losses[i] && !m.alive[run] {
			t.Fatalf("loss of %v counts, which isn't alive", run)
		}
		delete(m.alive, run)
	}
	m.observeStarts(t, c.Starts, effects.Starts)
	for _, job := range effects.Over {
		if before := m.ended[job.ID]; before != "" {
			t.Fatalf("job %s ended twice, %s and %s", job.ID, before, job.State)
		}
		m.ended[job.ID] = job.State
	}
}

func (m *model) observeSubmit(t *rapid.T, submit jobs.Submit, effect jobs.SubmitEffect) {
	_, has := m.specs[submit.ID]
	want := jobs.Taken
	switch {
	case has:
		want = jobs.Known
	case submit.Version <= m.fenced[submit.ID]:
		want = jobs.Fenced
	}
	if effect != want {
		t.Fatalf("hand-in of %s: %d, want %d", submit.ID, effect, want)
	}
	if effect == jobs.Taken {
		m.specs[submit.ID] = submit.Job
		m.queues[submit.ID] = submit.Queue
	}
}

func (m *model) observeEnd(t *rapid.T, end jobs.End, counts bool) {
	run := aliveRun{end.Task, end.Run, end.Runner}
	fresh := end.N > m.lastSeen[end.Runner]
	if counts && (!fresh || !m.alive[run] || m.done[end.Task]) {
		t.Fatalf("end of %v counts", run)
	}
	if !fresh {
		return
	}
	m.lastSeen[end.Runner] = end.N
	if !m.alive[run] {
		return
	}
	delete(m.alive, run)
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
			m.alive[aliveRun{start.Task, start.Run, start.Runner}] = true
			m.newest[start.Task] = start.Run
		}
	}
}

func (m *model) checkStart(t *rapid.T, start jobs.Start) {
	for run := range m.alive {
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
	most := m.queues[start.Task.Job].MaxAttempts
	switch {
	case m.done[start.Task]:
		t.Fatalf("start of %v, which is done", start)
	case m.ended[start.Task.Job] != "":
		t.Fatalf("start of %v, whose job is over", start)
	case start.Run != m.newest[start.Task]+1:
		t.Fatalf("start of %v after run %d", start, m.newest[start.Task])
	case most > 0 && m.fails[counted] >= most:
		t.Fatalf("start of %v after %d failures", start, m.fails[counted])
	case spec.Repetitions > 0 && spec.FirstRunMs+int64(start.Task.Time)*spec.IntervalMs > m.state.ClockMs():
		t.Fatalf("start of %v before its time", start)
	}
	for _, earlier := range m.step(start.Task).DependsOn {
		if !m.allDone(start.Task.Job, start.Task.Time, earlier) {
			t.Fatalf("start of %v before step %d is done", start, earlier)
		}
	}
}

func (m *model) allDone(job string, time, step int) bool {
	for index := range m.specs[job].Steps[step].Count {
		if !m.done[jobs.TaskID{Job: job, Time: time, Step: step, Index: index}] {
			return false
		}
	}
	return true
}

func (m *model) allTimesDone(job string) bool {
	spec := m.specs[job]
	for time := range max(1, spec.Repetitions) {
		for step := range spec.Steps {
			if !m.allDone(job, time, step) {
				return false
			}
		}
	}
	return true
}

// check compares what the state shows with the ledger.
func (m *model) check(t *rapid.T) {
	m.checkRuns(t)
	held := map[jobs.TaskID]bool{}
	m.state.EachPending(func(task *jobs.Task) bool {
		held[task.ID] = true
		if task.Phase != jobs.Pending || m.state.Task(task.ID) != task {
			t.Fatalf("%v is listed as held", task.ID)
		}
		return true
	})
	if len(held) != m.state.PendingCount() {
		t.Fatalf("%d held, %d counted", len(held), m.state.PendingCount())
	}
	pending := 0
	for job := range m.queues {
		state, known := m.state.StateOf(job)
		if !known {
			continue
		}
		completed := state == protocol.JobCompleted
		if completed != (m.allTimesDone(job) && m.ended[job] != protocol.JobCancelled) && m.ended[job] != protocol.JobFailed {
			t.Fatalf("job %s is %s, all done %v", job, state, m.allTimesDone(job))
		}
		if m.ended[job] != "" && state != m.ended[job] {
			t.Fatalf("job %s is %s after %s", job, state, m.ended[job])
		}
		if m.ended[job] == "" {
			pending++
		}
	}
	if pending != m.state.Pending("q") {
		t.Fatalf("%d pending, %d counted", pending, m.state.Pending("q"))
	}
}

// checkRuns compares the runs that take room, runner by runner.
func (m *model) checkRuns(t *rapid.T) {
	var shown []aliveRun
	for _, runner := range m.state.Runners() {
		for _, task := range m.state.RunsOn(runner) {
			shown = append(shown, aliveRun{task.ID, task.Run, runner})
		}
		for _, lingering := range m.state.LingeringOn(runner) {
			shown = append(shown, aliveRun{lingering.Task, lingering.Run, runner})
		}
	}
	if len(shown) != len(m.alive) {
		t.Fatalf("%d runs shown, %d alive: %v, %v", len(shown), len(m.alive), shown, m.sortedAlive())
	}
	for _, run := range shown {
		if !m.alive[run] {
			t.Fatalf("%v is shown, and not alive", run)
		}
	}
}
