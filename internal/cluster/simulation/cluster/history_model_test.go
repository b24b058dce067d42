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

// noReturn is the return time of a call of unknown outcome. Such a call may take effect at any time after it was sent, or
// never, so the checker must be able to place it after all other calls.
const noReturn = int64(math.MaxInt64)

// jobStates is the set of states that a job may be in, given the calls so far, as a bit set.
type jobStates uint8

const (
	jobAbsent jobStates = 1 << iota
	jobLive             // accepted, and not ended
	jobCompleted
	jobFailed
	jobCancelled
	jobWithdrawn // not accepted, and never accepted later: a cancel was answered with 410

	jobEnded = jobCompleted | jobFailed | jobCancelled
)

// jobCall is the kind of a client's call about one job.
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

// jobModel is the sequential specification of one job as its clients see it. The job is accepted at most once. After that it
// ends at most once: it completes, fails, or is cancelled by a client. If it is cancelled before it is accepted, it is never
// accepted.
var jobModel = porcupine.Model{
	Init: func() any { return jobAbsent },
	Step: func(state, input, output any) (bool, any) {
		next := state.(jobStates).after(input.(jobCall), output.(jobResponse))
		return next != 0, next
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

// after returns the states that a job may be in after a call with that response. The set is empty if the job can't have
// given that response in any of the states s.
func (s jobStates) after(call jobCall, response jobResponse) jobStates {
	if s&jobLive != 0 {
		s |= jobCompleted | jobFailed // it may have ended since the last call
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

// afterSubmit returns the states after a submission. Status 0, the unknown outcome, leaves open whether the job was
// accepted.
func (s jobStates) afterSubmit(status int) jobStates {
	next := s
	if s&jobAbsent != 0 {
		next |= jobLive
	}
	if status != 0 {
		next &^= jobAbsent | jobWithdrawn
	}
	return next
}

// afterCancel returns the states after a cancel. Status 410 says that the job doesn't exist and is never accepted, and a
// success that the job has ended.
func (s jobStates) afterCancel(status int) jobStates {
	if status == http.StatusGone {
		if s&(jobAbsent|jobWithdrawn) == 0 {
			return 0
		}
		return jobWithdrawn
	}
	next := s
	if s&jobLive != 0 {
		next |= jobCancelled
	}
	if s&jobAbsent != 0 {
		next |= jobWithdrawn
	}
	if status/100 == 2 {
		next &= jobEnded
	}
	return next
}

// afterQuery returns the states that are possible after a query with this response, which shows the state.
func (s jobStates) afterQuery(response jobResponse) jobStates {
	if response.status == http.StatusGone {
		return s & (jobAbsent | jobWithdrawn)
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

// jobHistory returns the calls of clients about one job for the checker. It leaves out:
//   - calls that were rejected with certainty, because they have no effect;
//   - submissions and cancels of unknown outcome, except the first of each kind: the first may take effect at any later
//     time, and a second call has no additional effect;
//   - queries of unknown outcome, because a query has no effect.
func jobHistory(job *simulation.JobRecord) []porcupine.Operation {
	isSuccess := func(status int) bool { return status/100 == 2 }
	isSuccessOrGone := func(status int) bool { return isSuccess(status) || status == http.StatusGone }
	history := jobCalls(callSubmit, job.Submissions, isSuccess)
	history = append(history, jobCalls(callCancel, job.Cancels, isSuccessOrGone)...)
	return append(history, jobCalls(callState, job.Queries, isSuccessOrGone)...)
}

// jobCalls returns the attempts of one kind of call as operations for the checker. isKnown reports whether a status is a
// response that shows the call's outcome.
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

// isIndeterminate reports whether a status leaves open whether the call had an effect. Status 0 means that the call
// ended without a response.
func isIndeterminate(status int) bool {
	switch status {
	case 0, http.StatusRequestTimeout, http.StatusBadGateway, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// register is the state of the configuration as the operator sees it.
type register struct {
	version  int64
	document string
	accepted []*simulation.ConfigurationRecord // changes so far; never modified in place, because earlier states share it
}

// configurationCall is a call of the operator: a change, or a read if change is nil.
type configurationCall struct {
	change *simulation.ConfigurationRecord
}

// configurationResponse is the response to a configurationCall. The zero value stands for an unknown outcome.
type configurationResponse struct {
	status  int
	version int64
	body    string
}

// registerModel is the sequential specification of the configuration: a register that a change replaces if the change is
// valid and builds on the current version (compare-and-set). If an accepted change is repeated, it is acknowledged again.
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

// after reports whether a change can have got that status as its response, and returns the register after it. Status 0 is
// the unknown outcome.
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

// configurationHistory returns the changes and reads of the operator for the checker. It leaves out rejections that are not
// final, reads without a successful response, and all but the first attempt of unknown outcome of each change.
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

// isFinal reports whether a status is the final response to a change, after which the operator doesn't repeat it.
func isFinal(status int) bool {
	return status == http.StatusOK ||
		status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}
