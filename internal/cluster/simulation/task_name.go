package simulation

import (
	"fmt"
	"strconv"
	"strings"
)

// String returns the name as runners get it.
func (t TaskName) String() string {
	return t.Job + "." + strconv.Itoa(t.Repetition) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskName reads a task's name.
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

// stepName is a step of a job at one time.
type stepName struct {
	Job        string
	Repetition int
	Step       int
}

func (t TaskName) step() stepName { return stepName{t.Job, t.Repetition, t.Step} }

// formatCheckpoint is what a task (a gang for all its members) has saved.
func formatCheckpoint(task TaskName, gang bool, doneMs float64) string {
	index := strconv.Itoa(task.Index)
	if gang {
		index = "all"
	}
	return fmt.Sprintf("%s/%d/%d/%s@%.1f", task.Job, task.Repetition, task.Step, index, doneMs)
}

// parseCheckpoint returns the work that a checkpoint of a task holds.
func parseCheckpoint(task TaskName, gang bool, text string) (doneMs float64, ok bool) {
	owner, amount, found := strings.Cut(text, "@")
	want, _, _ := strings.Cut(formatCheckpoint(task, gang, 0), "@")
	if !found || owner != want {
		return 0, false
	}
	doneMs, err := strconv.ParseFloat(amount, 64)
	return doneMs, err == nil
}
