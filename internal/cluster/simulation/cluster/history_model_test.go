package cluster

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/simulation"
)

// noReturn is the time at which a call of unknown outcome returns: it may take effect at any time, or never.
const noReturn = int64(math.MaxInt64)

// jobStates is a set of states that a job may be in.
type jobStates uint8

const (
	jobAbsent jobStates = 1 << iota
	jobLive             // accepted, and not ended
	jobCompleted
	jobFailed
	jobCancelled

	jobEnded = jobCompleted | jobFailed | jobCancelled
)

// jobCall is a client's call about one job.
type jobCall uint8

const (
	callSubmit jobCall = iota
	callState
	callCancel
)

// jobResponse is the response to a jobCall. The zero value stands for an unknown outcome.
type jobResponse struct {
	status int
	state  string
}

// jobModel is one job as its clients see it: it is accepted once and ends once, by itself or by a cancel.
var jobModel = porcupine.Model{
	Init: func() any { return jobAbsent },
	Step: func(state, input, output any) (bool, any) {
		next := state.(jobStates).after(input.(jobCall), output.(jobResponse))
		return next != 0, next
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

// after returns the states that a job may be in after a call with that response; none if there can't be such a response.
func (s jobStates) after(call jobCall, response jobResponse) jobStates {
	if s&jobLive != 0 {
		s |= jobCompleted | jobFailed // it may have ended by itself
	}
	switch call {
	case callSubmit:
		return s.afterSubmit(response.status)
	case callCancel:
		return s.afterCancel(response.status)
	default:
		return s.afterQuery(response)
	}
}

func (s jobStates) afterSubmit(status int) jobStates {
	next := s
	if s&jobAbsent != 0 {
		next |= jobLive
	}
	if status != 0 {
		next &^= jobAbsent
	}
	return next
}

func (s jobStates) afterCancel(status int) jobStates {
	if status == http.StatusGone {
		return s & jobAbsent
	}
	next := s
	if s&jobLive != 0 {
		next |= jobCancelled
	}
	if status/100 == 2 {
		next &= jobEnded
	}
	return next
}

func (s jobStates) afterQuery(response jobResponse) jobStates {
	if response.status == http.StatusGone {
		return s & jobAbsent
	}
	switch response.state {
	case protocol.JobQueued, protocol.JobRunning:
		return s & jobLive
	case protocol.JobCompleted:
		return s & jobCompleted
	case protocol.JobFailed:
		return s & jobFailed
	case protocol.JobCancelled:
		return s & jobCancelled
	}
	return 0
}

// jobHistory returns what clients saw of a job. What was certainly rejected is left out, because it has no effect; of the
// calls of unknown outcome, the first of each kind stands for all, because a second one has no effect of its own.
func jobHistory(job *simulation.JobRecord) []porcupine.Operation {
	isSuccess := func(status int) bool { return status/100 == 2 }
	isSuccessOrGone := func(status int) bool { return isSuccess(status) || status == http.StatusGone }
	history := jobCalls(callSubmit, job.Submissions, isSuccess)
	history = append(history, jobCalls(callCancel, job.Cancels, isSuccessOrGone)...)
	return append(history, jobCalls(callState, job.Queries, isSuccessOrGone)...)
}

// jobCalls returns the attempts of one kind of call, given which statuses show its outcome.
func jobCalls(call jobCall, attempts []simulation.Attempt, isKnown func(status int) bool) []porcupine.Operation {
	var history []porcupine.Operation
	hasUnknown := false
	for i := range attempts {
		attempt := &attempts[i]
		isAnswered := attempt.Answered != simulation.Never
		switch {
		case isAnswered && isKnown(attempt.Status):
			history = append(history, porcupine.Operation{ClientId: i, Input: call,
				Output: jobResponse{attempt.Status, attempt.State}, Call: int64(attempt.Sent), Return: int64(attempt.Answered)})
		case call != callState && !hasUnknown && (!isAnswered || isIndeterminate(attempt.Status)):
			hasUnknown = true
			history = append(history, porcupine.Operation{ClientId: i, Input: call, Output: jobResponse{},
				Call: int64(attempt.Sent), Return: noReturn})
		}
	}
	return history
}

// isIndeterminate reports whether a status leaves open whether the call had an effect.
func isIndeterminate(status int) bool {
	switch status {
	case 0, http.StatusRequestTimeout, http.StatusBadGateway, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// register is the configuration as the operator sees it.
type register struct {
	version  int64
	document string
	accepted []*simulation.ConfigurationRecord // never changed in place
}

// configurationCall is a change, or a read if there is none.
type configurationCall struct {
	change *simulation.ConfigurationRecord
}

// configurationResponse is the response to a configurationCall. The zero value stands for an unknown outcome.
type configurationResponse struct {
	status  int
	version int64
	body    string
}

// registerModel is a register with compare-and-set on the version that a change builds on. A change that was accepted is
// acknowledged again whenever it is repeated.
var registerModel = porcupine.Model{
	Init: func() any { return &register{} },
	Step: func(state, input, output any) (bool, any) {
		r, response := state.(*register), output.(configurationResponse)
		change := input.(configurationCall).change
		if change == nil {
			return response.version == r.version && (response.version == 0 || response.body == r.document), r
		}
		return r.after(change, response.status)
	},
	Equal: func(a, b any) bool {
		left, right := a.(*register), b.(*register)
		return left.version == right.version && slices.Equal(left.accepted, right.accepted)
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

// after reports whether a change can have got that response, and returns the register after it.
func (r *register) after(change *simulation.ConfigurationRecord, status int) (bool, *register) {
	wasAccepted := slices.Contains(r.accepted, change)
	isCurrent := change.Base == r.version
	next := r
	if isCurrent && !change.Invalid {
		next = &register{version: change.Version, document: change.Document, accepted: append(slices.Clone(r.accepted), change)}
	}
	switch status {
	case 0:
		return true, next
	case http.StatusOK:
		return wasAccepted || next != r, next
	case http.StatusPreconditionFailed:
		return !wasAccepted && !isCurrent, r
	case http.StatusBadRequest:
		return change.Invalid && (isCurrent || !json.Valid([]byte(change.Body))), r
	}
	return false, r
}

// configurationHistory returns what the operator saw, with the same left out as in jobHistory.
func configurationHistory(history *simulation.History, reads []*simulation.ConfigurationRead) []porcupine.Operation {
	var operations []porcupine.Operation
	add := func(change *simulation.ConfigurationRecord, response configurationResponse, call time.Duration, end int64) {
		operations = append(operations, porcupine.Operation{ClientId: len(operations), Input: configurationCall{change},
			Output: response, Call: int64(call), Return: end})
	}
	for _, change := range history.Configuration {
		hasUnknown := false
		for i := range change.Attempts {
			attempt := &change.Attempts[i]
			isAnswered := attempt.Answered != simulation.Never
			switch {
			case isAnswered && isFinal(attempt.Status):
				add(change, configurationResponse{status: attempt.Status}, attempt.Sent, int64(attempt.Answered))
			case !hasUnknown && (!isAnswered || isIndeterminate(attempt.Status)):
				hasUnknown = true
				add(change, configurationResponse{}, attempt.Sent, noReturn)
			}
		}
	}
	for _, read := range reads {
		if read.Answered != simulation.Never && read.Status == http.StatusOK {
			response := configurationResponse{status: http.StatusOK, version: read.Version, body: read.Body}
			add(nil, response, read.Sent, int64(read.Answered))
		}
	}
	return operations
}

// isFinal reports whether a status is the final response to a change.
func isFinal(status int) bool {
	return status == http.StatusOK ||
		status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}
