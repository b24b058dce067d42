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
		name := r.members[0].gang
		rec := w.Record(name)
		all, speed := len(r.members) == len(rec.Needs), 1e9
		for _, j := range r.members {
			if !j.over && !j.runner.Up {
				if j.over = true; !j.runner.Mute {
					w.tell(j, gang.Broke)
				}
			}
			if d := j.owner; !j.over && (d.Core == nil || d.life != j.life) { // its connection is gone
				j.over = true
			}
			if !j.over && !j.began && !w.Now.Before(j.begins) {
				w.begin(j)
			}
			if j.began && !j.over && !w.Now.Before(j.beat) {
				j.beat = w.Now.Add(beatEvery)
				w.tell(j, gang.Goes)
			}
			all, speed = all && j.began && !j.over, min(speed, j.runner.Speed)
		}
		if live := slices.ContainsFunc(r.members, func(j *job) bool { return !j.over }); !live {
			if rec.Generation != r.members[0].generation || rec.Phase == gang.Done {
				delete(w.runs, k)
			}
			continue
		}
		saving := rec.Phase == gang.Saving && rec.Generation == r.members[0].generation
		if all && saving && r.saved != rec.Number && !w.Silent {
			r.saved = rec.Number
			sk := saveKey{name, rec.Generation, rec.Number}
			w.reg.saves[sk] = make([]part, len(rec.Needs))
			for i, j := range r.members {
				w.reg.uploads = append(w.reg.uploads, &upload{key: sk, member: j.member, left: float64(rec.Needs[i].Saved), job: j,
					stuck: w.Hang != nil && w.Hang()})
			}
		}
		if all && !saving {
			r.share = min(1, r.share+speed*w.opt.Step.Seconds()/work(rec))
		}
		for _, j := range r.members {
			if all && r.share >= 1 && !j.told {
				j.told, j.over = true, true
				w.tell(j, gang.Finished)
			}
		}
	}
	for name := range w.first {
		rec := w.Record(name)
		if rec.Generation > 0 && rec.Phase != gang.Done && rec.Phase != gang.Running {
			w.still[name] += w.opt.Step
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
