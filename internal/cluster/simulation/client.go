package simulation

import (
	"fmt"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Frontend is what clients call. The reply is called at most once; without it the client hears nothing. Each call returns
// what tells the frontend that the client has left.
type Frontend interface {
	Submit(queue QueueName, id string, job *protocol.JobSpec, deadline time.Duration, reply func(status int)) (left func())
	State(queue QueueName, id string, deadline time.Duration, reply func(status int, state string)) (left func())
	Cancel(queue QueueName, id string, deadline time.Duration, reply func(status int)) (left func())
	CountPending(queue QueueName, deadline time.Duration, reply func(status int, pending int)) (left func())
}

// Clients hand jobs in, ask after them and cancel them.
type Clients struct {
	World           *World
	Network         *Network
	GroundTruth     *GroundTruth
	History         *History
	Frontends       []*Machine
	Frontend        func(m *Machine) Frontend // nil while nothing listens there
	OnAccepted      func(job *JobRecord, by *Machine)
	Timeout         time.Duration
	MaxRetries      int
	AbandonFraction float64 // share of clients that leave early now
}

// NewClients returns clients that call these frontends.
func NewClients(world *World, network *Network, plant *GroundTruth, frontends []*Machine) *Clients {
	return &Clients{World: world, Network: network, GroundTruth: plant, History: plant.History, Frontends: frontends,
		Timeout: 3 * time.Second, MaxRetries: 4}
}

// Submit begins a job: it is handed in, asked after until it has ended, and cancelled if cancelAfter is not Never.
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

// call makes one call of a client to some frontend. Silence ends it at the client's deadline: the client leaves, of which
// the frontend hears.
func (c *Clients) call(try *Attempt, deadline time.Duration, ask func(f Frontend, answer func(status int, state string)) (left func()),
	done func(status int)) {
	machine := c.drawFrontend()
	try.Machine, try.Incarnation, try.Sent, try.Answered = machine.Name, machine.incarnation, c.World.now, Never
	over := false
	finish := func(status int) {
		if !over {
			over = true
			done(status)
		}
	}
	left := func() {}
	c.World.After(deadline, func() {
		if !over {
			finish(0)
			c.World.After(ClientDelay, func() { left() })
		}
	})
	c.World.After(c.delay(), func() {
		frontend := c.Frontend(machine)
		if frontend == nil {
			c.World.After(c.delay(), func() { finish(0) })
			return
		}
		life := machine.incarnation
		machine.onEnd = append(machine.onEnd, func() { c.World.After(c.delay(), func() { finish(0) }) })
		machine.inIncarnation(life, func() {
			leave := ask(frontend, func(status int, state string) {
				c.World.After(c.delay(), func() {
					if over || machine.incarnation != life {
						return
					}
					try.Answered, try.Status, try.State = c.World.now, status, state
					finish(status)
				})
			})
			left = func() { machine.inIncarnation(life, leave) }
			if over {
				leave() // while the machine stood still
			}
		})
	})
}

// drawFrontend draws a frontend; the platform leaves out those that have long called themselves not ready, or are long down.
func (c *Clients) drawFrontend() *Machine {
	var ready []*Machine
	for _, m := range c.Frontends {
		if m.receivesClients() {
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 {
		ready = c.Frontends
	}
	return Pick(c.World, ready)
}

func (c *Clients) delay() time.Duration { return c.World.Between(ClientDelay, 2*ClientDelay) }

func (c *Clients) backoff(tries int) time.Duration {
	return c.World.Between(50*time.Millisecond, 300*time.Millisecond*time.Duration(tries+1))
}

func (c *Clients) submit(job *JobRecord, left int) {
	job.Submissions = append(job.Submissions, Attempt{})
	position := len(job.Submissions) - 1
	deadline := c.Timeout
	if c.World.Chance(c.AbandonFraction) {
		deadline = c.World.Between(5*time.Millisecond, 300*time.Millisecond)
	}
	held := &Attempt{}
	c.call(held, deadline, func(f Frontend, answer func(int, string)) func() {
		return f.Submit(job.Queue, job.ID, &job.Spec, c.Timeout, func(status int) { answer(status, "") })
	}, func(status int) {
		job.Submissions[position] = *held
		if status/100 == 2 {
			if job.Accepted == Never {
				job.Accepted = c.World.now
			}
			if c.OnAccepted != nil {
				c.OnAccepted(job, c.machine(held.Machine))
			}
			return
		}
		again := status == 0 || status == 429 || status/100 == 5
		if again && left > 0 {
			c.World.After(c.backoff(c.MaxRetries-left), func() { c.submit(job, left-1) })
		}
	})
	job.Submissions[position] = *held
}

func (c *Clients) machine(name string) *Machine {
	for _, m := range c.Frontends {
		if m.Name == name {
			return m
		}
	}
	return nil
}

func (c *Clients) cancel(job *JobRecord, tries int) {
	job.Cancels = append(job.Cancels, Attempt{})
	position := len(job.Cancels) - 1
	held := &Attempt{}
	c.call(held, c.Timeout, func(f Frontend, answer func(int, string)) func() {
		return f.Cancel(job.Queue, job.ID, c.Timeout, func(status int) { answer(status, "") })
	}, func(status int) {
		job.Cancels[position] = *held
		if status/100 != 2 && status != 410 && tries < c.MaxRetries {
			c.World.After(c.backoff(tries), func() { c.cancel(job, tries+1) })
		}
	})
	job.Cancels[position] = *held
}

// QueryState asks for a job's state once; done gets "" without a clear answer.
func (c *Clients) QueryState(job *JobRecord, done func(status int, state string)) {
	job.Queries = append(job.Queries, Attempt{})
	position := len(job.Queries) - 1
	held := &Attempt{}
	c.call(held, c.Timeout, func(f Frontend, answer func(int, string)) func() {
		return f.State(job.Queue, job.ID, c.Timeout, answer)
	}, func(status int) {
		job.Queries[position] = *held
		if done != nil {
			done(status, held.State)
		}
	})
	job.Queries[position] = *held
}

// pollState asks at drawn times, and once all tasks are known to have ended.
func (c *Clients) pollState(job *JobRecord) {
	const watch, mean = 250 * time.Millisecond, 4 * time.Second
	told := false
	var look func()
	look = func() {
		if job.LastState() == protocol.JobCompleted || c.World.now > c.History.TrafficEnds {
			return
		}
		finished, _ := c.GroundTruth.Finished(job.ID)
		if finished && !told || c.World.Chance(float64(watch)/float64(mean)) {
			told = told || finished
			c.QueryState(job, nil)
		}
		c.World.After(watch, look)
	}
	c.World.After(watch, look)
}

// LastState is what the job was last shown as.
func (j *JobRecord) LastState() string {
	for i := len(j.Queries) - 1; i >= 0; i-- {
		if j.Queries[i].Answered != Never {
			return j.Queries[i].State
		}
	}
	return ""
}

// QueryPending asks a frontend for a queue's count.
func (c *Clients) QueryPending(queue QueueName) {
	held := &Attempt{}
	c.call(held, c.Timeout, func(f Frontend, answer func(int, string)) func() {
		return f.CountPending(queue, c.Timeout, func(status, _ int) { answer(status, "") })
	}, func(int) {
		c.History.PendingQueries = append(c.History.PendingQueries, PendingQuery{Queue: queue, Attempt: *held})
	})
}
