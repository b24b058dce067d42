package scheduler

import (
	"container/heap"
	"container/list"
	"maps"
	"math"
	"slices"
	"time"

	"ospreypond/internal/cluster/jobs"
)

// valueClass is what a pending step can still contribute to its job's value, if it is started now.
type valueClass uint8

const (
	fullValue valueClass = iota // the job can meet its objective
	lateValue                   // the job can still earn the value of a late one
	noValue                     // neither
)

// minReclassifyInterval is the least time until the class of a step is looked at again.
const minReclassifyInterval = 50 * time.Millisecond

// pendingStep is a group with pending tasks.
type pendingStep struct {
	group     *jobs.Group
	class     valueClass
	changesAt time.Duration // when its class is expected to change
	heapIndex int           // in pendingSteps.changes; notInHeap if its class does not change
	list      *list.List    // that of its class
	element   *list.Element // in list
	aged      bool          // it is run though it has no value
	agedSince time.Duration
}

// never is the time of what does not happen.
const never = time.Duration(math.MaxInt64)

// pendingSteps are the groups with pending tasks, by service and by value class, so that a round considers those first
// that can earn most, at a cost that does not grow with those that have no value any more. A step changes its class when
// its time is over, by a heap of these times. Tasks that have started are found out when a round comes to their step.
type pendingSteps struct {
	classify func(now time.Duration, group *jobs.Group) (class valueClass, changesAt time.Duration)
	steps    map[*jobs.Group]*pendingStep
	changes  changeHeap
	services map[string]*servicePending
}

// servicePending are the pending steps of one service.
type servicePending struct {
	earning   map[int]*earningSteps // by priority
	worthless list.List             // of *pendingStep; the one that has waited longest for its turn is the first
	aged      []*pendingStep        // taken from worthless, the oldest first
}

// earningSteps are the steps of one priority that still have value, in the order in which they became pending.
type earningSteps struct {
	full, late list.List // of *pendingStep
}

// newPendingSteps returns an index without steps. classify returns the present class of a group and when it changes; never
// if it stays.
func newPendingSteps(classify func(time.Duration, *jobs.Group) (valueClass, time.Duration)) pendingSteps {
	return pendingSteps{
		classify: classify,
		steps:    map[*jobs.Group]*pendingStep{},
		services: map[string]*servicePending{},
	}
}

// add adds a group of which a task has become pending.
func (p *pendingSteps) add(now time.Duration, group *jobs.Group) {
	if p.steps[group] != nil || group.Job.Ended() {
		return
	}
	step := &pendingStep{group: group, heapIndex: notInHeap}
	p.steps[group] = step
	p.enqueue(now, step)
}

// remove removes a group that has no pending task any more.
func (p *pendingSteps) remove(group *jobs.Group) {
	step := p.steps[group]
	if step == nil {
		return
	}
	delete(p.steps, group)
	p.detach(step)
}

// removeJob removes all groups of a job that has ended.
func (p *pendingSteps) removeJob(job *jobs.Job) {
	for _, group := range job.Groups {
		p.remove(group)
	}
}

// reclassify moves the steps whose class has changed by now.
func (p *pendingSteps) reclassify(now time.Duration) {
	for len(p.changes) > 0 && p.changes[0].changesAt <= now {
		step := p.changes[0]
		p.detach(step)
		p.enqueue(now, step)
	}
}

// enqueue puts a step into the list of its present class.
func (p *pendingSteps) enqueue(now time.Duration, step *pendingStep) {
	class, changesAt := p.classify(now, step.group)
	step.class = class
	service := p.service(step.group.Job.Queue.Service)
	if class == noValue {
		step.list = &service.worthless
		step.element = service.addWorthless(step)
		return
	}
	step.list = service.earningList(step.group.Job.Queue.Priority, class)
	step.element = step.list.PushBack(step)
	if changesAt != never {
		step.changesAt = max(changesAt, now+minReclassifyInterval)
		heap.Push(&p.changes, step)
	}
}

// addWorthless adds a step that has no value; those of jobs that have begun go first, so that these are completed.
func (s *servicePending) addWorthless(step *pendingStep) *list.Element {
	if done, running, _ := step.group.Job.Progress(); done+running > 0 {
		return s.worthless.PushFront(step)
	}
	return s.worthless.PushBack(step)
}

// detach takes a step out of its list and out of the heap.
func (p *pendingSteps) detach(step *pendingStep) {
	if step.heapIndex != notInHeap {
		heap.Remove(&p.changes, step.heapIndex)
	}
	if step.aged {
		service := p.service(step.group.Job.Queue.Service)
		service.aged = slices.DeleteFunc(service.aged, func(other *pendingStep) bool { return other == step })
		step.aged = false
	}
	if step.list != nil {
		step.list.Remove(step.element)
		step.list, step.element = nil, nil
	}
}

// service returns the pending steps of a service.
func (p *pendingSteps) service(name string) *servicePending {
	known := p.services[name]
	if known == nil {
		known = &servicePending{earning: map[int]*earningSteps{}}
		p.services[name] = known
	}
	return known
}

// earningList returns the list of the steps of a priority and a class that has value.
func (s *servicePending) earningList(priority int, class valueClass) *list.List {
	known := s.earning[priority]
	if known == nil {
		known = &earningSteps{}
		s.earning[priority] = known
	}
	if class == fullValue {
		return &known.full
	}
	return &known.late
}

// serviceNames returns the services with pending steps, sorted.
func (p *pendingSteps) serviceNames() []string {
	maps.DeleteFunc(p.services, func(_ string, s *servicePending) bool { return s.isEmpty() })
	return slices.Sorted(maps.Keys(p.services))
}

// isEmpty reports whether the service has no pending step.
func (s *servicePending) isEmpty() bool {
	for _, steps := range s.earning {
		if steps.full.Len()+steps.late.Len() > 0 {
			return false
		}
	}
	return s.worthless.Len() == 0 && len(s.aged) == 0
}

// takeEarning returns the pending tasks of a service that still have value, in order of priority: at most limit, but a
// gang is complete. What can be on time is preferred to what is late, whatever the priority. truncated reports whether
// there are more.
func (p *pendingSteps) takeEarning(service string, limit int) (tasks []*jobs.Task, truncated bool) {
	s := p.service(service)
	priorities := slices.Sorted(maps.Keys(s.earning))
	byPriority := make([][]*jobs.Task, len(priorities))
	taken := 0
	for _, class := range []valueClass{fullValue, lateValue} {
		for i, priority := range priorities {
			tasks := p.take(s.earningList(priority, class), limit-taken)
			taken += len(tasks)
			byPriority[i] = append(byPriority[i], tasks...)
		}
	}
	return slices.Concat(byPriority...), taken >= limit
}

// take returns the pending tasks of the steps in a list, from the first on: at most limit, but a gang is complete. Steps
// without pending tasks are removed.
func (p *pendingSteps) take(steps *list.List, limit int) (tasks []*jobs.Task) {
	for element := steps.Front(); element != nil && len(tasks) < limit; {
		step := element.Value.(*pendingStep)
		element = element.Next()
		tasks = p.takeStep(step, tasks, limit)
	}
	return tasks
}

// takeStep appends the pending tasks of a step, up to limit in all, but a gang completely. It removes a step without any.
func (p *pendingSteps) takeStep(step *pendingStep, tasks []*jobs.Task, limit int) []*jobs.Task {
	before := len(tasks)
	tasks = appendPending(tasks, step.group, limit)
	if len(tasks) == before {
		p.remove(step.group)
	}
	return tasks
}

// appendPending appends the pending tasks of a group, up to limit in all, but a gang completely.
func appendPending(tasks []*jobs.Task, group *jobs.Group, limit int) []*jobs.Task {
	for _, task := range group.Tasks {
		if len(tasks) >= limit && !group.Spec().Gang {
			break
		}
		if task.Phase == jobs.Pending {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// takeWorthless returns pending tasks of a service that have no value any more, at most limit, but a gang is complete.
func (p *pendingSteps) takeWorthless(service string, limit int) []*jobs.Task {
	return p.take(&p.service(service).worthless, limit)
}

// passOver moves the steps that a round has considered and of which it has started nothing behind the others of their
// class, so that each gets its turn. Their class is found anew, as predictions may have changed.
func (p *pendingSteps) passOver(now time.Duration, considered []*jobs.Task, started map[*jobs.Group]bool) {
	for _, group := range groupsOf(considered) {
		step := p.steps[group]
		if step == nil || step.list == nil || started[group] {
			continue
		}
		if class, _ := p.classify(now, group); class != step.class {
			p.detach(step)
			p.enqueue(now, step)
			continue
		}
		step.list.MoveToBack(step.element)
	}
}

// groupsOf returns the groups of tasks in their order; tasks of one group follow one another.
func groupsOf(tasks []*jobs.Task) (groups []*jobs.Group) {
	for i, task := range tasks {
		if i == 0 || task.Group != tasks[i-1].Group {
			groups = append(groups, task.Group)
		}
	}
	return groups
}
