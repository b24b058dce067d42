// Package virtual simulates a fleet that runs gangs, in virtual time and with the real gang.Core of each dispatcher. It
// simulates a register that can lose answers, runners that retire and die, and dispatchers that crash, are stopped and are
// partitioned from the register. The seed and the calls of a run determine all its events. A World is not safe for
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
	// Step is the resolution of time. Poll is the time between two polls of a dispatcher, which lists the gangs in the
	// register and calls Tick in each. Latency is how long a call to the register takes.
	Step, Poll, Latency time.Duration
	// Start is how long a member takes to start.
	Start time.Duration
	// Jitter is the longest random delay of a member's event, in addition to half of Latency.
	Jitter time.Duration
}

// Runner is a simulated runner. Its members end when it goes down.
type Runner struct {
	Name, Zone, Kind string
	Speed, Slots     float64
	Up               bool
	Retires          time.Time // the zero time: never
	Announced        time.Time // when dispatchers learn of Retires
	FailStarts       int       // number of members that will fail when they start
	Mute             bool      // when it goes down, its connections stay open without events
}

// Dispatcher is a simulated dispatcher. It has a process while Core is not nil.
type Dispatcher struct {
	Name        string
	Core        *gang.Core
	epoch       uint64
	Stopped     bool // as by SIGSTOP
	Partitioned bool // from the register
	// Sees reports whether another dispatcher is living in this one's view. nil: the view is right.
	Sees   func(other *Dispatcher) bool
	polled time.Time // when it last polled
}

// member is a member of a gang on its runner, in one generation.
type member struct {
	gang          string
	generation    uint64
	index         int
	runner        *Runner
	owner         *Dispatcher
	ownerEpoch    uint64 // of the owner's process; the connection closes when that process ends
	startsAt      time.Time
	checkpoint    *gang.Checkpoint
	started       bool
	ended         bool
	reported      bool // its result was reported
	nextHeartbeat time.Time
}

// run is the true state of one generation of a gang. Records are checked against it.
type run struct {
	progress, startProgress float64 // fractions of the work done, now and at the start
	members                 []*member
	saveNumber              int // number of the save that its members began last
}

// World is a simulated fleet with its register and runners.
type World struct {
	Now         time.Time
	Runners     []*Runner
	Dispatchers []*Dispatcher
	Errors      []error // returned by all cores
	// Lose reports whether the next answer of the register gets lost, Damage whether the next part that is uploaded is
	// damaged, and Hang whether the next upload never ends. nil: never.
	Lose, Damage, Hang func() bool
	Unresponsive       bool // the register answers no call
	// Steps counts the steps taken by writes that took effect.
	Steps map[gang.Step]int

	opt         Options
	rng         *rand.Rand
	reg         *register
	runs        map[string]*run // by gang and generation
	pending     []callback
	submittedAt map[string]time.Time // by gang
	endedAt     map[string]time.Time
	stalled     map[string]time.Duration // by gang: time without progress from its first start to its end
	LostWork    float64                  // runner-seconds of work that was done and is in no checkpoint
	violation   string
}

// heartbeatInterval is the time between two heartbeats of a member.
const heartbeatInterval = 2 * time.Second

// callback is a scheduled function call, such as the arrival of an answer.
type callback struct {
	at time.Time
	do func()
}

// New returns a world at the time now that has no dispatchers and runners.
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

// Start starts a process of d.
func (w *World) Start(d *Dispatcher) error {
	cfg := w.opt.Config
	d.epoch++
	cfg.Self = gang.Owner{Name: d.Name, Epoch: d.epoch}
	c, err := gang.New(cfg)
	d.Core, d.polled, d.Stopped = c, w.Now.Add(-time.Duration(w.rng.Int64N(int64(w.opt.Poll)))), false
	return err
}

// Kill ends d's process and closes its connections.
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

// Violation describes an invariant that was violated, or is empty if none was.
func (w *World) Violation() string {
	if w.reg.changedAfterEnd != "" {
		return w.reg.changedAfterEnd + ": the record was changed after the gang was done"
	}
	return w.violation
}

// For advances time by d.
func (w *World) For(d time.Duration) {
	for end := w.Now.Add(d); w.Now.Before(end); {
		w.step()
	}
}

// Until advances time until ok returns true, for at most limit, and reports whether ok returned true.
func (w *World) Until(limit time.Duration, ok func() bool) bool {
	for end := w.Now.Add(limit); w.Now.Before(end); {
		if ok() {
			return true
		}
		w.step()
	}
	return ok()
}

// step advances time by one step. It handles callbacks that are due, retirements, members, uploads and dispatchers, in this
// order.
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

// runDispatcher makes a dispatcher poll if that is due, and carries out its actions.
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

// livingOwners returns the dispatchers that are living in d's view.
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

// request sends a call of d to the register. atRegister is called when the call arrives at the register, and returns the
// function that is called when the answer arrives at d. If the call or the answer is lost, lost is called instead, unless it
// is nil.
func (w *World) request(d *Dispatcher, atRegister func() func(), lost func()) {
	epoch := d.epoch
	back := func(f func()) {
		w.after(w.opt.Latency/2, func() {
			if f != nil && d.Core != nil && d.epoch == epoch {
				if d.Stopped { // a stopped process reads the answer after it continues
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

// after schedules a function call.
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
			w.violation = fmt.Sprintf("the record of %s has a checkpoint with missing parts", rec.Name)
		}
		if r != nil && c.Progress > r.progress+0.05 {
			w.violation = fmt.Sprintf("the record of %s has a checkpoint with progress %.2f, but the progress was %.2f", rec.Name, c.Progress, r.progress)
		}
	}
	if before.Phase != gang.Waiting && rec.Phase == gang.Waiting && r != nil { // the work done since the checkpoint is lost
		progress := r.startProgress
		if c := rec.Checkpoint; c != nil {
			progress = c.Progress
		}
		w.LostWork += max(0, r.progress-progress) * workSeconds(rec) * float64(len(rec.Needs))
	}
	return o, version
}
