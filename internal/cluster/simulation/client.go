package simulation

import (
	"fmt"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Frontend is what clients call. The reply is called at most once; without it the client hears nothing. Each call returns
// what tells the frontend that the client has left.
type Frontend interface {
	HandIn(queue QueueName, id string, job *protocol.JobSpec, deadline time.Duration, reply func(status int)) (left func())
	State(queue QueueName, id string, deadline time.Duration, reply func(status int, state string)) (left func())
	Cancel(queue QueueName, id string, deadline time.Duration, reply func(status int)) (left func())
	Pending(queue QueueName, deadline time.Duration, reply func(status int, pending int)) (left func())
}

// Clients hand jobs in, ask after them and cancel them.
type Clients struct {
	World     *World
	Network   *Network
	Plant     *Plant
	Ledger    *Ledger
	Frontends []*Machine
	Frontend  func(m *Machine) Frontend // nil while nothing listens there
	Accepted  func(job *JobRecord, by *Machine)
	Deadline  time.Duration
	Retries   int
	GiveUp    float64 // share of clients that leave early now
}

// NewClients returns clients that call these frontends.
func NewClients(world *World, network *Network, plant *Plant, frontends []*Machine) *Clients {
	return &Clients{World: world, Network: network, Plant: plant, Ledger: plant.Ledger, Frontends: frontends,
		Deadline: 3 * time.Second, Retries: 4}
}

// HandIn begins a job: it is handed in, asked after until it has ended, and cancelled if cancelAfter is not Never.
func (c *Clients) HandIn(queue QueueName, spec protocol.JobSpec, work Work, cancelAfter time.Duration) *JobRecord {
	job := &JobRecord{ID: fmt.Sprintf("%016x", c.World.Random.Uint64()), Queue: queue, Spec: spec, Accepted: Never}
	c.Ledger.AddJob(job)
	c.Plant.AddJob(job, work)
	c.tryHandIn(job, c.World.Random.IntN(c.Retries+1))
	if cancelAfter != Never {
		c.World.After(cancelAfter, func() { c.tryCancel(job, 0) })
	}
	c.askNowAndThen(job)
	return job
}

// call makes one call of a client to some frontend. Silence ends it at the client's deadline: the client leaves, of which
// the frontend hears.
func (c *Clients) call(try *Try, deadline time.Duration, ask func(f Frontend, answer func(status int, state string)) (left func()),
	done func(status int)) {
	machine := c.pick()
	try.Machine, try.Life, try.Sent, try.Answered = machine.Name, machine.life, c.World.now, Never
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
		life := machine.life
		machine.callers = append(machine.callers, func() { c.World.After(c.delay(), func() { finish(0) }) })
		machine.inLife(life, func() {
			leave := ask(frontend, func(status int, state string) {
				c.World.After(c.delay(), func() {
					if over || machine.life != life {
						return
					}
					try.Answered, try.Status, try.State = c.World.now, status, state
					finish(status)
				})
			})
			left = func() { machine.inLife(life, leave) }
			if over {
				leave() // while the machine stood still
			}
		})
	})
}

// pick draws a frontend; the platform leaves out those that have long called themselves not ready, or are long down.
func (c *Clients) pick() *Machine {
	var ready []*Machine
	for _, m := range c.Frontends {
		if m.ready() {
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 {
		ready = c.Frontends
	}
	return Pick(c.World, ready)
}

func (c *Clients) delay() time.Duration { return c.World.Between(ClientDelay, 2*ClientDelay) }

func (c *Clients) pause(tries int) time.Duration {
	return c.World.Between(50*time.Millisecond, 300*time.Millisecond*time.Duration(tries+1))
}

func (c *Clients) tryHandIn(job *JobRecord, left int) {
	job.HandIns = append(job.HandIns, Try{})
	position := len(job.HandIns) - 1
	deadline := c.Deadline
	if c.World.Chance(c.GiveUp) {
		deadline = c.World.Between(5*time.Millisecond, 300*time.Millisecond)
	}
	held := &Try{}
	c.call(held, deadline, func(f Frontend, answer func(int, string)) func() {
		return f.HandIn(job.Queue, job.ID, &job.Spec, c.Deadline, func(status int) { answer(status, "") })
	}, func(status int) {
		job.HandIns[position] = *held
		if status/100 == 2 {
			if job.Accepted == Never {
				job.Accepted = c.World.now
			}
			if c.Accepted != nil {
				c.Accepted(job, c.machine(held.Machine))
			}
			return
		}
		again := status == 0 || status == 429 || status/100 == 5
		if again && left > 0 {
			c.World.After(c.pause(c.Retries-left), func() { c.tryHandIn(job, left-1) })
		}
	})
	job.HandIns[position] = *held
}

func (c *Clients) machine(name string) *Machine {
	for _, m := range c.Frontends {
		if m.Name == name {
			return m
		}
	}
	return nil
}

func (c *Clients) tryCancel(job *JobRecord, tries int) {
	job.Cancels = append(job.Cancels, Try{})
	position := len(job.Cancels) - 1
	held := &Try{}
	c.call(held, c.Deadline, func(f Frontend, answer func(int, string)) func() {
		return f.Cancel(job.Queue, job.ID, c.Deadline, func(status int) { answer(status, "") })
	}, func(status int) {
		job.Cancels[position] = *held
		if status/100 != 2 && status != 410 && tries < c.Retries {
			c.World.After(c.pause(tries), func() { c.tryCancel(job, tries+1) })
		}
	})
	job.Cancels[position] = *held
}

// Ask asks for a job's state once; done gets "" without a clear answer.
func (c *Clients) Ask(job *JobRecord, done func(status int, state string)) {
	job.Asks = append(job.Asks, Try{})
	position := len(job.Asks) - 1
	held := &Try{}
	c.call(held, c.Deadline, func(f Frontend, answer func(int, string)) func() {
		return f.State(job.Queue, job.ID, c.Deadline, answer)
	}, func(status int) {
		job.Asks[position] = *held
		if done != nil {
			done(status, held.State)
		}
	})
	job.Asks[position] = *held
}

// askNowAndThen asks at drawn times, and once all tasks are known to have ended.
func (c *Clients) askNowAndThen(job *JobRecord) {
	const watch, mean = 250 * time.Millisecond, 4 * time.Second
	told := false
	var look func()
	look = func() {
		if job.LastState() == protocol.JobCompleted || c.World.now > c.Ledger.TrafficEnds {
			return
		}
		finished, _ := c.Plant.Finished(job.ID)
		if finished && !told || c.World.Chance(float64(watch)/float64(mean)) {
			told = told || finished
			c.Ask(job, nil)
		}
		c.World.After(watch, look)
	}
	c.World.After(watch, look)
}

// LastState is what the job was last shown as.
func (j *JobRecord) LastState() string {
	for i := len(j.Asks) - 1; i >= 0; i-- {
		if j.Asks[i].Answered != Never {
			return j.Asks[i].State
		}
	}
	return ""
}

// Count asks a frontend for a queue's count.
func (c *Clients) Count(queue QueueName) {
	held := &Try{}
	c.call(held, c.Deadline, func(f Frontend, answer func(int, string)) func() {
		return f.Pending(queue, c.Deadline, func(status, _ int) { answer(status, "") })
	}, func(int) {
		c.Ledger.Counts = append(c.Ledger.Counts, Count{Queue: queue, Try: *held})
	})
}
