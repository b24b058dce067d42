package coordinator

// A request from its arrival to its answer.

import (
	"time"

	"ospreypond/policy"
)

// arrive takes a request in and gives it the number by which the module knows it.
func (x *Exchange) arrive(j *job) {
	r := j.r
	// Guards against a client that uses the id of another's request: that one goes on as if nothing had come.
	if x.ids[r.ID] {
		j.answered = true
		j.answer <- Answer{Kind: Repeated}
		x.Turned(r, Answer{Kind: Repeated})
		return
	}
	x.ids[r.ID] = true
	for x.nextID++; x.jobs[x.nextID] != nil; x.nextID++ {
	}
	j.id, j.due, j.mod = x.nextID, x.clock.at(r.Deadline), x.mods[len(x.mods)-1]
	x.jobs[j.id] = j
	j.mod.open++
	j.net = time.AfterFunc(time.Until(r.Deadline)+x.set.AnswerSlack+netAfter, func() {
		x.do(func() { x.overdue(j) })
	})
	j.mod.events = append(j.mod.events, policy.Event{Kind: policy.Request, ID: j.id, Class: r.Class, Tenant: r.Tenant, Key: r.Key,
		Work: r.Work, Slots: r.Slots, Memory: r.Memory, Retry: r.Retry, Report: policy.NoReport})
}

// overdue ends a request that the module has forgotten.
func (x *Exchange) overdue(j *job) {
	if j.answered {
		return
	}
	x.log.WithField("request", j.r.ID).Error("request overdue; answered as failed")
	x.reply(j, Answer{Kind: Broken})
	j.mod.events = append(j.mod.events, policy.Event{Kind: policy.ClientGone, ID: j.id})
}

// leave ends a request whose client has gone.
func (x *Exchange) leave(j *job) {
	if !j.answered {
		x.reply(j, Answer{Kind: Left})
		j.mod.events = append(j.mod.events, policy.Event{Kind: policy.ClientGone, ID: j.id})
	}
}

// reply gives j its final answer; only the first one counts.
func (x *Exchange) reply(j *job, a Answer) {
	if j.answered {
		return
	}
	j.answered, j.kind, j.at = true, a.Kind, time.Now()
	j.net.Stop()
	for _, attempt := range j.attempts { // what has not begun must not, for nobody waits for it
		if !attempt.over && attempt.start.revoke() {
			attempt.cancel()
		}
	}
	j.answer <- a
	x.retire(j.r.ID)
	x.forget(j)
}

// retire remembers the id of an answered request for a while.
func (x *Exchange) retire(id string) {
	if len(x.oldIDs) < idMemory {
		x.oldIDs = append(x.oldIDs, id)
		return
	}
	delete(x.ids, x.oldIDs[x.oldest])
	x.oldIDs[x.oldest] = id
	x.oldest = (x.oldest + 1) % idMemory
}

func (x *Exchange) forget(j *job) {
	if j.answered && j.out == 0 && x.jobs[j.id] == j {
		delete(x.jobs, j.id)
		j.mod.open--
		x.tell(j)
	}
}
