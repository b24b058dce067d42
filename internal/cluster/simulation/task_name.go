package simulation

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskName identifies a task. Runners get it as text, see String.
type TaskName struct {
	Job        string // the job's id
	Repetition int    // all numbers count from 0
	Step       int
	Index      int // of the task in its step
}

// String returns the name as runners get it: JOB.REPETITION.STEP.INDEX.
func (t TaskName) String() string {
	return t.Job + "." + strconv.Itoa(t.Repetition) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskName parses a text in the form that String returns, and reports whether the text has that form.
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

// formatCheckpoint returns the checkpoint of a task that has done doneMs of its work: JOB/REPETITION/STEP/INDEX@DONEMS. The
// members of a gang have "all" in place of the index, because they share their checkpoints.
func formatCheckpoint(task TaskName, gang bool, doneMs float64) string {
	index := strconv.Itoa(task.Index)
	if gang {
		index = "all"
	}
	return fmt.Sprintf("%s/%d/%d/%s@%.1f", task.Job, task.Repetition, task.Step, index, doneMs)
}

// parseCheckpoint returns the work that a checkpoint records; ok is false if it is no checkpoint of that task.
func parseCheckpoint(task TaskName, gang bool, text string) (doneMs float64, ok bool) {
	owner, amount, found := strings.Cut(text, "@")
	expectedOwner, _, _ := strings.Cut(formatCheckpoint(task, gang, 0), "@")
	if !found || owner != expectedOwner {
		return 0, false
	}
	doneMs, err := strconv.ParseFloat(amount, 64)
	return doneMs, err == nil
}
