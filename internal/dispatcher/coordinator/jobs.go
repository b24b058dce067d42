package coordinator

// A request from its arrival to its answer.

import (
	"time"

	"ospreypond/policy"
)

// arrive takes a request in and gives it the number by which the module knows it.
func (c *Coordinator) arrive(j *job) {
	r := j.r
	// Guards against a client that uses the id of another's request: that one goes on as if nothing had come.
	if c.ids[r.ID] {
		j.answered = true
		j.answer <- Answer{Kind: Repeated}
		c.Turned(r, Answer{Kind: Repeated})
		return
	}
	c.ids[r.ID] = true
	for c.nextID++; c.jobs[c.nextID] != nil; c.nextID++ {
	}
	j.id, j.due, j.mod = c.nextID, c.clock.at(r.Deadline), c.mods[len(c.mods)-1]
	c.jobs[j.id] = j
	j.mod.open++
	j.overdue = time.AfterFunc(time.Until(r.Deadline)+c.set.ResponseGrace+overdueAfter, func() {
		c.do(func() { c.overdue(j) })
	})
	j.mod.events = append(j.mod.events, policy.Event{Kind: policy.Request, ID: j.id, Class: r.Class, Tenant: r.Tenant, Key: r.Key,
		Work: r.Work, Slots: r.Slots, Memory: r.Memory, Retry: r.Retry, Report: policy.NoReport})
}

// overdue ends a request that the module has forgotten.
func (c *Coordinator) overdue(j *job) {
	if j.answered {
		return
	}
	c.log.WithField("request", j.r.ID).Error("request overdue; answered as failed")
	c.reply(j, Answer{Kind: Broken})
	j.mod.events = append(j.mod.events, policy.Event{Kind: policy.ClientDisconnected, ID: j.id})
}

// leave ends a request whose client has gone.
func (c *Coordinator) leave(j *job) {
	if !j.answered {
		c.reply(j, Answer{Kind: Left})
		j.mod.events = append(j.mod.events, policy.Event{Kind: policy.ClientDisconnected, ID: j.id})
	}
}

// reply gives j its final answer; only the first one counts.
func (c *Coordinator) reply(j *job, a Answer) {
	if j.answered {
		return
	}
	j.answered, j.kind, j.at = true, a.Kind, time.Now()
	j.overdue.Stop()
	for _, attempt := range j.attempts { // attempts that have not begun must not begin: nobody waits for them
		if !attempt.over && attempt.start.revoke() {
			attempt.cancel()
		}
	}
	j.answer <- a
	c.retire(j.r.ID)
	c.forget(j)
}

// retire remembers the id of an answered request for a while.
func (c *Coordinator) retire(id string) {
	if len(c.oldIDs) < idMemory {
		c.oldIDs = append(c.oldIDs, id)
		return
	}
	delete(c.ids, c.oldIDs[c.oldest])
	c.oldIDs[c.oldest] = id
	c.oldest = (c.oldest + 1) % idMemory
}

func (c *Coordinator) forget(j *job) {
	if j.answered && j.out == 0 && c.jobs[j.id] == j {
		delete(c.jobs, j.id)
		j.mod.open--
		c.tell(j)
	}
}
