package simulation

import (
	"fmt"
	"net/http"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Frontend is the interface of a frontend's process to clients. reply is called at most once, and never if the client gets
// no response. Each call returns a function that informs the frontend that the client has disconnected.
type Frontend interface {
	Submit(queue QueueName, id string, job *protocol.JobSpec, timeout time.Duration, reply func(status int)) (disconnect func())
	State(queue QueueName, id string, timeout time.Duration, reply func(status int, state string)) (disconnect func())
	Cancel(queue QueueName, id string, timeout time.Duration, reply func(status int)) (disconnect func())
	CountPending(queue QueueName, timeout time.Duration, reply func(status int, pending int)) (disconnect func())
}

// Clients stands in for all clients: they submit jobs, query their states and cancel them, with retries as the users'
// clients make them.
type Clients struct {
	World       *World
	GroundTruth *GroundTruth
	History     *History
	Frontends   []*Machine
	// Frontend returns the process on a machine, or nil while none is listening there.
	Frontend func(m *Machine) Frontend
	// OnAccepted, if not nil, is called when a client learns that its job was accepted.
	OnAccepted      func()
	Timeout         time.Duration // of one call
	MaxRetries      int           // of a submission or a cancel, at most
	AbandonFraction float64       // in this fraction of submissions the client disconnects 5 to 300 ms after sending
	// WithdrawFraction is the fraction of submissions of which the client disconnects up to maxPatience after sending, and
	// then cancels the job at another frontend, without submitting it again.
	WithdrawFraction float64
}

// maxPatience is the longest time for which a client that withdraws its submission waits for the response.
const maxPatience = 600 * time.Millisecond

// NewClients returns clients that call these frontends.
func NewClients(world *World, truth *GroundTruth, frontends []*Machine) *Clients {
	return &Clients{World: world, GroundTruth: truth, History: truth.History, Frontends: frontends,
		Timeout: 3 * time.Second, MaxRetries: 4}
}

// Submit starts the client of a new job. The client submits the job, polls its state until it is completed or the traffic
// ends, and cancels it after the time cancelAfter, unless that is Never.
func (c *Clients) Submit(queue QueueName, spec protocol.JobSpec, work Work, cancelAfter time.Duration) *JobRecord {
	job := &JobRecord{ID: fmt.Sprintf("%016x", c.World.Random.Uint64()), Queue: queue, Spec: spec, Accepted: Never}
	c.History.AddJob(job)
	c.GroundTruth.AddJob(job, work)
	c.submit(job, c.World.Random.IntN(c.MaxRetries+1))
	if cancelAfter != Never {
		c.World.After(cancelAfter, func() { c.cancel(job, 0) })
	}
	c.pollState(job)
	return job
}

// QueryState queries a job's state once. done, which may be nil, is called with noResponse and no state if there is no
// response.
func (c *Clients) QueryState(job *JobRecord, done func(status int, state string)) {
	c.recordCall(&job.Queries, c.Timeout, func(f Frontend, reply replyFunc) func() {
		return f.State(job.Queue, job.ID, c.Timeout, reply)
	}, func(status int, state string) {
		if done != nil {
			done(status, state)
		}
	})
}

// QueryPending queries the number of pending jobs in a queue once.
func (c *Clients) QueryPending(queue QueueName) {
	attempt := &Attempt{}
	c.call(c.drawFrontend(""), attempt, c.Timeout, func(f Frontend, reply replyFunc) func() {
		return f.CountPending(queue, c.Timeout, func(status, _ int) { reply(status, "") })
	}, func(int, string) {
		c.History.PendingQueries = append(c.History.PendingQueries, PendingQuery{Queue: queue, Attempt: *attempt})
	})
}

// submit submits a job, and again after a backoff while retries remain, if there was no response, or one of 429 or 5xx.
func (c *Clients) submit(job *JobRecord, retries int) {
	timeout := c.Timeout
	if c.World.Chance(c.AbandonFraction) {
		timeout = c.World.Between(5*time.Millisecond, 300*time.Millisecond)
	}
	withdraws := c.World.Chance(c.WithdrawFraction)
	if withdraws {
		timeout = c.World.Between(5*time.Millisecond, maxPatience)
	}
	position := len(job.Submissions)
	c.recordCall(&job.Submissions, timeout, func(f Frontend, reply replyFunc) func() {
		return f.Submit(job.Queue, job.ID, &job.Spec, c.Timeout, func(status int) { reply(status, "") })
	}, func(status int, _ string) {
		if isSuccess(status) {
			if job.Accepted == Never {
				job.Accepted = c.World.now
			}
			if c.OnAccepted != nil {
				c.OnAccepted()
			}
			return
		}
		if withdraws && status == noResponse {
			c.cancelElsewhere(job, 0, job.Submissions[position].Machine)
			return
		}
		mayRetry := status == noResponse || status == http.StatusTooManyRequests || status/100 == 5
		if mayRetry && retries > 0 {
			c.World.After(c.backoff(c.MaxRetries-retries), func() { c.submit(job, retries-1) })
		}
	})
}

// cancel sends a cancel of a job to a drawn frontend, up to MaxRetries times more, until it is acknowledged.
func (c *Clients) cancel(job *JobRecord, attempts int) { c.cancelElsewhere(job, attempts, "") }

// cancelElsewhere cancels a job as cancel does, but avoids the frontend on one machine if there is another one.
func (c *Clients) cancelElsewhere(job *JobRecord, attempts int, avoided string) {
	c.recordCallTo(c.drawFrontend(avoided), &job.Cancels, c.Timeout, func(f Frontend, reply replyFunc) func() {
		return f.Cancel(job.Queue, job.ID, c.Timeout, func(status int) { reply(status, "") })
	}, func(status int, _ string) {
		if !isSuccess(status) && status != http.StatusGone && attempts < c.MaxRetries {
			c.World.After(c.backoff(attempts), func() { c.cancelElsewhere(job, attempts+1, avoided) })
		}
	})
}

// pollState queries a job's state at drawn times, every 4 s on average, and once soon after all its tasks are really done.
func (c *Clients) pollState(job *JobRecord) {
	const interval, meanBetweenQueries = 250 * time.Millisecond, 4 * time.Second
	queriedFinished := false // a query was sent after all tasks were done
	var poll func()
	poll = func() {
		if job.LastState() == protocol.JobCompleted || c.World.now > c.History.TrafficEnds {
			return
		}
		isFinished := c.GroundTruth.IsFinished(job.ID)
		if isFinished && !queriedFinished || c.World.Chance(float64(interval)/float64(meanBetweenQueries)) {
			queriedFinished = queriedFinished || isFinished
			c.QueryState(job, nil)
		}
		c.World.After(interval, poll)
	}
	c.World.After(interval, poll)
}

// noResponse is the status of a call that timed out, was reset, or was refused because no process listened.
const noResponse = 0

// replyFunc is called with a frontend's response. The state is empty unless the request queried a job's state.
type replyFunc func(status int, state string)

// requestFunc sends a request to a frontend and returns a function that informs it that the client has disconnected.
type requestFunc func(f Frontend, reply replyFunc) (disconnect func())

// recordCall makes a call to a drawn frontend and records it; see recordCallTo.
func (c *Clients) recordCall(attempts *[]Attempt, timeout time.Duration, request requestFunc, done replyFunc) {
	c.recordCallTo(c.drawFrontend(""), attempts, timeout, request, done)
}

// recordCallTo makes a call to the frontend on a machine and appends its attempt to a list at once. The entry is completed
// before done is called.
func (c *Clients) recordCallTo(machine *Machine, attempts *[]Attempt, timeout time.Duration, request requestFunc, done replyFunc) {
	attempt := &Attempt{}
	position := len(*attempts)
	c.call(machine, attempt, timeout, request, func(status int, state string) {
		(*attempts)[position] = *attempt
		done(status, state)
	})
	*attempts = append(*attempts, *attempt)
}

// call makes one call of a client to the frontend on a machine. It calls done once: with the response, or with noResponse
// at the timeout, when the process ends before, or when none is listening. At the timeout the client disconnects.
func (c *Clients) call(machine *Machine, attempt *Attempt, timeout time.Duration, request requestFunc, done replyFunc) {
	attempt.Machine, attempt.Incarnation, attempt.Sent, attempt.Answered = machine.Name, machine.incarnation, c.World.now, Never
	isFinished := false
	finish := func(status int) {
		if !isFinished {
			isFinished = true
			done(status, attempt.State)
		}
	}
	disconnect := func() {}
	c.World.After(timeout, func() {
		if !isFinished {
			finish(noResponse)
			c.World.After(ClientDelay, func() { disconnect() })
		}
	})
	c.World.After(c.delay(), func() {
		frontend := c.Frontend(machine)
		if frontend == nil {
			c.World.After(c.delay(), func() { finish(noResponse) })
			return
		}
		incarnation := machine.incarnation
		machine.onEnd = append(machine.onEnd, func() { c.World.After(c.delay(), func() { finish(noResponse) }) })
		machine.inIncarnation(incarnation, func() {
			clientLeft := request(frontend, func(status int, state string) {
				c.World.After(c.delay(), func() {
					if isFinished || machine.incarnation != incarnation {
						return
					}
					attempt.Answered, attempt.Status, attempt.State = c.World.now, status, state
					finish(status)
				})
			})
			disconnect = func() { machine.inIncarnation(incarnation, clientLeft) }
			if isFinished {
				clientLeft() // the client disconnected while the machine was frozen
			}
		})
	})
}

// drawFrontend draws a frontend to which the platform routes new clients, or any frontend if it routes to none. It draws the
// one on the avoided machine only if there is no other; an empty name avoids none.
func (c *Clients) drawFrontend(avoided string) *Machine {
	var ready []*Machine
	for _, m := range c.Frontends {
		if m.receivesClients() && m.Name != avoided {
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 {
		ready = c.Frontends
	}
	return Pick(c.World, ready)
}

// delay draws the time that a message takes between a client and a machine.
func (c *Clients) delay() time.Duration { return c.World.Between(ClientDelay, 2*ClientDelay) }

// backoff draws the time until a retry, which grows with the number of attempts made.
func (c *Clients) backoff(attempts int) time.Duration {
	return c.World.Between(50*time.Millisecond, 300*time.Millisecond*time.Duration(attempts+1))
}
