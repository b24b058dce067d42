package virtual

import (
	"maps"
	"slices"
	"time"

	"ospreypond/internal/dispatcher/gang"
)

// membersOf returns the members of a generation of a gang.
func (w *World) membersOf(name string, generation uint64) []*member {
	if r := w.runs[runKey(name, generation)]; r != nil {
		return r.members
	}
	return nil
}

// isSameCheckpoint reports whether a is b.
func isSameCheckpoint(a, b *gang.Checkpoint) bool {
	return b != nil && a.Generation == b.Generation && a.Number == b.Number
}

// workSeconds returns a gang's work in seconds at speed 1.
func workSeconds(r gang.Record) (s float64) {
	for _, n := range r.Needs {
		s = max(s, n.Work.Seconds())
	}
	return s
}

// assignMember puts a member on the runner that an action names. It fails if the runner is down or has no free slots.
func (w *World) assignMember(d *Dispatcher, a gang.Action) {
	k := runKey(a.Gang, a.Generation)
	if w.runs[k] == nil {
		r := &run{}
		if a.Checkpoint != nil {
			r.progress, r.startProgress = a.Checkpoint.Progress, a.Checkpoint.Progress
		}
		w.runs[k] = r
	}
	i := slices.IndexFunc(w.Runners, func(r *Runner) bool { return r.Name == a.Runner })
	r := w.Runners[i]
	j := &member{gang: a.Gang, generation: a.Generation, index: a.Member, runner: r, owner: d, ownerEpoch: d.epoch, checkpoint: a.Checkpoint,
		startsAt: w.Now.Add(w.opt.Start)}
	need, used := w.Record(a.Gang).Needs[a.Member].Slots, 0.0
	for _, other := range w.allMembers() {
		if other.runner == r && !other.ended {
			used += w.Record(other.gang).Needs[other.index].Slots
		}
	}
	if w.runs[k].members = append(w.runs[k].members, j); !r.Up || used+need > r.Slots+1e-9 {
		j.ended = true
		w.report(j, gang.Failed)
	}
}

// allMembers returns all members, in a fixed order.
func (w *World) allMembers() (out []*member) {
	for _, k := range slices.Sorted(maps.Keys(w.runs)) {
		out = append(out, w.runs[k].members...)
	}
	return out
}

// report sends an event of a member to its owner, whose process must still be the one that sent the member.
func (w *World) report(j *member, n gang.Event) {
	late := w.opt.Latency / 2
	if w.opt.Jitter > 0 {
		late += time.Duration(w.rng.Int64N(int64(w.opt.Jitter)))
	}
	w.after(late, func() {
		if d := j.owner; d.Core != nil && d.epoch == j.ownerEpoch {
			if d.Stopped {
				w.report(j, n)
				return
			}
			d.Core.Member(w.Now, j.gang, j.generation, j.index, n)
			w.apply(d)
		}
	})
}

// runMembers advances all members by one step: starts, heartbeats, work, saves and ends.
func (w *World) runMembers() {
	for _, k := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[k]
		rec, generation := w.Record(r.members[0].gang), r.members[0].generation
		advances, speed := w.stepRun(r, len(rec.Needs))
		if !slices.ContainsFunc(r.members, func(j *member) bool { return !j.ended }) {
			if rec.Generation != generation || rec.Phase == gang.Done {
				delete(w.runs, k)
			}
			continue
		}
		saving := rec.Phase == gang.Saving && rec.Generation == generation
		switch {
		case advances && saving && r.saveNumber != rec.SaveNumber && !w.Unresponsive:
			w.startUploads(r, rec)
		case advances && !saving:
			r.progress = min(1, r.progress+speed*w.opt.Step.Seconds()/workSeconds(rec))
		}
		if advances && r.progress >= 1 {
			w.finish(r)
		}
	}
	for name := range w.submittedAt {
		rec := w.Record(name)
		if rec.Generation > 0 && rec.Phase != gang.Done && rec.Phase != gang.Running {
			w.stalled[name] += w.opt.Step
		}
	}
}

// stepRun advances each member of a run by one step. advances reports whether all n members run, and speed is the slowest one's.
func (w *World) stepRun(r *run, n int) (advances bool, speed float64) {
	advances, speed = len(r.members) == n, 1e9
	for _, j := range r.members {
		w.stepMember(j)
		advances, speed = advances && j.started && !j.ended, min(speed, j.runner.Speed)
	}
	return advances, speed
}

// stepMember advances a member by one step: it ends with its runner or its owner, starts, or sends a heartbeat.
func (w *World) stepMember(j *member) {
	if !j.ended && !j.runner.Up {
		if j.ended = true; !j.runner.Mute {
			w.report(j, gang.Failed)
		}
	}
	if d := j.owner; !j.ended && (d.Core == nil || d.epoch != j.ownerEpoch) { // its connection is closed
		j.ended = true
	}
	if !j.ended && !j.started && !w.Now.Before(j.startsAt) {
		w.startMember(j)
	}
	if j.started && !j.ended && !w.Now.Before(j.nextHeartbeat) {
		j.nextHeartbeat = w.Now.Add(heartbeatInterval)
		w.report(j, gang.Progressed)
	}
}

// startUploads starts the uploads of the parts of the save that the record requests.
func (w *World) startUploads(r *run, rec gang.Record) {
	r.saveNumber = rec.SaveNumber
	sk := saveKey{rec.Name, rec.Generation, rec.SaveNumber}
	w.reg.parts[sk] = make([]part, len(rec.Needs))
	for i, j := range r.members {
		w.reg.uploads = append(w.reg.uploads, &upload{key: sk, member: j.index, bytesLeft: float64(rec.Needs[i].StateBytes), from: j,
			hangs: w.Hang != nil && w.Hang()})
	}
}

// finish ends the members of a run whose work is done.
func (w *World) finish(r *run) {
	for _, j := range r.members {
		if !j.reported {
			j.reported, j.ended = true, true
			w.report(j, gang.Finished)
		}
	}
}

// startMember starts a member from its part of the checkpoint, if there is one.
func (w *World) startMember(j *member) {
	if j.runner.FailStarts > 0 {
		j.runner.FailStarts--
		j.ended = true
		w.report(j, gang.Failed)
		return
	}
	if j.checkpoint != nil {
		parts := w.reg.parts[saveKey{j.gang, j.checkpoint.Generation, j.checkpoint.Number}]
		if j.index >= len(parts) || parts[j.index].damaged {
			j.ended = true
			w.report(j, gang.DamagedPart)
			return
		}
	}
	j.started = true
	w.report(j, gang.Began)
}
