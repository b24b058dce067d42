package simulation

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskName identifies a task: the parts of the name that runners get.
type TaskName struct {
	Job        string
	Repetition int
	Step       int
	Index      int
}

// String returns the name as runners get it.
func (t TaskName) String() string {
	return t.Job + "." + strconv.Itoa(t.Repetition) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskName returns the task of that name, and whether it is one.
func ParseTaskName(text string) (TaskName, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskName{}, false
	}
	name := TaskName{Job: parts[0]}
	for i, field := range []*int{&name.Repetition, &name.Step, &name.Index} {
		value, err := strconv.Atoi(parts[i+1])
		if err != nil || value < 0 {
			return TaskName{}, false
		}
		*field = value
	}
	return name, true
}

// step returns the name of the task's step.
func (t TaskName) step() stepName { return stepName{t.Job, t.Repetition, t.Step} }

// stepName identifies a step of one repetition of a job.
type stepName struct {
	Job        string
	Repetition int
	Step       int
}

// formatCheckpoint returns the checkpoint of a task that has done so much work. All members of a gang have the same.
func formatCheckpoint(task TaskName, gang bool, doneMs float64) string {
	index := strconv.Itoa(task.Index)
	if gang {
		index = "all"
	}
	return fmt.Sprintf("%s/%d/%d/%s@%.1f", task.Job, task.Repetition, task.Step, index, doneMs)
}

// parseCheckpoint returns the work that a checkpoint records, and whether it is one of that task.
func parseCheckpoint(task TaskName, gang bool, text string) (doneMs float64, ok bool) {
	owner, amount, found := strings.Cut(text, "@")
	want, _, _ := strings.Cut(formatCheckpoint(task, gang, 0), "@")
	if !found || owner != want {
		return 0, false
	}
	doneMs, err := strconv.ParseFloat(amount, 64)
	return doneMs, err == nil
}
