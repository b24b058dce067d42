package simulation

import (
	"encoding/json"
	"slices"
	"time"
)

// checkConfiguration holds the operator's orders and what clients saw of them against the rules.
func (a *auditor) checkConfiguration() {
	a.checkReplies()
	a.checkRaces()
	a.checkFollowed()
	a.checkReads()
}

// checkReplies: nothing invalid is acknowledged, what was acknowledged is not refused, proper orders are acknowledged.
func (a *auditor) checkReplies() {
	for _, record := range a.Configuration {
		acknowledged := false
		for _, try := range record.Attempts {
			if try.Answered == Never {
				continue
			}
			if try.Status == 200 && record.Invalid {
				a.violated(RuleConfig, try.Answered, "version %d is invalid and was acknowledged", record.Version)
			}
			if acknowledged && record.Alone && rejection(try.Status) {
				a.violated(RuleConfig, try.Answered, "version %d was acknowledged and then refused with %d", record.Version, try.Status)
			}
			acknowledged = acknowledged || try.Status == 200
		}
		a.checkAcknowledged(record)
	}
}

// checkAcknowledged: a proper order gets its acknowledgement in a calm.
func (a *auditor) checkAcknowledged(record *ConfigurationRecord) {
	if record.Invalid || !record.Alone || len(record.Attempts) == 0 {
		return
	}
	sent := record.Attempts[0].Sent
	until := sent + a.Bounds.AckTimeout
	late := record.Acknowledged == Never || record.Acknowledged > until
	if late && until < a.Ends && a.newestAt(sent) == record.Base && a.isCalm(sent, until, planned) {
		a.violated(RuleAcks, until, "version %d is not acknowledged since %v", record.Version, sent)
	}
}

// newestAt returns the newest version acknowledged by a time.
func (a *auditor) newestAt(at time.Duration) int64 {
	newest := int64(0)
	for _, record := range a.Configuration {
		if record.Acknowledged != Never && record.Acknowledged <= at {
			newest = max(newest, record.Version)
		}
	}
	return newest
}

// checkRaces: of two changes on top of the same version, one is acknowledged.
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

// observation is what a call shows of the configuration that its machine followed.
type observation struct {
	attempt      *Attempt
	queue        QueueName
	found        bool // the queue was there
	pendingQuery bool // a count was asked for, not a job handed in
}

func (a *auditor) observations() []observation {
	var sights []observation
	add := func(try *Attempt, queue QueueName, count bool) {
		switch {
		case try.Answered == Never:
		case try.Status == 404:
			sights = append(sights, observation{try, queue, false, count})
		case try.Status/100 == 2:
			sights = append(sights, observation{try, queue, true, count})
		}
	}
	for i := range a.PendingQueries {
		add(&a.PendingQueries[i].Attempt, a.PendingQueries[i].Queue, true)
	}
	for _, job := range a.JobOrder {
		for i := range job.Submissions {
			add(&job.Submissions[i], job.Queue, false)
		}
	}
	slices.SortStableFunc(sights, func(x, y observation) int { return int(x.attempt.Answered - y.attempt.Answered) })
	return sights
}

// agreesWith tells whether a configuration shows what was seen.
func (s *observation) agreesWith(record *ConfigurationRecord) bool {
	_, there := record.Routes[s.queue]
	return there == s.found
}

// checkFollowed: machines in touch follow what was acknowledged, none follows what is not in force, and none goes back.
func (a *auditor) checkFollowed() {
	records := a.possiblyInForce()
	type life struct {
		machine string
		life    int
	}
	type evidence struct {
		version int64
		at      time.Duration
	}
	seen := map[life][]evidence{}
	for _, s := range a.observations() {
		floor := int64(0)
		if a.isInTouch(s.attempt.Machine, s.attempt.Sent) && a.isInTouch(s.attempt.Machine, s.attempt.Answered) {
			floor = a.newestAt(s.attempt.Sent - a.Bounds.ConfigApply - 1)
		}
		key := life{s.attempt.Machine, s.attempt.Incarnation}
		held := floor
		for _, e := range seen[key] {
			if s.attempt.Sent > e.at+a.Bounds.RollbackSlack {
				held = max(held, e.version)
			}
		}
		least, most := a.versionsOf(&s, records)
		switch {
		case least < 0:
			a.violated(RuleConfig, s.attempt.Answered, "%s answers %d for %v%v, which no configuration in force allows",
				s.attempt.Machine, s.attempt.Status, s.queue.Host, s.queue.Prefix)
		case most < floor:
			a.violated(RuleConfig, s.attempt.Answered, "%s answers %d for %s, as version %d or older would; %d was acknowledged long ago",
				s.attempt.Machine, s.attempt.Status, s.queue.Key(), most, floor)
		case most < held:
			a.violated(RuleConfig, s.attempt.Answered, "%s answers %d for %s, as version %d or older would; it has followed %d before",
				s.attempt.Machine, s.attempt.Status, s.queue.Key(), most, held)
		}
		if least > 0 {
			seen[key] = append(seen[key], evidence{least, s.attempt.Answered})
		}
	}
}

// checkService: a job handed in by a machine in touch, long after a change was acknowledged, does not run at a service
// that only an older version sends its queue to.
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

// versionsOf returns the least and the greatest version that shows what was seen; 0 stands for no configuration yet, and
// -1 for none.
func (a *auditor) versionsOf(s *observation, records []*ConfigurationRecord) (least, most int64) {
	least, most = -1, -1
	for _, record := range records {
		if len(record.Attempts) == 0 || record.Attempts[0].Sent > s.attempt.Answered || !s.agreesWith(record) {
			continue
		}
		if least < 0 || record.Version < least {
			least = record.Version
		}
		most = max(most, record.Version)
	}
	return least, most
}

// checkReads: what is read back at the end is the newest that was acknowledged, or one that may have been taken since.
func (a *auditor) checkReads() {
	if a.Ends == 0 || len(a.Configuration) == 0 {
		return
	}
	rule := RuleConfig
	if a.FinalFault != Never {
		rule = RuleLost
	}
	if len(a.ReadBacks) == 0 {
		if a.newestAt(a.Ends) > 0 {
			a.violated(rule, a.Ends, "the configuration is not read back")
		}
		return
	}
	for _, read := range a.ReadBacks {
		var head struct {
			Version int64 `json:"version"`
		}
		if json.Unmarshal([]byte(read.Body), &head) != nil {
			a.violated(rule, read.At, "what is read back is no configuration")
			continue
		}
		if newest := a.newestAt(read.At - a.Bounds.Contact); head.Version < newest {
			a.violated(rule, read.At, "version %d is read back, %d was acknowledged", head.Version, newest)
			continue
		}
		sent := slices.ContainsFunc(a.possiblyInForce(), func(r *ConfigurationRecord) bool {
			return r.Version == head.Version && r.Document == read.Body
		})
		if !sent {
			a.violated(rule, read.At, "version %d is read back, not as it was sent", head.Version)
		}
	}
}

// checkRecovery: after a final fault, requests are served again.
func (a *auditor) checkRecovery() {
	if a.FinalFault == Never || a.Returned == Never {
		return
	}
	const least = 0.25
	before := a.acceptedFraction(0, a.FinalFault)
	after := a.acceptedFraction(a.Returned+a.Bounds.Recovery, a.TrafficEnds)
	if before >= least && after >= 0 && after < least {
		a.violated(RuleRecover, a.TrafficEnds, "%.2f of requests were served before the final fault, %.2f after it", before, after)
	}
}

// acceptedFraction is the share of jobs first sent in a span that were accepted within a client's time, or -1 without any.
func (a *auditor) acceptedFraction(from, to time.Duration) float64 {
	const clientTime = 3 * time.Second
	sent, served := 0, 0
	for _, job := range a.JobOrder {
		if len(job.Submissions) == 0 || job.Submissions[0].Sent < from || job.Submissions[0].Sent >= to {
			continue
		}
		sent++
		if job.Accepted != Never && job.Accepted <= job.Submissions[0].Sent+clientTime {
			served++
		}
	}
	if sent == 0 {
		return -1
	}
	return float64(served) / float64(sent)
}
