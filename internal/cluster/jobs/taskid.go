package jobs

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// TaskID identifies a task. Its text form is JOB.K.STEP.INDEX, where K is the repetition.
type TaskID struct {
	Job        string // id of the job
	Repetition int    // number of the repetition, from 0; 0 for a job without repetitions
	Step       int    // index of the step in the job's spec
	Index      int    // index of the task in its step
}

// errTaskID is the only error of ParseTaskID. It is allocated once, because a faulty runner may list invalid ids in each of
// its heartbeats.
var errTaskID = errors.New("task is not of the form JOB.K.STEP.INDEX")

// String returns the text form JOB.K.STEP.INDEX.
func (id TaskID) String() string {
	const numbers = 3 * len(".1234567") // capacity in bytes for three numbers of up to seven digits
	text := make([]byte, 0, len(id.Job)+numbers)
	text = append(text, id.Job...)
	for _, number := range [...]int{id.Repetition, id.Step, id.Index} {
		text = append(text, '.')
		text = strconv.AppendInt(text, int64(number), 10)
	}
	return string(text)
}

// ParseTaskID parses the text form that String returns. It accepts no other form, such as signs or leading zeros, so two
// different texts never name the same task.
func ParseTaskID(text string) (TaskID, error) {
	var numbers [3]int
	rest := text
	for i := len(numbers) - 1; i >= 0; i-- {
		dot := strings.LastIndexByte(rest, '.')
		if dot < 0 {
			return TaskID{}, errTaskID
		}
		number, ok := parseNumber(rest[dot+1:])
		if !ok {
			return TaskID{}, errTaskID
		}
		numbers[i], rest = number, rest[:dot]
	}
	if rest == "" {
		return TaskID{}, errTaskID
	}
	return TaskID{Job: rest, Repetition: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// parseNumber parses a decimal number without sign and leading zeros, and reports whether digits is one.
func parseNumber(digits string) (int, bool) {
	const maxDigits = 9 // every number of nine digits fits an int32
	if digits == "" || len(digits) > maxDigits || (digits[0] == '0' && len(digits) > 1) {
		return 0, false
	}
	number := 0
	for i := range len(digits) {
		if digits[i] < '0' || digits[i] > '9' {
			return 0, false
		}
		number = number*10 + int(digits[i]-'0')
	}
	return number, true
}
