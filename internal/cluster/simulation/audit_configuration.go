package simulation

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// checkConfiguration checks the operator's changes (CONFIG, ACKS), and which versions the responses to clients show.
func (a *auditor) checkConfiguration() {
	a.checkResponses()
	a.checkRaces()
	a.checkFollowed()
	a.checkReadBacks()
}

// checkResponses (CONFIG): no invalid change is acknowledged. A change that was acknowledged and had no concurrent change is
// not rejected when the operator sends it again. It also calls checkAcknowledged for each change.
func (a *auditor) checkResponses() {
	for _, record := range a.Configuration {
		acknowledged := false
		for i := range record.Attempts {
			attempt := &record.Attempts[i]
			if !attempt.isAnswered() {
				continue
			}
			if attempt.Status == http.StatusOK && record.Invalid {
				a.violated(RuleConfig, attempt.Answered, "the change to version %d is invalid and was acknowledged", record.Version)
			}
			if acknowledged && record.Alone && isFinalRejection(attempt.Status) {
				a.violated(RuleConfig, attempt.Answered, "the change to version %d was acknowledged and then rejected with status %d", record.Version,
					attempt.Status)
			}
			acknowledged = acknowledged || attempt.Status == http.StatusOK
		}
		a.checkAcknowledged(record)
	}
}

// checkAcknowledged (ACKS): a valid change is acknowledged within Bounds.AckTimeout of its first attempt. This holds for a
// change without concurrent changes, on top of the newest acknowledged version, if the whole time is fault-free and ends
// before the scenario.
func (a *auditor) checkAcknowledged(record *ConfigurationRecord) {
	if record.Invalid || !record.Alone || len(record.Attempts) == 0 {
		return
	}
	sent := record.Attempts[0].Sent
	until := sent + a.Bounds.AckTimeout
	isLate := record.Acknowledged == Never || record.Acknowledged > until
	if isLate && until < a.Ends && a.newestAt(sent) == record.Base && a.isFaultFree(sent, until, isPlanned) {
		a.violated(RuleAcks, until, "the change to version %d was sent at %v and is not acknowledged %v later", record.Version, sent,
			a.Bounds.AckTimeout)
	}
}

// newestAt returns the newest version that was acknowledged by a time, or 0 if none was.
func (a *auditor) newestAt(at time.Duration) int64 {
	newest := int64(0)
	for _, record := range a.Configuration {
		if record.Acknowledged != Never && record.Acknowledged <= at {
			newest = max(newest, record.Version)
		}
	}
	return newest
}

// checkRaces (CONFIG): of several changes on top of the same version, at most one is acknowledged. Changes with the same
// body are the same change.
func (a *auditor) checkRaces() {
	acknowledgedOn := map[int64]*ConfigurationRecord{} // by base version
	for _, record := range a.Configuration {
		if record.Acknowledged == Never {
			continue
		}
		if other := acknowledgedOn[record.Base]; other != nil && other.Body != record.Body {
			a.violated(RuleConfig, record.Acknowledged, "versions %d and %d on top of version %d were both acknowledged",
				other.Version, record.Version, record.Base)
		}
		acknowledgedOn[record.Base] = record
	}
}

// observation is the evidence in a response to a client's call about the configuration that the machine followed.
type observation struct {
	attempt      *Attempt
	queue        QueueName
	found        bool // the response shows that the queue exists
	pendingQuery bool // the call was a PendingQuery; false: a submission
}

// observations returns the observations from the responses to clients, in the order of the responses. A 404 shows
// that the queue does not exist, and a 2xx that it exists. Other responses show neither.
func (a *auditor) observations() []observation {
	var observations []observation
	add := func(o observation) {
		switch {
		case !o.attempt.isAnswered():
		case o.attempt.Status == http.StatusNotFound:
			observations = append(observations, o)
		case isSuccess(o.attempt.Status):
			o.found = true
			observations = append(observations, o)
		}
	}
	for i := range a.PendingQueries {
		add(observation{attempt: &a.PendingQueries[i].Attempt, queue: a.PendingQueries[i].Queue, pendingQuery: true})
	}
	for _, job := range a.JobOrder {
		for i := range job.Submissions {
			add(observation{attempt: &job.Submissions[i], queue: job.Queue})
		}
	}
	slices.SortStableFunc(observations, func(x, y observation) int { return int(x.attempt.Answered - y.attempt.Answered) })
	return observations
}

// agreesWith reports whether a machine that follows a configuration would have given that response.
func (o *observation) agreesWith(record *ConfigurationRecord) bool {
	_, exists := record.Routes[o.queue]
	return exists == o.found
}

// versionsExplaining returns the oldest and the newest version in records that a machine may have followed when it gave a
// response. The change to such a version was first sent before the response arrived, and the version agrees with the
// response. Both results are -1 if there is no such version.
func (a *auditor) versionsExplaining(o *observation, records []*ConfigurationRecord) (oldest, newest int64) {
	oldest, newest = -1, -1
	for _, record := range records {
		if len(record.Attempts) == 0 || record.Attempts[0].Sent > o.attempt.Answered || !o.agreesWith(record) {
			continue
		}
		if oldest < 0 || record.Version < oldest {
			oldest = record.Version
		}
		newest = max(newest, record.Version)
	}
	return oldest, newest
}

// checkFollowed (CONFIG) checks each response to a client that gives evidence about the configuration:
//   - The response agrees with some version that may have taken effect by then.
//   - If the machine was undisturbed when the request was sent and when the response arrived, the response agrees with a
//     version at least as new as the newest that was acknowledged more than Bounds.ConfigApply before the request.
//   - The response agrees with a version at least as new as the oldest version that explains an earlier response of the same
//     process. The rule considers only earlier responses that arrived more than Bounds.RollbackSlack before the request was
//     sent.
func (a *auditor) checkFollowed() {
	records := a.possiblyInForce()
	type process struct {
		machine     string
		incarnation int
	}
	type evidence struct {
		version int64         // the process followed this version or a newer one
		at      time.Duration // when the response that shows it arrived
	}
	seen := map[process][]evidence{}
	for _, o := range a.observations() {
		attempt := o.attempt
		floor := int64(0) // the oldest version that the machine may still follow
		if a.isUndisturbed(attempt.Machine, attempt.Sent) && a.isUndisturbed(attempt.Machine, attempt.Answered) {
			floor = a.newestAt(attempt.Sent - a.Bounds.ConfigApply - 1)
		}
		key := process{attempt.Machine, attempt.Incarnation}
		followed := floor
		for _, e := range seen[key] {
			if attempt.Sent > e.at+a.Bounds.RollbackSlack {
				followed = max(followed, e.version)
			}
		}
		oldest, newest := a.versionsExplaining(&o, records)
		switch {
		case oldest < 0:
			a.violated(RuleConfig, attempt.Answered, "%s answers %d for queue %s, as no version does that may be in force",
				attempt.Machine, attempt.Status, o.queue.Key())
		case newest < floor:
			a.violated(RuleConfig, attempt.Answered, "%s answers %d for queue %s, as version %d or older would; version %d was acknowledged more than %v before the request",
				attempt.Machine, attempt.Status, o.queue.Key(), newest, floor, a.Bounds.ConfigApply)
		case newest < followed:
			a.violated(RuleConfig, attempt.Answered, "%s answers %d for queue %s, as version %d or older would; the same process has followed version %d before",
				attempt.Machine, attempt.Status, o.queue.Key(), newest, followed)
		}
		if oldest > 0 {
			seen[key] = append(seen[key], evidence{oldest, attempt.Answered})
		}
	}
}

// checkService (CONFIG): a job runs at a service that its queue has in a version which was valid at its submission. The
// oldest such version is the newest that was acknowledged more than Bounds.ConfigApply before the job's first submission.
// This holds if the machine that got this submission was undisturbed. The rule sees the job's first submission only.
func (a *auditor) checkService(run *Run, job *JobRecord) {
	if len(job.Submissions) == 0 {
		return
	}
	submission := &job.Submissions[0]
	if !a.isUndisturbed(submission.Machine, submission.Sent) {
		return
	}
	floor := a.newestAt(submission.Sent - a.Bounds.ConfigApply - 1)
	allowed := slices.ContainsFunc(a.possiblyInForce(), func(r *ConfigurationRecord) bool {
		return r.Version >= floor && r.Routes[job.Queue].Service == run.Runner.Service
	})
	if floor > 0 && !allowed {
		a.violated(RuleConfig, run.Started, "%s run %d is on a runner of service %s, to which queue %s is not routed in version %d or a later one",
			run.TaskText, run.Number, run.Runner.Service, job.Queue.Key(), floor)
	}
}

// checkReadBacks (CONFIG, or LOST after a final fault): the operator reads the configuration back at the end of the
// scenario. Each read gives a version at least as new as the newest that was acknowledged Bounds.Contact or longer before
// the read, exactly as the operator sent it. At least one read succeeds if any version was acknowledged.
func (a *auditor) checkReadBacks() {
	if a.Ends == 0 || len(a.Configuration) == 0 {
		return
	}
	rule := RuleConfig
	if a.FinalFault != Never {
		rule = RuleLost
	}
	if len(a.ReadBacks) == 0 && a.newestAt(a.Ends) > 0 {
		a.violated(rule, a.Ends, "no read of the configuration succeeded at the end, version %d was acknowledged", a.newestAt(a.Ends))
	}
	for _, read := range a.ReadBacks {
		version, ok := versionOf(read.Body)
		if !ok {
			a.violated(rule, read.At, "the operator reads %q, which is not a configuration", read.Body)
			continue
		}
		if newest := a.newestAt(read.At - a.Bounds.Contact); version < newest {
			a.violated(rule, read.At, "the operator reads version %d, version %d was acknowledged at least %v before", version, newest,
				a.Bounds.Contact)
			continue
		}
		wasSent := slices.ContainsFunc(a.possiblyInForce(), func(r *ConfigurationRecord) bool {
			return r.Version == version && r.Document == read.Body
		})
		if !wasSent {
			a.violated(rule, read.At, "the operator reads version %d with other content than was sent", version)
		}
	}
}

// versionOf returns the version of a configuration in JSON; ok is false if the text is not a JSON object of that form.
func versionOf(body string) (version int64, ok bool) {
	var head struct {
		Version int64 `json:"version"`
	}
	err := json.Unmarshal([]byte(body), &head)
	return head.Version, err == nil
}

// checkRecovery (RECOVER): after a final fault, submissions are accepted again. Of the jobs submitted from
// Bounds.Recovery after the restart to the end of the traffic, at least minFraction must be accepted. The rule does not
// apply if a smaller fraction was accepted before the final fault already.
func (a *auditor) checkRecovery() {
	if a.FinalFault == Never || a.Returned == Never {
		return
	}
	const minFraction = 0.25
	before := a.acceptedFraction(0, a.FinalFault)
	after := a.acceptedFraction(a.Returned+a.Bounds.Recovery, a.TrafficEnds)
	if before >= minFraction && after >= 0 && after < minFraction {
		a.violated(RuleRecover, a.TrafficEnds, "%.2f of the jobs were accepted before the final fault at %v, and %.2f from %v after the restart at %v; at least %.2f must be",
			before, a.FinalFault, after, a.Bounds.Recovery, a.Returned, minFraction)
	}
}

// acceptedFraction returns the fraction of the jobs first submitted in a span that were accepted within clientTimeout of
// their submission, or -1 if no job was submitted in the span.
func (a *auditor) acceptedFraction(from, to time.Duration) float64 {
	const clientTimeout = 3 * time.Second
	submitted, accepted := 0, 0
	for _, job := range a.JobOrder {
		if len(job.Submissions) == 0 || job.Submissions[0].Sent < from || job.Submissions[0].Sent >= to {
			continue
		}
		submitted++
		if job.Accepted != Never && job.Accepted <= job.Submissions[0].Sent+clientTimeout {
			accepted++
		}
	}
	if submitted == 0 {
		return -1
	}
	return float64(accepted) / float64(submitted)
}
