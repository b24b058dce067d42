// Package virtual runs gangs, the real cores, over an in-memory fleet in virtual time: a register, runners that retire and
// die, dispatchers that crash, sleep and are cut off, answers that get lost. A run is a function of its seed.
package virtual

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ospreypond/internal/dispatcher/gang"
)

// Options describe a world.
type Options struct {
	Seed   uint64
	Config gang.Config // Me is filled in
	// Step is how finely time goes, Poll how often dispatchers list the register, Latency how long a call to it takes.
	Step, Poll, Latency time.Duration
	// Start is how long a member takes to start.
	Start time.Duration
	// Jitter is how late members' news may come.
	Jitter time.Duration
}

// Runner is a runner. Its jobs end when it does.
type Runner struct {
	Name, Zone, Kind string
	Speed, Slots     float64
	Up               bool
	Retires          time.Time // the zero time: never
	Announced        time.Time // before then nobody knows
	FailStarts       int       // so many jobs die while they start
	Mute             bool      // when it ends, its connections stay open and quiet
}

// Dispatcher is a dispatcher's place; its process comes and goes.
type Dispatcher struct {
	Name        string
	Core        *gang.Core
	epoch       uint64
	Stopped     bool // as by SIGSTOP
	Partitioned bool // from the register
	// Sees tells whom it holds living; nil: those that are.
	Sees   func(other *Dispatcher) bool
	polled time.Time
}

// job is a member at a runner.
type job struct {
	gang          string
	generation    uint64
	member        int
	runner        *Runner
	owner         *Dispatcher
	ownerEpoch    uint64 // of its owner: the connection ends with it
	startsAt      time.Time
	checkpoint    *gang.Checkpoint
	started       bool
	ended         bool
	reported      bool // that it finished
	nextHeartbeat time.Time
}

// run is one generation of a gang, in truth.
type run struct {
	progress, startProgress float64
	members                 []*job
	saveNumber              int // number of the save that its members last began
}

// World is a fleet with its register and runners.
type World struct {
	Now         time.Time
	Runners     []*Runner
	Dispatchers []*Dispatcher
	Faults      []error
	// Lose tells whether the next answer of the register gets lost; Damage whether the next part is damaged, and Hang whether it
	// never ends. nil: no.
	Lose, Damage, Hang func() bool
	Unresponsive       bool // the register answers nobody
	// Steps counts the records' steps that took effect.
	Steps map[gang.Step]int

	opt         Options
	rng         *rand.Rand
	reg         *register
	runs        map[string]*run // by gang and generation
	pending     []call
	submittedAt map[string]time.Time // first submitted
	endedAt     map[string]time.Time
	stalled     map[string]time.Duration // stood still after its first start
	LostWork    float64                  // runner-seconds of work that was done and is in no state
	violation   string
}

// heartbeatInterval is how often a member tells of its progress.
const heartbeatInterval = 2 * time.Second

// call is something on its way.
type call struct {
	at time.Time
	do func()
}

// New returns a world without dispatchers and runners, at a moment.
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

// Start begins a process at d's place.
func (w *World) Start(d *Dispatcher) error {
	cfg := w.opt.Config
	d.epoch++
	cfg.Self = gang.Owner{Name: d.Name, Epoch: d.epoch}
	c, err := gang.New(cfg)
	d.Core, d.polled, d.Stopped = c, w.Now.Add(-time.Duration(w.rng.Int64N(int64(w.opt.Poll)))), false
	return err
}

// Kill ends a process; its connections end with it.
func (w *World) Kill(d *Dispatcher) { d.Core = nil }

// Submit writes a gang's record, as a submitter does.
func (w *World) Submit(r gang.Record) {
	r.Phase, r.Submitted = gang.Waiting, w.Now
	w.submittedAt[r.Name] = w.Now
	w.reg.put(r, w.reg.version(r.Name))
}

// Record returns a gang's record.
func (w *World) Record(name string) gang.Record { return w.reg.entries[name].rec }

// Gangs returns the names of all gangs submitted.
func (w *World) Gangs() (names []string) {
	for n := range w.submittedAt {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Ended returns when a gang was done; ok is false while it is not.
func (w *World) Ended(name string) (at time.Time, ok bool) { at, ok = w.endedAt[name]; return at, ok }

// Stalled returns how long a gang stood still between its first start and its end.
func (w *World) Stalled(name string) time.Duration { return w.stalled[name] }

// Bytes returns what the register took of states, and Writes how often a record was written.
func (w *World) Bytes() float64 { return w.reg.Bytes }

// Writes returns how often a record was written.
func (w *World) Writes() int { return w.reg.Writes }

// Violation says what of the promises was broken, if anything.
func (w *World) Violation() string {
	if w.reg.changedAfterEnd != "" {
		return w.reg.changedAfterEnd + " was changed after it was done"
	}
	return w.violation
}

// For lets time pass.
func (w *World) For(d time.Duration) {
	for end := w.Now.Add(d); w.Now.Before(end); {
		w.step()
	}
}

// Until lets time pass until ok, for most at the longest.
func (w *World) Until(most time.Duration, ok func() bool) bool {
	for end := w.Now.Add(most); w.Now.Before(end); {
		if ok() {
			return true
		}
		w.step()
	}
	return ok()
}

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

// runDispatcher has a dispatcher look round and do what it decides.
func (w *World) runDispatcher(d *Dispatcher) {
	if w.Now.Sub(d.polled) >= w.opt.Poll {
		d.Core.Fleet(w.Now, w.livingOwners(d), true)
		d.polled = w.Now
		d.Core.Runners(w.Now, w.knownRunners())
		w.request(d, func() func() {
			versions := map[string]gang.Version{}
			for n := range w.reg.entries {
				versions[n] = w.reg.version(n)
			}
			return func() { d.Core.Listed(w.Now, versions) }
		}, nil)
		d.Core.Tick(w.Now)
	}
	w.apply(d)
}

// livingOwners returns the dispatchers that d's view has as living.
func (w *World) livingOwners(d *Dispatcher) (living []gang.Owner) {
	for _, o := range w.Dispatchers {
		if o == d || o.Core != nil && (d.Sees == nil && !o.Stopped || d.Sees != nil && d.Sees(o)) {
			living = append(living, gang.Owner{Name: o.Name, Epoch: o.epoch})
		}
	}
	return living
}

// knownRunners returns the runners that are up, with the retirements that are announced by now.
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

// request calls the register: what happens there returns what the answer does. lost is for an answer that never comes.
func (w *World) request(d *Dispatcher, there func() func(), lost func()) {
	life := d.epoch
	back := func(f func()) {
		w.after(w.opt.Latency/2, func() {
			if f != nil && d.Core != nil && d.epoch == life {
				if d.Stopped { // it reads it when it goes on
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
		answer := there()
		if w.Lose != nil && w.Lose() {
			answer = lost
		}
		back(answer)
	})
}

func (w *World) after(d time.Duration, do func()) {
	w.pending = append(w.pending, call{w.Now.Add(d), do})
}

// apply carries out what a core decided.
func (w *World) apply(d *Dispatcher) {
	if d.Core == nil || d.Stopped {
		return
	}
	actions, faults := d.Core.Take()
	w.Faults = append(w.Faults, faults...)
	for _, a := range actions {
		switch a.Kind {
		case gang.Read:
			w.request(d, func() func() {
				e := w.reg.entries[a.Gang]
				if e == nil {
					return nil
				}
				rec, version := e.rec, w.reg.version(a.Gang)
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
			for _, j := range w.jobs(a.Gang, a.Generation) {
				if j.member == a.Member && j.owner == d {
					j.ended = true
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

func runKey(name string, generation uint64) string { return fmt.Sprint(name, "/", generation) }

// write has the register take a record, and checks what is promised of it.
func (w *World) write(rec gang.Record, if_ gang.Version) (gang.Outcome, gang.Version) {
	before := w.reg.entries[rec.Name].rec
	o, version := w.reg.put(rec, if_)
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
	if before.Phase != gang.Waiting && rec.Phase == gang.Waiting && r != nil { // what it did since its state is lost
		kept := r.startProgress
		if c := rec.Checkpoint; c != nil {
			kept = c.Progress
		}
		w.LostWork += max(0, r.progress-kept) * workSeconds(rec) * float64(len(rec.Needs))
	}
	return o, version
}
