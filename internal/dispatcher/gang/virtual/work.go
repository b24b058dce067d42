package virtual

// The runners of the world and the work that they do.

import (
	"maps"
	"slices"
	"time"

	"ospreypond/internal/dispatcher/gang"
)

func (w *World) jobs(name string, generation uint64) []*job {
	if r := w.runs[key(name, generation)]; r != nil {
		return r.members
	}
	return nil
}

func same(a, b *gang.Save) bool {
	return b != nil && a.Generation == b.Generation && a.Number == b.Number
}

func work(r gang.Record) (s float64) {
	for _, n := range r.Needs {
		s = max(s, n.Work.Seconds())
	}
	return s
}

// start has a member come to its runner.
func (w *World) start(d *Dispatcher, a gang.Action) {
	k := key(a.Gang, a.Generation)
	if w.runs[k] == nil {
		r := &run{}
		if a.From != nil {
			r.share, r.base = a.From.Share, a.From.Share
		}
		w.runs[k] = r
	}
	i := slices.IndexFunc(w.Runners, func(r *Runner) bool { return r.Name == a.Runner })
	r := w.Runners[i]
	j := &job{gang: a.Gang, generation: a.Generation, member: a.Member, runner: r, owner: d, life: d.life, from: a.From,
		begins: w.Now.Add(w.opt.Start)}
	need, used := w.Record(a.Gang).Needs[a.Member].Slots, 0.0
	for _, other := range w.all() {
		if other.runner == r && !other.over {
			used += w.Record(other.gang).Needs[other.member].Slots
		}
	}
	if w.runs[k].members = append(w.runs[k].members, j); !r.Up || used+need > r.Slots+1e-9 {
		j.over = true
		w.tell(j, gang.Broke)
	}
}

func (w *World) all() (out []*job) {
	for _, k := range slices.Sorted(maps.Keys(w.runs)) {
		out = append(out, w.runs[k].members...)
	}
	return out
}

// tell brings news of a member to its dispatcher, if that still has the connection.
func (w *World) tell(j *job, n gang.News) {
	late := w.opt.Latency / 2
	if w.opt.Jitter > 0 {
		late += time.Duration(w.rng.Int64N(int64(w.opt.Jitter)))
	}
	w.after(late, func() {
		if d := j.owner; d.Core != nil && d.life == j.life {
			if d.Stopped {
				w.tell(j, n)
				return
			}
			d.Core.Member(w.Now, j.gang, j.generation, j.member, n)
			w.carry(d)
		}
	})
}

// work lets members start, advance, save and end.
func (w *World) work() {
	for _, k := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[k]
		rec, generation := w.Record(r.members[0].gang), r.members[0].generation
		advances, speed := w.members(r, len(rec.Needs))
		if !slices.ContainsFunc(r.members, func(j *job) bool { return !j.over }) {
			if rec.Generation != generation || rec.Phase == gang.Done {
				delete(w.runs, k)
			}
			continue
		}
		saving := rec.Phase == gang.Saving && rec.Generation == generation
		switch {
		case advances && saving && r.saved != rec.Number && !w.Silent:
			w.upload(r, rec)
		case advances && !saving:
			r.share = min(1, r.share+speed*w.opt.Step.Seconds()/work(rec))
		}
		if advances && r.share >= 1 {
			w.finish(r)
		}
	}
	for name := range w.first {
		rec := w.Record(name)
		if rec.Generation > 0 && rec.Phase != gang.Done && rec.Phase != gang.Running {
			w.still[name] += w.opt.Step
		}
	}
}

// members takes each member of a run a step on. advances reports whether all n members run, and speed is the slowest one's.
func (w *World) members(r *run, n int) (advances bool, speed float64) {
	advances, speed = len(r.members) == n, 1e9
	for _, j := range r.members {
		w.member(j)
		advances, speed = advances && j.began && !j.over, min(speed, j.runner.Speed)
	}
	return advances, speed
}

// member takes a member a step on: it ends with its runner or its owner, starts, or sends a heartbeat.
func (w *World) member(j *job) {
	if !j.over && !j.runner.Up {
		if j.over = true; !j.runner.Mute {
			w.tell(j, gang.Broke)
		}
	}
	if d := j.owner; !j.over && (d.Core == nil || d.life != j.life) { // its connection is closed
		j.over = true
	}
	if !j.over && !j.began && !w.Now.Before(j.begins) {
		w.begin(j)
	}
	if j.began && !j.over && !w.Now.Before(j.beat) {
		j.beat = w.Now.Add(beatEvery)
		w.tell(j, gang.Goes)
	}
}

// upload has the members of a run begin to write the parts of the save that its record asks for.
func (w *World) upload(r *run, rec gang.Record) {
	r.saved = rec.Number
	sk := saveKey{rec.Name, rec.Generation, rec.Number}
	w.reg.saves[sk] = make([]part, len(rec.Needs))
	for i, j := range r.members {
		w.reg.uploads = append(w.reg.uploads, &upload{key: sk, member: j.member, left: float64(rec.Needs[i].Saved), job: j,
			stuck: w.Hang != nil && w.Hang()})
	}
}

// finish ends the members of a run whose work is done.
func (w *World) finish(r *run) {
	for _, j := range r.members {
		if !j.told {
			j.told, j.over = true, true
			w.tell(j, gang.Finished)
		}
	}
}

// begin has a member say that it started, from its part of the state if there is one.
func (w *World) begin(j *job) {
	if j.runner.FailStarts > 0 {
		j.runner.FailStarts--
		j.over = true
		w.tell(j, gang.Broke)
		return
	}
	if j.from != nil {
		parts := w.reg.saves[saveKey{j.gang, j.from.Generation, j.from.Number}]
		if j.member >= len(parts) || parts[j.member].damaged {
			j.over = true
			w.tell(j, gang.BadPart)
			return
		}
	}
	j.began = true
	w.tell(j, gang.Began)
}
