package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// A day plays jobs of a service against the planner in virtual time: with hints that are off, kinds that differ by
// queue, orders and reports that take a while. It tells how much of the worth is earned.

const (
	dayLength   = 34 * time.Second
	dayAfter    = 60 * time.Second // until most have ended
	dayTick     = 20 * time.Millisecond
	orderTakes  = 80 * time.Millisecond // from a round to the start on the runner
	reportTakes = 60 * time.Millisecond // from an end to its room
	stopTakes   = 400 * time.Millisecond
	farActually = 1.5
)

// class is a sort of jobs.
type class struct {
	name      string
	perSecond float64
	steps     float64 // mean
	width     float64 // mean tasks of a step
	workMs    float64 // mean
	widest    int
	needs     protocol.Resources
	gpus      []int64
	hintOff   float64
	uneven    float64
	priority  int
	target    time.Duration
	extension float64
	saves     float64 // share of jobs that save
	near      float64 // share of jobs with data in a rack
	gang      bool
	tight     float64 // share of gangs that are rack-local
	lasts     bool
	slower    map[string]float64 // runtime on a kind
	worth     float64
	late      float64
}

type dayJob struct {
	class    *class
	number   int
	arrived  time.Duration
	steps    [][]*dayTask
	next     int // first step that is not done
	ended    time.Duration
	affinity string
	gpus     int64
	hints    []float64
	rackOnly bool
	saves    bool
	chain    time.Duration // really, on the usual kind
	atWork   time.Duration // of all its tasks, if it lasts
}

type dayTask struct {
	job     *dayJob
	step    int
	work    time.Duration
	done    bool
	held    time.Duration
	run     *dayRun
	percent float64 // saved
}

type dayRun struct {
	task      *dayTask
	runner    int
	from      time.Duration
	until     time.Duration
	predicted time.Duration
	stopped   bool
}

// day is one play.
type day struct {
	rng     *rand.Rand
	planner *Planner
	classes []*class
	fleet   []Runner
	running [][]*dayRun
	jobs    []*dayJob
	now     time.Duration
	lost    float64 // core-seconds stopped and not saved
	stops   int
}

func (d *day) exponential(mean float64) float64 { return -mean * math.Log(1-d.rng.Float64()) }

func (d *day) spreadOut(mean, spread float64) float64 {
	return mean * math.Exp(spread*d.rng.NormFloat64()-spread*spread/2)
}

func (d *day) arrive(c *class) {
	job := &dayJob{class: c, number: len(d.jobs), arrived: d.now, ended: -1, saves: d.rng.Float64() < c.saves,
		rackOnly: d.rng.Float64() < c.tight}
	if d.rng.Float64() < c.near {
		job.affinity = d.fleet[d.rng.IntN(len(d.fleet))].Rack
	}
	if len(c.gpus) > 0 {
		job.gpus = c.gpus[d.rng.IntN(len(c.gpus))]
	}
	for step := range max(1, int(math.Round(d.spreadOut(c.steps, 0.4)))) {
		work := min(d.spreadOut(c.workMs, 0.5), 2.5*c.workMs)
		job.hints = append(job.hints, work*(1+c.hintOff*(2*d.rng.Float64()-1)))
		var tasks []*dayTask
		longest := 0.0
		for range min(c.widest, max(1, int(math.Round(d.spreadOut(c.width, 0.8))))) {
			one := d.spreadOut(work, c.uneven)
			longest = max(longest, one)
			tasks = append(tasks, &dayTask{job: job, step: step, work: ms(one), held: d.now})
		}
		if c.gang {
			for _, task := range tasks {
				task.work = ms(longest)
			}
		}
		job.chain += ms(longest)
		job.steps = append(job.steps, tasks)
	}
	d.jobs = append(d.jobs, job)
}

func (j *dayJob) needs() protocol.Resources {
	needs := j.class.needs
	needs.GPU = j.gpus
	return needs
}

// timeLeft is as the scheduler finds it: by predictions.
func (d *day) timeLeft(job *dayJob, step int) time.Duration {
	whole, after := time.Duration(0), time.Duration(0)
	for i, hint := range job.hints {
		predicted := d.planner.Predictor().Predict(job.class.name, "", hint)
		whole += predicted
		if i > step {
			after += predicted
		}
	}
	objective := job.class.target + time.Duration(job.class.extension*float64(whole))
	return job.arrived - d.now + objective - after
}

func (d *day) held() (tasks []Task, of []*dayTask) {
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
				Needs: job.needs(), TimeLeft: d.timeLeft(job, job.next), Waited: d.now - task.held,
				Affinity: job.affinity, Group: &job.steps[job.next][0].done, Gang: c.gang, RackLocal: job.rackOnly,
				LongRunning: c.lasts, HasCheckpoint: task.percent > 0, Remaining: 1 - task.percent})
			of = append(of, task)
		}
	}
	return tasks, of
}

func (d *day) offers() []Runner {
	offers := slices.Clone(d.fleet)
	for i := range offers {
		r := &offers[i]
		r.Free, r.GroupCount, r.Running = r.Capacity, map[any]int{}, nil
		for _, run := range d.running[i] {
			job := run.task.job
			needs := job.needs()
			subtract(&r.Free, needs)
			r.GroupCount[&job.steps[run.task.step][0].done]++
			elapsed := max(0, d.now-run.from)
			saved := elapsed
			if job.saves {
				saved = elapsed % (2 * time.Second)
			}
			r.Running = append(r.Running, Run{Key: run, Queue: job.class.name, Priority: job.class.priority, Needs: needs,
				Predicted: run.predicted, Elapsed: elapsed, CheckpointAge: saved, LongRunning: job.class.lasts,
				Gang: job.class.gang, Stopping: run.stopped})
		}
	}
	return offers
}

func (d *day) round() {
	tasks, of := d.held()
	if len(tasks) == 0 {
		return
	}
	runners := d.offers()
	result := d.planner.Round(d.now, tasks, runners)
	racks := map[*dayJob]map[string]bool{}
	for _, p := range result.Placements {
		job := of[p.Task].job
		if racks[job] == nil {
			racks[job] = map[string]bool{}
		}
		racks[job][d.fleet[p.Runner].Rack] = true
	}
	for _, p := range result.Placements {
		task := of[p.Task]
		length := time.Duration(float64(d.length(task, p.Runner)) * (1 - task.percent))
		if task.job.rackOnly && len(racks[task.job]) > 1 {
			length = time.Duration(farActually * float64(length))
		}
		task.run = &dayRun{task: task, runner: p.Runner, from: d.now + orderTakes, predicted: p.Predicted}
		task.run.until = task.run.from + length
		d.running[p.Runner] = append(d.running[p.Runner], task.run)
	}
	for _, stop := range result.Stops {
		d.stop(runners[stop.Runner].Running[stop.Run].Key.(*dayRun))
	}
}

func (d *day) stop(run *dayRun) {
	d.stops++
	job := run.task.job
	elapsed := max(0, d.now-run.from)
	if job.saves {
		share := elapsed.Seconds() / (run.until - run.from).Seconds()
		run.task.percent += share * (1 - run.task.percent)
	} else {
		d.lost += elapsed.Seconds() * cores(job.needs())
	}
	run.stopped = true
	run.until = d.now + stopTakes
}

// length is the true runtime on a runner.
func (d *day) length(task *dayTask, runner int) time.Duration {
	job, r := task.job, &d.fleet[runner]
	if job.class.lasts {
		return time.Hour
	}
	factor := job.class.slower[r.Kind] * r.Slowness
	if job.affinity != "" && job.affinity != r.Rack {
		factor *= farActually
	}
	return time.Duration(factor * float64(task.work))
}

func (d *day) ends() {
	for i, runs := range d.running {
		d.running[i] = slices.DeleteFunc(runs, func(run *dayRun) bool {
			if run.until+reportTakes > d.now {
				if run.task.job.class.lasts && d.now >= run.from {
					run.task.job.atWork += dayTick
				}
				return false
			}
			d.end(run)
			return true
		})
	}
}

func (d *day) end(run *dayRun) {
	task, job := run.task, run.task.job
	task.run = nil
	if run.stopped {
		task.held = d.now
		return
	}
	task.done = true
	r := &d.fleet[run.runner]
	far := job.affinity != "" && job.affinity != r.Rack
	if task.percent == 0 && !job.rackOnly {
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
		other.held = d.now
	}
}

// play lets jobs come for so long, at the given multiple of their usual rate, and goes on until most have ended.
func (d *day) play(length time.Duration, rate float64) {
	due := make([]float64, len(d.classes))
	for i, c := range d.classes {
		due[i] = d.exponential(1 / (c.perSecond * rate))
	}
	for ; d.now < length+dayAfter; d.now += dayTick {
		for i, c := range d.classes {
			for d.now < length && due[i] <= d.now.Seconds() {
				d.arrive(c)
				due[i] += d.exponential(1 / (c.perSecond * rate))
			}
		}
		d.ends()
		d.round()
	}
}

// earned returns what a job is worth and what of it was earned, by the rules.
func (d *day) earned(job *dayJob) (owed, earned float64) {
	c := job.class
	if c.lasts {
		width := float64(len(job.steps[0]))
		return c.worth, c.worth * job.atWork.Seconds() / width / (d.now - job.arrived).Seconds()
	}
	work := 0.0
	for _, step := range job.steps {
		for _, task := range step {
			work += task.work.Seconds()
		}
	}
	mean := c.steps * c.width * c.workMs / 1000
	owed = c.worth * (0.3 + 0.7*min(work/mean, 4))
	objective := time.Duration(c.extension*float64(job.chain)) + c.target
	switch took := job.ended - job.arrived; {
	case job.ended < 0 || took > 3*objective:
		return owed, 0
	case took > objective:
		return owed, owed * c.late / c.worth
	}
	return owed, owed
}
