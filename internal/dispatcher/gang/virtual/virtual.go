// Package virtual runs gangs, the real cores, on an in-memory fleet in virtual time: a register, runners that retire and die,
// dispatchers that crash, sleep and are partitioned, answers that get lost. A run is a function of its seed. A World is not safe for
// concurrent use.
package virtual

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ospreypond/internal/dispatcher/gang"
)

// Options configure a world.
type Options struct {
	Seed   uint64
	Config gang.Config // Self is set by the world
	// Step is the resolution of time, Poll the time between two lists of the register by a dispatcher, Latency how long a call to
	// it takes.
	Step, Poll, Latency time.Duration
	// Start is the time that a member takes to start.
	Start time.Duration
	// Jitter is the longest random delay of a member's event.
	Jitter time.Duration
}

// Runner is a runner. Its members end when it does.
type Runner struct {
	Name, Zone, Kind string
	Speed, Slots     float64
	Up               bool
	Retires          time.Time // the zero time: never
	Announced        time.Time // when dispatchers learn of Retires
	FailStarts       int       // the next so many members fail when they start
	Mute             bool      // when it ends, its connections stay open without events
}

// Dispatcher is a dispatcher and, while Core is not nil, its process.
type Dispatcher struct {
	Name        string
	Core        *gang.Core
	epoch       uint64
	Stopped     bool // as by SIGSTOP
	Partitioned bool // from the register
	// Sees reports whether another dispatcher lives by this one's view; nil: the view is right.
	Sees   func(other *Dispatcher) bool
	polled time.Time
}

// member is a gang's member on its runner, in one generation.
type member struct {
	gang          string
	generation    uint64
	index         int
	runner        *Runner
	owner         *Dispatcher
	ownerEpoch    uint64 // the connection ends with the owner's process
	startsAt      time.Time
	checkpoint    *gang.Checkpoint
	started       bool
	ended         bool
	reported      bool // its end is reported
	nextHeartbeat time.Time
}

// run is one generation of a gang: the ground truth.
type run struct {
	progress, startProgress float64
	members                 []*member
	saveNumber              int // of the save that its members began last
}

// World is a fleet with its register and runners.
type World struct {
	Now         time.Time
	Runners     []*Runner
	Dispatchers []*Dispatcher
	Errors      []error // of all cores
	// Lose reports whether the next answer of the register gets lost, Damage whether the next part is damaged, and Hang whether its
	// upload never ends. nil: never.
	Lose, Damage, Hang func() bool
	Unresponsive       bool // the register answers nobody
	// Steps counts the steps of records that took effect.
	Steps map[gang.Step]int

	opt         Options
	rng         *rand.Rand
	reg         *register
	runs        map[string]*run // by gang and generation
	pending     []callback
	submittedAt map[string]time.Time // by gang
	endedAt     map[string]time.Time
	stalled     map[string]time.Duration // by gang: time without progress since its first start
	LostWork    float64                  // runner-seconds of work that was done and is in no checkpoint
	violation   string
}

// heartbeatInterval is the time between two heartbeats of a member.
const heartbeatInterval = 2 * time.Second

// callback is a call that is scheduled, such as the arrival of an answer.
type callback struct {
	at time.Time
	do func()
}

// New returns a world at the time now, without dispatchers and runners.
func New(now time.Time, opt Options) *World {
	return &World{Now: now, opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 3)), reg: newRegister(opt.Config.Bandwidth),
		runs: map[string]*run{}, submittedAt: map[string]time.Time{}, endedAt: map[string]time.Time{}, stalled: map[string]time.Duration{},
		Steps: map[gang.Step]int{}}
}

// Add adds a dispatcher and starts it.
func (w *World) Add(name string) (*Dispatcher, error) {
	d := &Dispatcher{Name: name}
	w.Dispatchers = append(w.Dispatchers, d)
	return d, w.Start(d)
}

// Start starts d's process.
func (w *World) Start(d *Dispatcher) error {
	cfg := w.opt.Config
	d.epoch++
	cfg.Self = gang.Owner{Name: d.Name, Epoch: d.epoch}
	c, err := gang.New(cfg)
	d.Core, d.polled, d.Stopped = c, w.Now.Add(-time.Duration(w.rng.Int64N(int64(w.opt.Poll)))), false
	return err
}

// Kill ends d's process and with it its connections.
func (w *World) Kill(d *Dispatcher) { d.Core = nil }

// Submit writes a gang's record, as a submitter does.
func (w *World) Submit(r gang.Record) {
	r.Phase, r.Submitted = gang.Waiting, w.Now
	w.submittedAt[r.Name] = w.Now
	w.reg.write(r, w.reg.version(r.Name))
}

// Record returns a gang's record.
func (w *World) Record(name string) gang.Record { return w.reg.records[name].record }

// Gangs returns the names of all gangs submitted.
func (w *World) Gangs() (names []string) {
	for n := range w.submittedAt {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Ended returns when a gang was done; ok reports whether it is.
func (w *World) Ended(name string) (at time.Time, ok bool) { at, ok = w.endedAt[name]; return at, ok }

// Stalled returns how long a gang made no progress between its first start and its end.
func (w *World) Stalled(name string) time.Duration { return w.stalled[name] }

// Bytes returns how many bytes of checkpoints the register has taken.
func (w *World) Bytes() float64 { return w.reg.checkpointBytes }

// Writes returns how many writes of records have taken effect.
func (w *World) Writes() int { return w.reg.recordWrites }

// Violation describes an invariant that was violated; empty: none was.
func (w *World) Violation() string {
	if w.reg.changedAfterEnd != "" {
		return w.reg.changedAfterEnd + " was changed after it was done"
	}
	return w.violation
}

// For advances time by d.
func (w *World) For(d time.Duration) {
	for end := w.Now.Add(d); w.Now.Before(end); {
		w.step()
	}
}

// Until advances time until ok, for limit at the longest, and reports whether ok was reached.
func (w *World) Until(limit time.Duration, ok func() bool) bool {
	for end := w.Now.Add(limit); w.Now.Before(end); {
		if ok() {
			return true
		}
		w.step()
	}
	return ok()
}

// step advances time by one step: due calls, retirements, members, uploads, then dispatchers.
func (w *World) step() {
	w.Now = w.Now.Add(w.opt.Step)
	due := w.pending
	w.pending = nil
	for _, c := range due {
		if c.at.After(w.Now) {
			w.pending = append(w.pending, c)
		} else {
			c.do()
		}
	}
	for _, r := range w.Runners {
		if r.Up && !r.Retires.IsZero() && !w.Now.Before(r.Retires) {
			r.Up = false
		}
	}
	w.runMembers()
	w.reg.step(w.opt.Step.Seconds(), func() bool { return w.Damage != nil && w.Damage() })
	for _, d := range w.Dispatchers {
		if d.Core != nil && !d.Stopped {
			w.runDispatcher(d)
		}
	}
}

// runDispatcher lets a dispatcher poll, if it is time, and applies its actions.
func (w *World) runDispatcher(d *Dispatcher) {
	if w.Now.Sub(d.polled) >= w.opt.Poll {
		d.Core.Fleet(w.Now, w.livingOwners(d), true)
		d.polled = w.Now
		d.Core.Runners(w.Now, w.knownRunners())
		w.request(d, func() func() {
			versions := map[string]gang.Version{}
			for n := range w.reg.records {
				versions[n] = w.reg.version(n)
			}
			return func() { d.Core.Listed(w.Now, versions) }
		}, nil)
		d.Core.Tick(w.Now)
	}
	w.apply(d)
}

// livingOwners returns the dispatchers that live by d's view.
func (w *World) livingOwners(d *Dispatcher) (living []gang.Owner) {
	for _, o := range w.Dispatchers {
		if o == d || o.Core != nil && (d.Sees == nil && !o.Stopped || d.Sees != nil && d.Sees(o)) {
			living = append(living, gang.Owner{Name: o.Name, Epoch: o.epoch})
		}
	}
	return living
}

// knownRunners returns the runners that are up, with the retirements that are announced.
func (w *World) knownRunners() (runners []gang.Runner) {
	for _, r := range w.Runners {
		if !r.Up {
			continue
		}
		known := gang.Runner{Name: r.Name, Zone: r.Zone, Kind: r.Kind, Speed: r.Speed, Slots: r.Slots, Usable: true}
		if !w.Now.Before(r.Announced) {
			known.Retires = r.Retires
		}
		runners = append(runners, known)
	}
	return runners
}

// request sends a call to the register. atRegister runs at the register and returns what the answer's arrival does; lost, if not nil, runs
// instead if no answer comes.
func (w *World) request(d *Dispatcher, atRegister func() func(), lost func()) {
	epoch := d.epoch
	back := func(f func()) {
		w.after(w.opt.Latency/2, func() {
			if f != nil && d.Core != nil && d.epoch == epoch {
				if d.Stopped { // it reads the answer when it continues
					w.after(w.opt.Step, func() { w.request(d, func() func() { return f }, nil) })
					return
				}
				f()
				w.apply(d)
			}
		})
	}
	w.after(w.opt.Latency/2, func() {
		if w.Unresponsive || d.Partitioned {
			back(lost)
			return
		}
		answer := atRegister()
		if w.Lose != nil && w.Lose() {
			answer = lost
		}
		back(answer)
	})
}

// after schedules a call.
func (w *World) after(d time.Duration, do func()) {
	w.pending = append(w.pending, callback{w.Now.Add(d), do})
}

// apply carries out the actions of d's core.
func (w *World) apply(d *Dispatcher) {
	if d.Core == nil || d.Stopped {
		return
	}
	actions, errs := d.Core.Take()
	w.Errors = append(w.Errors, errs...)
	for _, a := range actions {
		switch a.Kind {
		case gang.Read:
			w.request(d, func() func() {
				e := w.reg.records[a.Gang]
				if e == nil {
					return nil
				}
				rec, version := e.record, w.reg.version(a.Gang)
				return func() { d.Core.Got(w.Now, a.Gang, version, rec) }
			}, nil)
		case gang.Write:
			rec := *a.Record
			w.request(d, func() func() {
				o, version := w.write(rec, a.IfVersion)
				return func() { d.Core.Wrote(w.Now, a.Gang, o, version) }
			}, func() { d.Core.Wrote(w.Now, a.Gang, gang.Unknown, "") })
		case gang.Send:
			w.assignMember(d, a)
		case gang.Stop:
			for _, m := range w.membersOf(a.Gang, a.Generation) {
				if m.index == a.Member && m.owner == d {
					m.ended = true
				}
			}
		case gang.ListParts:
			w.request(d, func() func() {
				found := w.reg.partDigests(saveKey{a.Gang, a.Generation, a.SaveNumber}, len(w.Record(a.Gang).Needs))
				return func() { d.Core.Parts(w.Now, a.Gang, a.Generation, a.SaveNumber, found) }
			}, nil)
		}
	}
}

// runKey identifies a generation of a gang.
func runKey(name string, generation uint64) string { return fmt.Sprint(name, "/", generation) }

// write writes a record to the register and checks the invariants.
func (w *World) write(rec gang.Record, ifVersion gang.Version) (gang.Outcome, gang.Version) {
	before := w.reg.records[rec.Name].record
	o, version := w.reg.write(rec, ifVersion)
	if o != gang.Written {
		return o, version
	}
	w.Steps[gang.Step{From: before.Phase, Cause: rec.Cause, To: rec.Phase}]++
	r := w.runs[runKey(rec.Name, rec.Generation)]
	switch {
	case rec.Generation < before.Generation:
		w.violation = fmt.Sprintf("%s went back from generation %d to %d", rec.Name, before.Generation, rec.Generation)
	case rec.Phase == gang.Done:
		w.endedAt[rec.Name] = w.Now
		if r == nil || r.progress < 1 {
			w.violation = fmt.Sprintf("%s is done, but its generation %d did not do all of the work", rec.Name, rec.Generation)
		}
	}
	if c := rec.Checkpoint; c != nil && !isSameCheckpoint(c, before.Checkpoint) && !isSameCheckpoint(c, before.PreviousCheckpoint) {
		if slices.Contains(w.reg.partDigests(saveKey{rec.Name, c.Generation, c.Number}, len(rec.Needs)), "") {
			w.violation = fmt.Sprintf("%s has a checkpoint of which parts are missing", rec.Name)
		}
		if r != nil && c.Progress > r.progress+0.05 {
			w.violation = fmt.Sprintf("%s has a checkpoint of %.2f, but %.2f was done", rec.Name, c.Progress, r.progress)
		}
	}
	if before.Phase != gang.Waiting && rec.Phase == gang.Waiting && r != nil { // what was done since its checkpoint is lost
		progress := r.startProgress
		if c := rec.Checkpoint; c != nil {
			progress = c.Progress
		}
		w.LostWork += max(0, r.progress-progress) * workSeconds(rec) * float64(len(rec.Needs))
	}
	return o, version
}
