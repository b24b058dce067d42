package jobs

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// TaskID names a task. Its text form is JOB.K.STEP.INDEX, with K for the repetition.
type TaskID struct {
	Job        string
	Repetition int // counted from 0; 0 for a job without repetitions
	Step       int
	Index      int
}

// errTaskID is the one error of ParseTaskID, made once since runners may list anything in each heartbeat.
var errTaskID = errors.New("task is not of the form JOB.K.STEP.INDEX")

// String returns the text form JOB.K.STEP.INDEX.
func (id TaskID) String() string {
	const numbers = 3 * len(".1234567")
	text := make([]byte, 0, len(id.Job)+numbers)
	text = append(text, id.Job...)
	for _, number := range [...]int{id.Repetition, id.Step, id.Index} {
		text = append(text, '.')
		text = strconv.AppendInt(text, int64(number), 10)
	}
	return string(text)
}

// ParseTaskID parses the text form that String returns, and nothing else: no signs, no leading zeros.
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

func parseNumber(digits string) (int, bool) {
	const maxDigits = 9 // that fit an int32
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
