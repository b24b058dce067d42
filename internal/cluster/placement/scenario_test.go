package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// A scenario simulates the jobs of a service in virtual time. It calls the planner every scenarioTick and runs its
// placements. Hints are inaccurate, the speed of a kind of runner depends on the queue, and orders and reports are
// delayed. The result is the fraction of the jobs' value that is earned by ending them in time.

const (
	arrivalPeriod      = 34 * time.Second // during which jobs arrive
	drainPeriod        = 60 * time.Second // simulated time after the arrivals, long enough for most jobs to end
	scenarioTick       = 20 * time.Millisecond
	orderDelay         = 80 * time.Millisecond  // time from a round to the start on the runner
	reportDelay        = 60 * time.Millisecond  // time from the end of a run until its capacity is treated as free
	stopDelay          = 400 * time.Millisecond // time from a round to the end of a run that it stops
	trueNonLocalFactor = 1.5                    // actual slowdown outside the rack of the data, or of a gang across racks
)

// class describes a sort of jobs. Fractions are fractions of its jobs.
type class struct {
	name              string
	perSecond         float64 // mean arrival rate
	steps             float64 // mean number of steps of a job
	width             float64 // mean number of tasks of a step
	workMs            float64 // mean runtime of a task on a kind with factor 1, in ms
	maxWidth          int     // largest number of tasks of a step
	needs             protocol.Resources
	gpus              []int64       // accelerators of a task; each job has one of these numbers
	hintError         float64       // largest relative error of hints
	spread            float64       // standard deviation of ln(runtime) of the tasks of a step
	priority          int           // 0 is the highest
	target            time.Duration // target latency of the queue
	extension         float64       // extension factor of the queue
	checkpointing     float64       // fraction of jobs with runs that write checkpoints
	localFraction     float64       // fraction of jobs with data in a rack
	gang              bool
	rackLocalFraction float64 // fraction of gangs that are rack-local
	longRunning       bool
	runtimeByKind     map[string]float64 // factor of the runtime, by kind of runner
	value             float64            // value of a job of mean work
	lateValue         float64            // value of such a job if it ends late
}

type scenarioJob struct {
	class         *class
	number        int
	arrived       time.Duration
	steps         [][]*scenarioTask
	next          int           // first step that is not done
	ended         time.Duration // negative while the job has not ended
	affinity      string
	gpus          int64
	hints         []float64 // in ms, by step
	rackOnly      bool      // the gang is rack-local
	checkpointing bool
	criticalPath  time.Duration // actual one, on a kind with factor 1
	runningTime   time.Duration // sum over the tasks of a long-running job
}

type scenarioTask struct {
	job          *scenarioJob
	step         int
	work         time.Duration // runtime on a kind with factor 1
	done         bool
	pendingSince time.Duration
	run          *scenarioRun
	checkpoint   float64 // fraction of the work that the newest checkpoint has, 0 to 1
}

type scenarioRun struct {
	task      *scenarioTask
	runner    int           // index into the fleet
	from      time.Duration // start on the runner
	until     time.Duration // end on the runner
	predicted time.Duration
	stopped   bool
}

// scenario is the state of one simulation.
type scenario struct {
	rng     *rand.Rand
	planner *Planner
	classes []*class
	fleet   []Runner
	running [][]*scenarioRun // by runner
	jobs    []*scenarioJob
	now     time.Duration
	lost    float64 // work that preemption lost for lack of a checkpoint, in core-seconds
	stops   int
}

func (d *scenario) exponential(mean float64) float64 { return -mean * math.Log(1-d.rng.Float64()) }

func (d *scenario) logNormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*d.rng.NormFloat64()-spread*spread/2)
}

func (d *scenario) arrive(c *class) {
	job := &scenarioJob{class: c, number: len(d.jobs), arrived: d.now, ended: -1, checkpointing: d.rng.Float64() < c.checkpointing,
		rackOnly: d.rng.Float64() < c.rackLocalFraction}
	if d.rng.Float64() < c.localFraction {
		job.affinity = d.fleet[d.rng.IntN(len(d.fleet))].Rack
	}
	if len(c.gpus) > 0 {
		job.gpus = c.gpus[d.rng.IntN(len(c.gpus))]
	}
	for step := range max(1, int(math.Round(d.logNormal(c.steps, 0.4)))) {
		work := min(d.logNormal(c.workMs, 0.5), 2.5*c.workMs)
		job.hints = append(job.hints, work*(1+c.hintError*(2*d.rng.Float64()-1)))
		var tasks []*scenarioTask
		longest := 0.0
		for range min(c.maxWidth, max(1, int(math.Round(d.logNormal(c.width, 0.8))))) {
			one := d.logNormal(work, c.spread)
			longest = max(longest, one)
			tasks = append(tasks, &scenarioTask{job: job, step: step, work: ms(one), pendingSince: d.now})
		}
		if c.gang {
			for _, task := range tasks {
				task.work = ms(longest)
			}
		}
		job.criticalPath += ms(longest)
		job.steps = append(job.steps, tasks)
	}
	d.jobs = append(d.jobs, job)
}

func (j *scenarioJob) needs() protocol.Resources {
	needs := j.class.needs
	needs.GPU = j.gpus
	return needs
}

// timeLeft returns the time left of a step as package scheduler computes it from predictions.
func (d *scenario) timeLeft(job *scenarioJob, step int) time.Duration {
	total, after := time.Duration(0), time.Duration(0)
	for i, hint := range job.hints {
		predicted := d.planner.Predictor().Predict(job.class.name, "", hint)
		total += predicted
		if i > step {
			after += predicted
		}
	}
	objective := job.class.target + time.Duration(job.class.extension*float64(total))
	return job.arrived - d.now + objective - after
}

// pending returns the tasks that may start, as the planner's tasks and as the scenario's.
func (d *scenario) pending() (tasks []Task, of []*scenarioTask) {
	for _, job := range d.jobs {
		if job.next >= len(job.steps) {
			continue
		}
		for _, task := range job.steps[job.next] {
			if task.done || task.run != nil {
				continue
			}
			c := job.class
			tasks = append(tasks, Task{Key: task, Queue: c.name, Priority: c.priority, SizeMs: job.hints[job.next],
				Needs: job.needs(), TimeLeft: d.timeLeft(job, job.next), Waited: d.now - task.pendingSince,
				Affinity: job.affinity, Group: &job.steps[job.next][0].done, Gang: c.gang, RackLocal: job.rackOnly,
				LongRunning: c.longRunning, HasCheckpoint: task.checkpoint > 0, Remaining: 1 - task.checkpoint})
			of = append(of, task)
		}
	}
	return tasks, of
}

// runnersNow returns the current state of the runners, as package scheduler would describe it to the planner.
func (d *scenario) runnersNow() []Runner {
	runners := slices.Clone(d.fleet)
	for i := range runners {
		r := &runners[i]
		r.Free, r.GroupCount, r.Running = r.Capacity, map[any]int{}, nil
		for _, run := range d.running[i] {
			job := run.task.job
			needs := job.needs()
			subtract(&r.Free, needs)
			r.GroupCount[&job.steps[run.task.step][0].done]++
			elapsed := max(0, d.now-run.from)
			sinceCheckpoint := elapsed
			if job.checkpointing {
				sinceCheckpoint = elapsed % (2 * time.Second)
			}
			r.Running = append(r.Running, Run{Key: run, Queue: job.class.name, Priority: job.class.priority, Needs: needs,
				Predicted: run.predicted, Elapsed: elapsed, CheckpointAge: sinceCheckpoint, LongRunning: job.class.longRunning,
				Gang: job.class.gang, Stopping: run.stopped})
		}
	}
	return runners
}

func (d *scenario) round() {
	tasks, of := d.pending()
	if len(tasks) == 0 {
		return
	}
	runners := d.runnersNow()
	result := d.planner.Round(d.now, tasks, runners)
	racks := map[*scenarioJob]map[string]bool{}
	for _, p := range result.Placements {
		job := of[p.Task].job
		if racks[job] == nil {
			racks[job] = map[string]bool{}
		}
		racks[job][d.fleet[p.Runner].Rack] = true
	}
	for _, p := range result.Placements {
		task := of[p.Task]
		length := time.Duration(float64(d.trueRuntime(task, p.Runner)) * (1 - task.checkpoint))
		if task.job.rackOnly && len(racks[task.job]) > 1 {
			length = time.Duration(trueNonLocalFactor * float64(length))
		}
		task.run = &scenarioRun{task: task, runner: p.Runner, from: d.now + orderDelay, predicted: p.Predicted}
		task.run.until = task.run.from + length
		d.running[p.Runner] = append(d.running[p.Runner], task.run)
	}
	for _, stop := range result.Stops {
		d.stop(runners[stop.Runner].Running[stop.Run].Key.(*scenarioRun))
	}
}

func (d *scenario) stop(run *scenarioRun) {
	d.stops++
	job := run.task.job
	elapsed := max(0, d.now-run.from)
	if job.checkpointing {
		fraction := elapsed.Seconds() / (run.until - run.from).Seconds()
		run.task.checkpoint += fraction * (1 - run.task.checkpoint)
	} else {
		d.lost += elapsed.Seconds() * cores(job.needs())
	}
	run.stopped = true
	run.until = d.now + stopDelay
}

// trueRuntime returns the actual runtime of a task on a runner.
func (d *scenario) trueRuntime(task *scenarioTask, runner int) time.Duration {
	job, r := task.job, &d.fleet[runner]
	if job.class.longRunning {
		return time.Hour
	}
	factor := job.class.runtimeByKind[r.Kind] * r.Slowness
	if job.affinity != "" && job.affinity != r.Rack {
		factor *= trueNonLocalFactor
	}
	return time.Duration(factor * float64(task.work))
}

func (d *scenario) endRuns() {
	for i, runs := range d.running {
		d.running[i] = slices.DeleteFunc(runs, func(run *scenarioRun) bool {
			if run.until+reportDelay > d.now {
				if run.task.job.class.longRunning && d.now >= run.from {
					run.task.job.runningTime += scenarioTick
				}
				return false
			}
			d.end(run)
			return true
		})
	}
}

func (d *scenario) end(run *scenarioRun) {
	task, job := run.task, run.task.job
	task.run = nil
	if run.stopped {
		task.pendingSince = d.now
		return
	}
	task.done = true
	r := &d.fleet[run.runner]
	far := job.affinity != "" && job.affinity != r.Rack
	if task.checkpoint == 0 && !job.rackOnly {
		d.planner.Predictor().Observe(job.class.name, r.Kind, job.hints[task.step], run.until-run.from, far)
	}
	for _, other := range job.steps[job.next] {
		if !other.done {
			return
		}
	}
	job.next++
	if job.next == len(job.steps) {
		job.ended = run.until
		return
	}
	for _, other := range job.steps[job.next] {
		other.pendingSince = d.now
	}
}

// run simulates the arrival of jobs for the given time, at a multiple of their usual rate, and then the drainPeriod.
func (d *scenario) run(length time.Duration, rate float64) {
	due := make([]float64, len(d.classes))
	for i, c := range d.classes {
		due[i] = d.exponential(1 / (c.perSecond * rate))
	}
	for ; d.now < length+drainPeriod; d.now += scenarioTick {
		for i, c := range d.classes {
			for d.now < length && due[i] <= d.now.Seconds() {
				d.arrive(c)
				due[i] += d.exponential(1 / (c.perSecond * rate))
			}
		}
		d.endRuns()
		d.round()
	}
}

// valueOf returns the value of a job and the earned part of it. The value of a job rises with its work. A job that ends
// by its objective earns its whole value. A later job earns a part of it if it ends within three times the objective,
// and no value after that. A long-running job earns the fraction of the time that its tasks have run.
func (d *scenario) valueOf(job *scenarioJob) (value, earned float64) {
	c := job.class
	if c.longRunning {
		width := float64(len(job.steps[0]))
		return c.value, c.value * job.runningTime.Seconds() / width / (d.now - job.arrived).Seconds()
	}
	work := 0.0
	for _, step := range job.steps {
		for _, task := range step {
			work += task.work.Seconds()
		}
	}
	mean := c.steps * c.width * c.workMs / 1000
	value = c.value * (0.3 + 0.7*min(work/mean, 4))
	objective := time.Duration(c.extension*float64(job.criticalPath)) + c.target
	switch took := job.ended - job.arrived; {
	case job.ended < 0 || took > 3*objective:
		return value, 0
	case took > objective:
		return value, value * c.lateValue / c.value
	}
	return value, value
}
