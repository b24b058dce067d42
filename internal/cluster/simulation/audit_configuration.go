package simulation

import (
	"encoding/json"
	"slices"
	"time"
)

// checkConfiguration holds the operator's orders and what clients saw of them against the rules.
func (a *auditor) checkConfiguration() {
	a.checkOrders()
	a.checkRaces()
	a.checkFollowed()
	a.checkReads()
}

// checkOrders: nothing invalid is acknowledged, what was acknowledged is not refused, proper orders are acknowledged.
func (a *auditor) checkOrders() {
	for _, record := range a.Configuration {
		acknowledged := false
		for _, try := range record.Tries {
			if try.Answered == Never {
				continue
			}
			if try.Status == 200 && record.Invalid {
				a.breaks(RuleConfig, try.Answered, "version %d is invalid and was acknowledged", record.Version)
			}
			if acknowledged && record.Alone && refusal(try.Status) {
				a.breaks(RuleConfig, try.Answered, "version %d was acknowledged and then refused with %d", record.Version, try.Status)
			}
			acknowledged = acknowledged || try.Status == 200
		}
		a.checkAcknowledged(record)
	}
}

// checkAcknowledged: a proper order gets its acknowledgement in a calm.
func (a *auditor) checkAcknowledged(record *ConfigurationRecord) {
	if record.Invalid || !record.Alone || len(record.Tries) == 0 {
		return
	}
	sent := record.Tries[0].Sent
	until := sent + a.Bounds.AckTimeout
	late := record.Acknowledged == Never || record.Acknowledged > until
	if late && until < a.Ends && a.newestAt(sent) == record.Base && a.calm(sent, until, planned) {
		a.breaks(RuleAcks, until, "version %d is not acknowledged since %v", record.Version, sent)
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
			a.breaks(RuleConfig, record.Acknowledged, "versions %d and %d on top of %d were both acknowledged",
				other.Version, record.Version, record.Base)
		}
		first[record.Base] = record
	}
}

// sight is what a call shows of the configuration that its machine followed.
type sight struct {
	try   *Try
	queue QueueName
	found bool // the queue was there
	count bool // a count was asked for, not a job handed in
}

func (a *auditor) sights() []sight {
	var sights []sight
	add := func(try *Try, queue QueueName, count bool) {
		switch {
		case try.Answered == Never:
		case try.Status == 404:
			sights = append(sights, sight{try, queue, false, count})
		case try.Status/100 == 2:
			sights = append(sights, sight{try, queue, true, count})
		}
	}
	for i := range a.Counts {
		add(&a.Counts[i].Try, a.Counts[i].Queue, true)
	}
	for _, job := range a.JobOrder {
		for i := range job.HandIns {
			add(&job.HandIns[i], job.Queue, false)
		}
	}
	slices.SortStableFunc(sights, func(x, y sight) int { return int(x.try.Answered - y.try.Answered) })
	return sights
}

// agrees tells whether a configuration shows what was seen.
func (s *sight) agrees(record *ConfigurationRecord) bool {
	_, there := record.Routes[s.queue]
	return there == s.found
}

// checkFollowed: machines in touch follow what was acknowledged, none follows what is not in force, and none goes back.
func (a *auditor) checkFollowed() {
	records := a.mayBe()
	type life struct {
		machine string
		life    int
	}
	type evidence struct {
		version int64
		at      time.Duration
	}
	seen := map[life][]evidence{}
	for _, s := range a.sights() {
		floor := int64(0)
		if a.inTouch(s.try.Machine, s.try.Sent) && a.inTouch(s.try.Machine, s.try.Answered) {
			floor = a.newestAt(s.try.Sent - a.Bounds.ConfigApply - 1)
		}
		key := life{s.try.Machine, s.try.Life}
		held := floor
		for _, e := range seen[key] {
			if s.try.Sent > e.at+a.Bounds.RollbackSlack {
				held = max(held, e.version)
			}
		}
		least, most := a.versionsOf(&s, records)
		switch {
		case least < 0:
			a.breaks(RuleConfig, s.try.Answered, "%s answers %d for %v%v, which no configuration in force allows",
				s.try.Machine, s.try.Status, s.queue.Host, s.queue.Prefix)
		case most < floor:
			a.breaks(RuleConfig, s.try.Answered, "%s answers %d for %s, as version %d or older would; %d was acknowledged long ago",
				s.try.Machine, s.try.Status, s.queue.Key(), most, floor)
		case most < held:
			a.breaks(RuleConfig, s.try.Answered, "%s answers %d for %s, as version %d or older would; it has followed %d before",
				s.try.Machine, s.try.Status, s.queue.Key(), most, held)
		}
		if least > 0 {
			seen[key] = append(seen[key], evidence{least, s.try.Answered})
		}
	}
}

// checkService: a job handed in by a machine in touch, long after a change was acknowledged, does not run at a service
// that only an older version sends its queue to.
func (a *auditor) checkService(run *Run, job *JobRecord) {
	if len(job.HandIns) == 0 {
		return
	}
	first := &job.HandIns[0]
	if !a.inTouch(first.Machine, first.Sent) {
		return
	}
	floor := a.newestAt(first.Sent - a.Bounds.ConfigApply - 1)
	allowed := slices.ContainsFunc(a.mayBe(), func(r *ConfigurationRecord) bool {
		return r.Version >= floor && r.Routes[job.Queue].Service == run.Runner.Service
	})
	if floor > 0 && !allowed {
		a.breaks(RuleConfig, run.Started, "%s run %d on a runner of %s, which version %d and later ones do not allow",
			run.Text, run.Run, run.Runner.Service, floor)
	}
}

// versionsOf returns the least and the greatest version that shows what was seen; 0 stands for no configuration yet, and
// -1 for none.
func (a *auditor) versionsOf(s *sight, records []*ConfigurationRecord) (least, most int64) {
	least, most = -1, -1
	for _, record := range records {
		if len(record.Tries) == 0 || record.Tries[0].Sent > s.try.Answered || !s.agrees(record) {
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
	if len(a.Reads) == 0 {
		if a.newestAt(a.Ends) > 0 {
			a.breaks(rule, a.Ends, "the configuration is not read back")
		}
		return
	}
	for _, read := range a.Reads {
		var head struct {
			Version int64 `json:"version"`
		}
		if json.Unmarshal([]byte(read.Body), &head) != nil {
			a.breaks(rule, read.At, "what is read back is no configuration")
			continue
		}
		if newest := a.newestAt(read.At - a.Bounds.Contact); head.Version < newest {
			a.breaks(rule, read.At, "version %d is read back, %d was acknowledged", head.Version, newest)
			continue
		}
		sent := slices.ContainsFunc(a.mayBe(), func(r *ConfigurationRecord) bool {
			return r.Version == head.Version && r.Whole == read.Body
		})
		if !sent {
			a.breaks(rule, read.At, "version %d is read back, not as it was sent", head.Version)
		}
	}
}

// checkRecovery: after a final fault, requests are served again.
func (a *auditor) checkRecovery() {
	if a.FinalFault == Never || a.Returned == Never {
		return
	}
	const least = 0.25
	before := a.servedShare(0, a.FinalFault)
	after := a.servedShare(a.Returned+a.Bounds.Recovery, a.TrafficEnds)
	if before >= least && after >= 0 && after < least {
		a.breaks(RuleRecover, a.TrafficEnds, "%.2f of requests were served before the final fault, %.2f after it", before, after)
	}
}

// servedShare is the share of jobs first sent in a span that were accepted within a client's time, or -1 without any.
func (a *auditor) servedShare(from, to time.Duration) float64 {
	const clientTime = 3 * time.Second
	sent, served := 0, 0
	for _, job := range a.JobOrder {
		if len(job.HandIns) == 0 || job.HandIns[0].Sent < from || job.HandIns[0].Sent >= to {
			continue
		}
		sent++
		if job.Accepted != Never && job.Accepted <= job.HandIns[0].Sent+clientTime {
			served++
		}
	}
	if sent == 0 {
		return -1
	}
	return float64(served) / float64(sent)
}
