package main

import (
	"fmt"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/scheduler"
)

const (
	startMs    = int64(1_700_000_000_000)
	commitTime = 12 * time.Millisecond // from proposing to applying: a sync and the way to a quorum and back
	wayTime    = time.Millisecond      // from a runner to the owner
	tickLeast  = 5 * time.Millisecond
	tickMost   = 250 * time.Millisecond
	filling    = 3 // seconds over which the runners make themselves known
)

// load is what the hollow runners and clients of one owner do.
type load struct {
	runners  int
	services int
	tasks    int     // running at once
	starts   float64 // a second
	perJob   int     // tasks
	poll     time.Duration
	queues   int
	gathered bool // inputs of a tick share one pass over the runners, as the shell does not do yet
	stuck    int  // tasks held all the while, since no runner has their label
}

// fullTime is how long a task runs, so that starts and tasks agree.
func (l *load) fullTime() time.Duration {
	if l.starts <= 0 {
		return time.Hour
	}
	return time.Duration(float64(l.tasks) / l.starts * float64(time.Second))
}

// figures are what happened in a measured span.
type figures struct {
	span                           time.Duration // virtual
	processor                      time.Duration
	beats, commits, commandBytes   int
	starts, heldSum, heldMost      int
	rounds                         uint64
	waits                          time.Duration // between a task's turn and its start at the runner, summed
	allocatedBytes, allocatedItems uint64
}

// world is one owner over one state, with hollow runners, in virtual time. What the shell of the control role does with
// each input is done here too.
type world struct {
	timeline
	load    load
	state   *jobs.State
	owner   *scheduler.Owner
	runners []*hollowRunner
	tickAt  time.Duration
	ticking bool
	nextJob int
	figures figures
	extra   func(effects *jobs.Effects)
}

func newWorld(l load) *world {
	w := &world{load: l, state: jobs.New(jobs.Options{StatusTime: 2 * time.Minute})}
	w.now = time.Second
	w.owner = scheduler.New(scheduler.Options{
		HoldMax: 6 * time.Second, StopTime: 900 * time.Millisecond, GangWait: 3 * time.Second,
		PollBusy: l.poll, PollIdle: max(l.poll, 200*time.Millisecond), MaxPending: 1 << 20,
	}, w.state)
	w.owner.Lead(w.now, w.clock(), 7)
	for i := range l.runners {
		r := newHollowRunner(i, serviceName(i%l.services), l.fullTime())
		w.runners = append(w.runners, r)
		w.after(time.Duration(i)*filling*time.Second/time.Duration(l.runners), func() { w.beat(r) })
	}
	w.wake(0)
	return w
}

func serviceName(number int) string { return fmt.Sprintf("service-%d", number) }

func (w *world) clock() int64 { return startMs + w.now.Milliseconds() }

// input does what the shell does around each input of the owner.
func (w *world) input(f func()) {
	if w.load.gathered {
		f()
		w.wake(tickLeast)
		return
	}
	w.owner.Tick(w.now, 0, w.now)
	f()
	w.pump()
	w.wake(tickLeast)
}

func (w *world) pump() {
	if command := w.owner.Take(w.now); command != nil {
		w.propose(command)
	}
	w.owner.Flush(w.now)
}

func (w *world) propose(command *jobs.Command) {
	data, err := jobs.Encode(command)
	if err != nil {
		panic(err)
	}
	w.figures.commits++
	w.figures.commandBytes += len(data)
	w.after(commitTime, func() {
		decoded, err := jobs.Decode(data)
		if err != nil {
			panic(err)
		}
		effects := w.state.Apply(decoded)
		for _, started := range effects.Starts {
			if started {
				w.figures.starts++
			}
		}
		w.owner.Applied(w.now, command, effects, true)
		if w.extra != nil {
			w.extra(effects)
		}
		w.pump()
	})
}

// wake asks for a tick soon.
func (w *world) wake(wait time.Duration) {
	at := w.now + wait
	if w.ticking && w.tickAt <= at {
		return
	}
	w.ticking, w.tickAt = true, at
	w.after(wait, func() {
		if w.ticking && w.tickAt == at {
			w.tick()
		}
	})
}

func (w *world) tick() {
	w.ticking = false
	w.owner.Tick(w.now, w.clock(), w.now)
	w.pump()
	next := min(w.owner.NextDeadline(w.now), w.now+tickMost)
	w.wake(max(next-w.now, tickLeast))
}

// beat sends a runner's heartbeat, and the next one as its answer says.
func (w *world) beat(r *hollowRunner) {
	w.figures.beats++
	report := r.report(w.now)
	w.after(wayTime, func() {
		w.input(func() {
			w.owner.Heartbeat(w.now, report, func(orders *protocol.Orders, err error) { w.answered(r, orders, err) })
		})
	})
}

func (w *world) answered(r *hollowRunner, orders *protocol.Orders, err error) {
	if err != nil {
		panic(err)
	}
	w.after(wayTime, func() {
		r.obey(w.now, orders)
		w.after(time.Duration(orders.RetryDelayMs)*time.Millisecond, func() { w.beat(r) })
	})
}

// submit hands in a job of so many tasks.
func (w *world) submit(step protocol.Step) {
	w.nextJob++
	number := w.nextJob
	queue := protocol.Queue{
		Key:             fmt.Sprintf("team-%d.example/q%d/", number%w.load.queues, number%w.load.queues),
		Service:         serviceName(number % w.load.services),
		Priority:        number % 3,
		MaxAttempts:     3,
		Extension:       2,
		TargetLatencyMs: 2700,
	}
	job := jobs.Submit{ID: jobName(number), Queue: queue, Job: protocol.JobSpec{
		Spec: specText, Steps: []protocol.Step{step},
	}}
	w.input(func() {
		w.owner.Submit(w.now, job, func(_ bool, err error) {
			if err != nil {
				panic(err)
			}
		})
	})
}

// ordinary is a step as most are.
func (w *world) ordinary(count int) protocol.Step {
	return protocol.Step{Count: count, CPU: 2_000, MemoryMB: 4_000, EstimatedMs: float64(w.load.fullTime().Milliseconds())}
}

// feed hands in jobs at the load's pace.
func (w *world) feed() {
	if w.load.starts <= 0 {
		return
	}
	w.submit(w.ordinary(w.load.perJob))
	gap := float64(w.load.perJob) / w.load.starts
	w.after(time.Duration(gap*float64(time.Second)), w.feed)
}

// fill brings the load's tasks to run, spread over the time that they take.
func (w *world) fill() {
	w.pass((filling + 1) * time.Second)
	for left := w.load.tasks; left > 0; left -= w.load.perJob {
		w.submit(w.ordinary(min(left, w.load.perJob)))
	}
	until := w.now + 2*time.Minute
	for w.state.Counters().Running < w.load.tasks*99/100 && w.step(until) {
	}
	w.spread()
	if w.load.stuck > 0 {
		step := w.ordinary(w.load.stuck)
		step.Requirements = "nowhere"
		w.submit(step)
	}
	w.feed()
}

// spread gives the running tasks times to end that lie evenly ahead.
func (w *world) spread() {
	count := 0
	for _, r := range w.runners {
		count += len(r.ends)
	}
	position := 0
	for _, r := range w.runners {
		for i := range r.ends {
			scattered := position * 7919 % max(count, 1)
			r.ends[i] = w.now + time.Duration(scattered)*w.load.fullTime()/time.Duration(max(count, 1))
			position++
		}
	}
}

// measure runs for a virtual span, or until so much processor time is used up.
func (w *world) measure(span, budget time.Duration) figures {
	w.figures = figures{}
	begun, used := w.now, processorTime()
	bytes, items := allocations()
	rounds := w.owner.Counters().Rounds
	for steps := 1; w.step(begun + span); steps++ {
		held := w.state.HeldCount()
		w.figures.heldMost = max(w.figures.heldMost, held)
		if steps%64 == 0 && processorTime()-used > budget {
			break
		}
	}
	f := &w.figures
	f.span, f.processor = w.now-begun, processorTime()-used
	f.rounds = w.owner.Counters().Rounds - rounds
	nowBytes, nowItems := allocations()
	f.allocatedBytes, f.allocatedItems = nowBytes-bytes, nowItems-items
	return *f
}

func jobName(number int) string { return fmt.Sprintf("%016x", number) }

func (w *world) newestJob() string { return jobName(w.nextJob) }
