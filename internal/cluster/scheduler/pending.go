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

// deadlineClass says which deadline of its job a step can still meet if its tasks start now. A job has two deadlines: its
// objective, after which it is late and its value is reduced, and its expiry, after which its value is zero (see timeLeft).
type deadlineClass uint8

const (
	classOnTime  deadlineClass = iota // the job can end by its objective
	classLate                         // the job can end by its expiry, but not by its objective
	classExpired                      // the job can't end by its expiry
)

// minReclassifyInterval is the shortest time between two classifications of a step at which its class was due to change.
const minReclassifyInterval = 50 * time.Millisecond

// pendingStep is the entry of a group in the index of pending steps.
type pendingStep struct {
	group      *jobs.Group
	class      deadlineClass
	changesAt  time.Duration // time at which the class is expected to change; only valid while the step is in the heap
	heapIndex  int           // position in pendingSteps.changes, or notInHeap
	list       *list.List    // the list of its class; nil while it is aged
	element    *list.Element // its element of list
	aged       bool          // the step is expired and promoted, see promoteAged
	promotedAt time.Duration // time of that promotion
}

// never is the changesAt of a step if time doesn't change its class.
const never = time.Duration(math.MaxInt64)

// pendingSteps is an index of the groups with pending tasks, by service, deadline class and priority. A round takes the
// tasks that it considers from it in order of rank, at a cost that doesn't grow with the number of expired tasks.
//
// The index learns of groups when a task becomes pending, and of jobs when they end. It doesn't learn of starts: a group
// without pending tasks stays until a round takes its step. A heap orders the steps by the time at which their class
// is expected to change.
type pendingSteps struct {
	classify func(now time.Duration, group *jobs.Group) (class deadlineClass, changesAt time.Duration)
	steps    map[*jobs.Group]*pendingStep
	changes  changeHeap
	services map[string]*servicePending
}

// servicePending has the pending steps of one service. Each step is in exactly one of the lists, or in aged.
type servicePending struct {
	unexpired map[int]*unexpiredSteps // by priority
	expired   list.List               // of *pendingStep, a round-robin queue: the first has waited longest for its turn
	aged      []*pendingStep          // steps promoted from expired, by time of promotion
}

// unexpiredSteps has the unexpired steps of one priority. Its lists are round-robin queues: a step is added at the end
// when it becomes pending or changes its class, and moves there when a round that couldn't consider all steps hasn't
// started it.
type unexpiredSteps struct {
	onTime, late list.List // of *pendingStep
}

// newPendingSteps returns an index without steps. classify returns the class of a group at a time, and when the class is
// expected to change: never if it stays.
func newPendingSteps(classify func(time.Duration, *jobs.Group) (deadlineClass, time.Duration)) pendingSteps {
	return pendingSteps{
		classify: classify,
		steps:    map[*jobs.Group]*pendingStep{},
		services: map[string]*servicePending{},
	}
}

// add adds a group when one of its tasks has become pending, unless the index has the group or its job has ended.
func (p *pendingSteps) add(now time.Duration, group *jobs.Group) {
	if p.steps[group] != nil || group.Job.Ended() {
		return
	}
	step := &pendingStep{group: group, heapIndex: notInHeap}
	p.steps[group] = step
	p.enqueue(now, step)
}

// remove removes a group, if the index has it.
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

// reclassify classifies the steps again that were expected to change their class by now, and moves each to the list of
// its class.
func (p *pendingSteps) reclassify(now time.Duration) {
	for len(p.changes) > 0 && p.changes[0].changesAt <= now {
		step := p.changes[0]
		p.detach(step)
		p.enqueue(now, step)
	}
}

// enqueue classifies a step and adds it to the list of its class, and to the heap unless its class never changes.
func (p *pendingSteps) enqueue(now time.Duration, step *pendingStep) {
	class, changesAt := p.classify(now, step.group)
	step.class = class
	service := p.service(step.group.Job.Queue.Service)
	if class == classExpired {
		step.list = &service.expired
		step.element = service.addExpired(step)
		return
	}
	step.list = service.unexpiredList(step.group.Job.Queue.Priority, class)
	step.element = step.list.PushBack(step)
	if changesAt != never {
		step.changesAt = max(changesAt, now+minReclassifyInterval)
		heap.Push(&p.changes, step)
	}
}

// addExpired adds an expired step: at the front if tasks of its job are done or running, so that jobs that have begun are
// completed first, else at the end.
func (s *servicePending) addExpired(step *pendingStep) *list.Element {
	if done, running, _ := step.group.Job.Progress(); done+running > 0 {
		return s.expired.PushFront(step)
	}
	return s.expired.PushBack(step)
}

// detach removes a step from its list or from the aged steps, and from the heap.
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
		known = &servicePending{unexpired: map[int]*unexpiredSteps{}}
		p.services[name] = known
	}
	return known
}

// unexpiredList returns the list of the steps of a priority and a class, which isn't classExpired.
func (s *servicePending) unexpiredList(priority int, class deadlineClass) *list.List {
	known := s.unexpired[priority]
	if known == nil {
		known = &unexpiredSteps{}
		s.unexpired[priority] = known
	}
	if class == classOnTime {
		return &known.onTime
	}
	return &known.late
}

// serviceNames returns the services with pending steps, sorted. It drops services without pending steps from the index.
func (p *pendingSteps) serviceNames() []string {
	maps.DeleteFunc(p.services, func(_ string, s *servicePending) bool { return s.isEmpty() })
	return slices.Sorted(maps.Keys(p.services))
}

// isEmpty reports whether the service has no pending step.
func (s *servicePending) isEmpty() bool {
	for _, steps := range s.unexpired {
		if steps.onTime.Len()+steps.late.Len() > 0 {
			return false
		}
	}
	return s.expired.Len() == 0 && len(s.aged) == 0
}

// takeUnexpired returns unexpired pending tasks of a service: at most limit, but the last gang completely. It selects
// all tasks that can be on time before late tasks, even if these have higher priorities. Within a class it selects by
// priority. It returns the selected tasks in order of priority, and by class within a priority. truncated reports
// whether the limit was reached, so that there may be more tasks.
func (p *pendingSteps) takeUnexpired(service string, limit int) (tasks []*jobs.Task, truncated bool) {
	s := p.service(service)
	priorities := slices.Sorted(maps.Keys(s.unexpired))
	byPriority := make([][]*jobs.Task, len(priorities))
	taken := 0
	for _, class := range []deadlineClass{classOnTime, classLate} {
		for i, priority := range priorities {
			tasks := p.take(s.unexpiredList(priority, class), limit-taken)
			taken += len(tasks)
			byPriority[i] = append(byPriority[i], tasks...)
		}
	}
	return slices.Concat(byPriority...), taken >= limit
}

// take returns the pending tasks of the steps in a list, from the first step on: at most limit, but the last gang
// completely. It removes steps without pending tasks.
func (p *pendingSteps) take(steps *list.List, limit int) (tasks []*jobs.Task) {
	for element := steps.Front(); element != nil && len(tasks) < limit; {
		step := element.Value.(*pendingStep)
		element = element.Next()
		tasks = p.takeStep(step, tasks, limit)
	}
	return tasks
}

// takeStep appends the pending tasks of a step to tasks, up to a total of limit; a gang is appended completely. It
// removes a step without pending tasks.
func (p *pendingSteps) takeStep(step *pendingStep, tasks []*jobs.Task, limit int) []*jobs.Task {
	before := len(tasks)
	tasks = appendPending(tasks, step.group, limit)
	if len(tasks) == before {
		p.remove(step.group)
	}
	return tasks
}

// appendPending appends the pending tasks of a group to tasks, up to a total of limit; a gang is appended completely.
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

// takeExpired returns expired pending tasks of a service, without aged ones: at most limit, but the last gang completely.
func (p *pendingSteps) takeExpired(service string, limit int) []*jobs.Task {
	return p.take(&p.service(service).expired, limit)
}

// requeueUnstarted moves each step that a round has considered without starting any of its tasks to the end of its
// list, so that the steps of a list take turns. It also classifies these steps again, because the runtime predictions
// may have changed. A step with a changed class moves to the list of the new class. It leaves aged steps where they are.
func (p *pendingSteps) requeueUnstarted(now time.Duration, considered []*jobs.Task, started map[*jobs.Group]bool) {
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

// groupsOf returns the groups of tasks, in the order of the tasks. Tasks of one group must be adjacent.
func groupsOf(tasks []*jobs.Task) (groups []*jobs.Group) {
	for i, task := range tasks {
		if i == 0 || task.Group != tasks[i-1].Group {
			groups = append(groups, task.Group)
		}
	}
	return groups
}
