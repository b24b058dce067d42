package jobs

// taskList is a list of tasks linked through the tasks themselves, in order of their sequence. A task is in one list
// at most: that of pending tasks of its priority, or that of its runner.
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
