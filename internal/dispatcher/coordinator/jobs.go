package coordinator

// This file has a request's way from its arrival to its response.

import (
	"time"

	"ospreypond/policy"
)

// arrive registers a request under a number that identifies it to the module. Numbers of present jobs are skipped when
// the counter wraps around.
func (c *Coordinator) arrive(j *job) {
	r := j.request
	// Guards against a client that uses the id of another's request: the first request isn't affected.
	if c.ids[r.ID] {
		j.responded = true
		j.response <- Response{Kind: DuplicateID}
		c.NotifyEnded(r, Response{Kind: DuplicateID})
		return
	}
	c.ids[r.ID] = true
	for c.nextID++; c.jobs[c.nextID] != nil; c.nextID++ {
	}
	j.id, j.deadline, j.module = c.nextID, c.clock.at(r.Deadline), c.modules[len(c.modules)-1]
	c.jobs[j.id] = j
	j.module.openJobs++
	j.overdueTimer = time.AfterFunc(time.Until(r.Deadline)+c.settings.ResponseGrace+overdueGrace, func() {
		c.enqueue(func() { c.endOverdue(j) })
	})
	j.module.events = append(j.module.events, policy.Event{Kind: policy.Request, ID: j.id, Class: r.Class, Tenant: r.Tenant, Key: r.Key,
		Work: r.Work, Slots: r.Slots, Memory: r.Memory, IsRetry: r.Retry, Report: policy.NoReport})
}

// endOverdue ends a request without a response after its deadline: the module must have lost it.
func (c *Coordinator) endOverdue(j *job) {
	if j.responded {
		return
	}
	c.log.WithField("request", j.request.ID).Error("request overdue; answered as failed")
	c.respond(j, Response{Kind: InternalFault})
	j.module.events = append(j.module.events, policy.Event{Kind: policy.ClientDisconnected, ID: j.id})
}

// disconnect ends a request when its client has disconnected, unless the request already has its response.
func (c *Coordinator) disconnect(j *job) {
	if !j.responded {
		c.respond(j, Response{Kind: ClientDisconnected})
		j.module.events = append(j.module.events, policy.Event{Kind: policy.ClientDisconnected, ID: j.id})
	}
}

// respond delivers the final response to j. Further calls are ignored.
func (c *Coordinator) respond(j *job, response Response) {
	if j.responded {
		return
	}
	j.responded, j.responseKind, j.respondedAt = true, response.Kind, time.Now()
	j.overdueTimer.Stop()
	for _, attempt := range j.attempts { // attempts without a first byte are no longer needed
		if !attempt.ended && attempt.gate.revoke() {
			attempt.cancel()
		}
	}
	j.response <- response
	c.rememberID(j.request.ID)
	c.forget(j)
}

// rememberID adds the id of a request that got its response to the last maxRespondedIDs, and forgets the oldest of
// them.
func (c *Coordinator) rememberID(id string) {
	if len(c.respondedIDs) < maxRespondedIDs {
		c.respondedIDs = append(c.respondedIDs, id)
		return
	}
	delete(c.ids, c.respondedIDs[c.nextEvicted])
	c.respondedIDs[c.nextEvicted] = id
	c.nextEvicted = (c.nextEvicted + 1) % maxRespondedIDs
}

// forget drops a job once it has its response and no attempt in flight, and notifies the observer.
func (c *Coordinator) forget(j *job) {
	if j.responded && j.openAttempts == 0 && c.jobs[j.id] == j {
		delete(c.jobs, j.id)
		j.module.openJobs--
		c.notifyJobEnded(j)
	}
}
