package jobs

// taskList is a list of tasks in ascending order of Task.sequence, doubly linked through Task.previous and Task.next. A task
// is in at most one list: a Pending task in the list of its priority, a Running task in the list of its runner.
type taskList struct {
	first, last *Task
	count       int
}

func (l *taskList) push(t *Task) {
	t.previous, t.next = l.last, nil
	if l.last == nil {
		l.first = t
	} else {
		l.last.next = t
	}
	l.last = t
	l.count++
}

func (l *taskList) remove(t *Task) {
	if t.previous == nil {
		l.first = t.next
	} else {
		t.previous.next = t.next
	}
	if t.next == nil {
		l.last = t.previous
	} else {
		t.next.previous = t.previous
	}
	t.previous, t.next = nil, nil
	l.count--
}
