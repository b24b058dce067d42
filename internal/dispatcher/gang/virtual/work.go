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

// isSameCheckpoint reports whether a and b are the same checkpoint; b may be nil.
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

// assignMember places a member on the runner that an action names. The member fails if the runner is down or has too few free
// slots.
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
	m := &member{gang: a.Gang, generation: a.Generation, index: a.Member, runner: r, owner: d, ownerEpoch: d.epoch, checkpoint: a.Checkpoint,
		startsAt: w.Now.Add(w.opt.Start)}
	need, used := w.Record(a.Gang).Needs[a.Member].Slots, 0.0
	for _, other := range w.allMembers() {
		if other.runner == r && !other.ended {
			used += w.Record(other.gang).Needs[other.index].Slots
		}
	}
	if w.runs[k].members = append(w.runs[k].members, m); !r.Up || used+need > r.Slots+1e-9 {
		m.ended = true
		w.report(m, gang.Failed)
	}
}

// allMembers returns all members, in a fixed order.
func (w *World) allMembers() (out []*member) {
	for _, k := range slices.Sorted(maps.Keys(w.runs)) {
		out = append(out, w.runs[k].members...)
	}
	return out
}

// report sends an event of a member to its owner. The event is lost if the process that sent the member has ended.
func (w *World) report(m *member, n gang.Event) {
	late := w.opt.Latency / 2
	if w.opt.Jitter > 0 {
		late += time.Duration(w.rng.Int64N(int64(w.opt.Jitter)))
	}
	w.after(late, func() {
		if d := m.owner; d.Core != nil && d.epoch == m.ownerEpoch {
			if d.Stopped {
				w.report(m, n)
				return
			}
			d.Core.Member(w.Now, m.gang, m.generation, m.index, n)
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
		if !slices.ContainsFunc(r.members, func(m *member) bool { return !m.ended }) {
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

// stepRun advances each member of a run by one step. advances reports whether all n members run, and speed is the lowest
// speed of their runners.
func (w *World) stepRun(r *run, n int) (advances bool, speed float64) {
	advances, speed = len(r.members) == n, 1e9
	for _, m := range r.members {
		w.stepMember(m)
		advances, speed = advances && m.started && !m.ended, min(speed, m.runner.Speed)
	}
	return advances, speed
}

// stepMember advances a member by one step. The member ends if its runner or its owner has ended; otherwise it starts or
// sends a heartbeat if that is due.
func (w *World) stepMember(m *member) {
	if !m.ended && !m.runner.Up {
		if m.ended = true; !m.runner.Mute {
			w.report(m, gang.Failed)
		}
	}
	if d := m.owner; !m.ended && (d.Core == nil || d.epoch != m.ownerEpoch) { // the connection to the owner is closed
		m.ended = true
	}
	if !m.ended && !m.started && !w.Now.Before(m.startsAt) {
		w.startMember(m)
	}
	if m.started && !m.ended && !w.Now.Before(m.nextHeartbeat) {
		m.nextHeartbeat = w.Now.Add(heartbeatInterval)
		w.report(m, gang.Progressed)
	}
}

// startUploads starts the uploads of the parts of the save that the record requests.
func (w *World) startUploads(r *run, rec gang.Record) {
	r.saveNumber = rec.SaveNumber
	sk := saveKey{rec.Name, rec.Generation, rec.SaveNumber}
	w.reg.parts[sk] = make([]part, len(rec.Needs))
	for i, m := range r.members {
		w.reg.uploads = append(w.reg.uploads, &upload{key: sk, member: m.index, bytesLeft: float64(rec.Needs[i].StateBytes), from: m,
			hangs: w.Hang != nil && w.Hang()})
	}
}

// finish ends the members of a run with all its work done.
func (w *World) finish(r *run) {
	for _, m := range r.members {
		if !m.reported {
			m.reported, m.ended = true, true
			w.report(m, gang.Finished)
		}
	}
}

// startMember starts a member from its part of the checkpoint, if there is one.
func (w *World) startMember(m *member) {
	if m.runner.FailStarts > 0 {
		m.runner.FailStarts--
		m.ended = true
		w.report(m, gang.Failed)
		return
	}
	if m.checkpoint != nil {
		parts := w.reg.parts[saveKey{m.gang, m.checkpoint.Generation, m.checkpoint.Number}]
		if m.index >= len(parts) || parts[m.index].damaged {
			m.ended = true
			w.report(m, gang.DamagedPart)
			return
		}
	}
	m.started = true
	w.report(m, gang.Began)
}
