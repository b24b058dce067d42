package coordinator

// A request from its arrival to its response.

import (
	"time"

	"ospreypond/policy"
)

// arrive registers a request, under a number by which the module knows it.
func (c *Coordinator) arrive(j *job) {
	r := j.request
	// Guards against a client that uses the id of another's request: the first one goes on undisturbed.
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
	j.overdue = time.AfterFunc(time.Until(r.Deadline)+c.set.ResponseGrace+overdueGrace, func() {
		c.enqueue(func() { c.overdue(j) })
	})
	j.module.events = append(j.module.events, policy.Event{Kind: policy.Request, ID: j.id, Class: r.Class, Tenant: r.Tenant, Key: r.Key,
		Work: r.Work, Slots: r.Slots, Memory: r.Memory, Retry: r.Retry, Report: policy.NoReport})
}

// overdue ends a request that the module has forgotten.
func (c *Coordinator) overdue(j *job) {
	if j.responded {
		return
	}
	c.log.WithField("request", j.request.ID).Error("request overdue; answered as failed")
	c.respond(j, Response{Kind: InternalFault})
	j.module.events = append(j.module.events, policy.Event{Kind: policy.ClientDisconnected, ID: j.id})
}

// disconnect ends a request whose client has disconnected.
func (c *Coordinator) disconnect(j *job) {
	if !j.responded {
		c.respond(j, Response{Kind: ClientDisconnected})
		j.module.events = append(j.module.events, policy.Event{Kind: policy.ClientDisconnected, ID: j.id})
	}
}

// respond delivers j's final response; later ones are ignored.
func (c *Coordinator) respond(j *job, a Response) {
	if j.responded {
		return
	}
	j.responded, j.responseKind, j.respondedAt = true, a.Kind, time.Now()
	j.overdue.Stop()
	for _, attempt := range j.attempts { // attempts that have not begun must not: nobody waits for them
		if !attempt.ended && attempt.gate.revoke() {
			attempt.cancel()
		}
	}
	j.response <- a
	c.rememberID(j.request.ID)
	c.forget(j)
}

// rememberID keeps the id of a request with a response among the last maxRespondedIDs.
func (c *Coordinator) rememberID(id string) {
	if len(c.respondedIDs) < maxRespondedIDs {
		c.respondedIDs = append(c.respondedIDs, id)
		return
	}
	delete(c.ids, c.respondedIDs[c.nextEvicted])
	c.respondedIDs[c.nextEvicted] = id
	c.nextEvicted = (c.nextEvicted + 1) % maxRespondedIDs
}

// forget drops a job with its response and no attempt in flight.
func (c *Coordinator) forget(j *job) {
	if j.responded && j.openAttempts == 0 && c.jobs[j.id] == j {
		delete(c.jobs, j.id)
		j.module.openJobs--
		c.notifyJobEnded(j)
	}
}
