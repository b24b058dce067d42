package simulation

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// checkConfiguration checks the operator's changes (CONFIG, ACKS), and what clients saw of them.
func (a *auditor) checkConfiguration() {
	a.checkResponses()
	a.checkRaces()
	a.checkFollowed()
	a.checkReadBacks()
}

// checkResponses: nothing invalid is acknowledged, what was acknowledged is not rejected, and valid changes are
// acknowledged.
func (a *auditor) checkResponses() {
	for _, record := range a.Configuration {
		acknowledged := false
		for i := range record.Attempts {
			attempt := &record.Attempts[i]
			if !attempt.isAnswered() {
				continue
			}
			if attempt.Status == http.StatusOK && record.Invalid {
				a.violated(RuleConfig, attempt.Answered, "version %d is invalid and was acknowledged", record.Version)
			}
			if acknowledged && record.Alone && isFinalRejection(attempt.Status) {
				a.violated(RuleConfig, attempt.Answered, "version %d was acknowledged and then rejected with %d", record.Version,
					attempt.Status)
			}
			acknowledged = acknowledged || attempt.Status == http.StatusOK
		}
		a.checkAcknowledged(record)
	}
}

// checkAcknowledged (ACKS): a valid change that is alone and builds on the newest version is acknowledged in a calm.
func (a *auditor) checkAcknowledged(record *ConfigurationRecord) {
	if record.Invalid || !record.Alone || len(record.Attempts) == 0 {
		return
	}
	sent := record.Attempts[0].Sent
	until := sent + a.Bounds.AckTimeout
	isLate := record.Acknowledged == Never || record.Acknowledged > until
	if isLate && until < a.Ends && a.newestAt(sent) == record.Base && a.isCalm(sent, until, isPlanned) {
		a.violated(RuleAcks, until, "version %d is not acknowledged since %v", record.Version, sent)
	}
}

// newestAt returns the newest version that was acknowledged by a time.
func (a *auditor) newestAt(at time.Duration) int64 {
	newest := int64(0)
	for _, record := range a.Configuration {
		if record.Acknowledged != Never && record.Acknowledged <= at {
			newest = max(newest, record.Version)
		}
	}
	return newest
}

// checkRaces: of two changes on top of the same version, one is acknowledged at most.
func (a *auditor) checkRaces() {
	first := map[int64]*ConfigurationRecord{}
	for _, record := range a.Configuration {
		if record.Acknowledged == Never {
			continue
		}
		if other := first[record.Base]; other != nil && other.Body != record.Body {
			a.violated(RuleConfig, record.Acknowledged, "versions %d and %d on top of %d were both acknowledged",
				other.Version, record.Version, record.Base)
		}
		first[record.Base] = record
	}
}

// observation is what the response to a client's call shows of the configuration that the machine followed.
type observation struct {
	attempt      *Attempt
	queue        QueueName
	found        bool // the queue was there
	pendingQuery bool // not a submission
}

// observations returns what clients saw of the configuration, in the order of the responses.
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

// versionsOf returns the oldest and the newest version that a machine may have followed when it gave a response; -1 if
// there is none.
func (a *auditor) versionsOf(o *observation, records []*ConfigurationRecord) (oldest, newest int64) {
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

// checkFollowed: machines in touch follow what was acknowledged, none follows what is not in force, and none goes back to
// an older version within an incarnation.
func (a *auditor) checkFollowed() {
	records := a.possiblyInForce()
	type process struct {
		machine     string
		incarnation int
	}
	type evidence struct {
		version int64 // that the process followed, at least
		at      time.Duration
	}
	seen := map[process][]evidence{}
	for _, o := range a.observations() {
		attempt := o.attempt
		floor := int64(0) // of the version, by the time that changes take to be followed
		if a.isInTouch(attempt.Machine, attempt.Sent) && a.isInTouch(attempt.Machine, attempt.Answered) {
			floor = a.newestAt(attempt.Sent - a.Bounds.ConfigApply - 1)
		}
		key := process{attempt.Machine, attempt.Incarnation}
		followed := floor
		for _, e := range seen[key] {
			if attempt.Sent > e.at+a.Bounds.RollbackSlack {
				followed = max(followed, e.version)
			}
		}
		oldest, newest := a.versionsOf(&o, records)
		switch {
		case oldest < 0:
			a.violated(RuleConfig, attempt.Answered, "%s answers %d for %s, which no configuration in force allows",
				attempt.Machine, attempt.Status, o.queue.Key())
		case newest < floor:
			a.violated(RuleConfig, attempt.Answered, "%s answers %d for %s, as version %d or older would; %d was acknowledged long ago",
				attempt.Machine, attempt.Status, o.queue.Key(), newest, floor)
		case newest < followed:
			a.violated(RuleConfig, attempt.Answered, "%s answers %d for %s, as version %d or older would; it has followed %d before",
				attempt.Machine, attempt.Status, o.queue.Key(), newest, followed)
		}
		if oldest > 0 {
			seen[key] = append(seen[key], evidence{oldest, attempt.Answered})
		}
	}
}

// checkService: a job that was submitted to a machine in touch, long after a change was acknowledged, does not run at a
// service that its queue has only in older versions.
func (a *auditor) checkService(run *Run, job *JobRecord) {
	if len(job.Submissions) == 0 {
		return
	}
	first := &job.Submissions[0]
	if !a.isInTouch(first.Machine, first.Sent) {
		return
	}
	floor := a.newestAt(first.Sent - a.Bounds.ConfigApply - 1)
	allowed := slices.ContainsFunc(a.possiblyInForce(), func(r *ConfigurationRecord) bool {
		return r.Version >= floor && r.Routes[job.Queue].Service == run.Runner.Service
	})
	if floor > 0 && !allowed {
		a.violated(RuleConfig, run.Started, "%s run %d on a runner of %s, which version %d and later ones do not allow",
			run.TaskText, run.Number, run.Runner.Service, floor)
	}
}

// checkReadBacks (CONFIG, or LOST after a final fault): what is read back at the end is the newest version that was
// acknowledged, or one that may have come into force since.
func (a *auditor) checkReadBacks() {
	if a.Ends == 0 || len(a.Configuration) == 0 {
		return
	}
	rule := RuleConfig
	if a.FinalFault != Never {
		rule = RuleLost
	}
	if len(a.ReadBacks) == 0 && a.newestAt(a.Ends) > 0 {
		a.violated(rule, a.Ends, "the configuration is not read back")
	}
	for _, read := range a.ReadBacks {
		version, ok := versionOf(read.Body)
		if !ok {
			a.violated(rule, read.At, "what is read back is not a configuration")
			continue
		}
		if newest := a.newestAt(read.At - a.Bounds.Contact); version < newest {
			a.violated(rule, read.At, "version %d is read back, %d was acknowledged", version, newest)
			continue
		}
		wasSent := slices.ContainsFunc(a.possiblyInForce(), func(r *ConfigurationRecord) bool {
			return r.Version == version && r.Document == read.Body
		})
		if !wasSent {
			a.violated(rule, read.At, "version %d is read back, not as it was sent", version)
		}
	}
}

// versionOf returns the version of a configuration in JSON, and whether it is one.
func versionOf(body string) (version int64, ok bool) {
	var head struct {
		Version int64 `json:"version"`
	}
	err := json.Unmarshal([]byte(body), &head)
	return head.Version, err == nil
}

// checkRecovery (RECOVER): after a final fault, submissions are accepted again.
func (a *auditor) checkRecovery() {
	if a.FinalFault == Never || a.Returned == Never {
		return
	}
	const minFraction = 0.25
	before := a.acceptedFraction(0, a.FinalFault)
	after := a.acceptedFraction(a.Returned+a.Bounds.Recovery, a.TrafficEnds)
	if before >= minFraction && after >= 0 && after < minFraction {
		a.violated(RuleRecover, a.TrafficEnds, "%.2f of jobs were accepted before the final fault, %.2f after it", before, after)
	}
}

// acceptedFraction returns the fraction of the jobs first submitted in a span that were accepted within a client's time, or
// -1 if there are none.
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
