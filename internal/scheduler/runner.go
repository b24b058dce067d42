package scheduler

import (
	"sort"
	"time"

	"ospreypond/internal/failure"
	"ospreypond/internal/jobs"
	"ospreypond/internal/protocol"
)

// runner is what the owner knows of one incarnation of a runner.
type runner struct {
	instance string
	report   protocol.Heartbeat
	reported bool          // it has reported in this term
	sequence uint64        // newest heartbeat
	heardAt  time.Duration // of it
	holdEnd  time.Duration // after this, nothing runs there unless another hold is given
	draining bool
	leaving  time.Duration // draining: when it may be gone at the earliest; 0: unknown
	ended    bool          // it has said that it ends

	reply    func(*protocol.Orders, error) // of the heartbeat that is out, or nil
	replyDue time.Duration

	listed  map[runKey]*listing      // runs that its newest heartbeat lists as active
	ordered map[runKey]time.Duration // runs started there by this owner: when that was committed
	stops   map[runKey]time.Duration // runs to stop: since when
	record  outcomes
}

// listing is what is known of a run that a runner lists as active.
type listing struct {
	since    time.Duration // first listed
	percent  float64
	movedAt  time.Duration // last time that percent rose
	saved    string
	savedAt  time.Duration // last time that the checkpoint changed
	observed bool          // listed from its start: its time can be learnt
}

// label positions: a runner's kind, then its rack.
const (
	kindLabel = 0
	rackLabel = 1
)

func (r *runner) kind() string { return labelAt(r.report.Labels, kindLabel) }
func (r *runner) rack() string { return labelAt(r.report.Labels, rackLabel) }

func labelAt(labels []string, position int) string {
	if position >= len(labels) {
		return ""
	}
	return labels[position]
}

// usable tells whether tasks may be placed there.
func (r *runner) usable(now time.Duration) bool {
	return r.reported && !r.draining && !r.ended && now-r.heardAt < usableSilence
}

// usableSilence is how long a runner may be silent and still be given tasks. Orders wait for its next heartbeat.
const usableSilence = 700 * time.Millisecond

func (r *runner) answer(orders *protocol.Orders, err error) {
	reply := r.reply
	r.reply = nil
	if reply != nil {
		reply(orders, err)
	}
}

func (o *Owner) newRunner(instance string, now time.Duration) *runner {
	return &runner{
		instance: instance,
		holdEnd:  now + o.longestHold(),
		listed:   map[runKey]*listing{},
		ordered:  map[runKey]time.Duration{},
		stops:    map[runKey]time.Duration{},
	}
}

// longestHold is the longest real time that a hold granted now may last, on the slowest clock.
func (o *Owner) longestHold() time.Duration {
	return time.Duration(float64(o.options.HoldMax) * clockSlack)
}

// Heartbeat takes a runner's report. The reply comes within Options.AnswerAfter.
func (o *Owner) Heartbeat(now time.Duration, beat *protocol.Heartbeat, reply func(*protocol.Orders, error)) {
	if !o.leading {
		reply(nil, errNotLeader)
		return
	}
	if beat.FenceOnly {
		o.tellFence(now, reply)
		return
	}
	if _, over := o.retired[beat.Instance]; over {
		reply(nil, failure.New(failure.Gone, "this incarnation of the runner is over"))
		return
	}
	r := o.runners[beat.Instance]
	if r == nil && o.placeTaken(now, beat) {
		reply(nil, failure.New(failure.Conflict, "another incarnation was heard from this address a moment ago"))
		return
	}
	if r == nil {
		r = o.newRunner(beat.Instance, now)
		r.holdEnd = now
		o.runners[beat.Instance] = r
		o.dirty = true
	}
	if r.reported && beat.Sequence <= r.sequence {
		reply(nil, failure.New(failure.Conflict, "a newer heartbeat of this runner has come"))
		return
	}
	r.answer(nil, failure.New(failure.Conflict, "a newer heartbeat of this runner has come"))
	o.takeReport(now, r, beat)
	o.takePlace(now, r)
	o.takeFinished(now, r)
	o.takeActive(now, r)
	o.takeRejected(r)
	o.withdraw(now, r)
	o.watch(now, r)
	r.reply = reply
	r.replyDue = now + o.options.AnswerAfter
}

// tellFence answers with the fence token alone.
func (o *Owner) tellFence(now time.Duration, reply func(*protocol.Orders, error)) {
	if !o.recentlyConfirmed(now) {
		reply(nil, failure.New(failure.NotLeader, "leadership could not be confirmed"))
		return
	}
	reply(&protocol.Orders{FenceToken: o.term}, nil)
}

func (o *Owner) takeReport(now time.Duration, r *runner, beat *protocol.Heartbeat) {
	if !r.reported || r.report.State != beat.State || r.report.Capacity != beat.Capacity {
		o.dirty = true
	}
	r.report = *beat
	r.reported = true
	r.sequence = beat.Sequence
	r.heardAt = now
	if beat.State == protocol.Draining {
		r.draining = true
		r.leaving = now + time.Duration(beat.RemainingMs)*time.Millisecond
	}
}

// placeTaken tells that another incarnation was heard from the heartbeat's address so lately that the heartbeat may be an
// old one that was long under way.
func (o *Owner) placeTaken(now time.Duration, beat *protocol.Heartbeat) bool {
	before := o.runners[o.byPlace[beat.Address]]
	return before != nil && before.reported && !before.ended && now-before.heardAt < lateHeartbeat
}

// lateHeartbeat is the longest that a heartbeat is under way.
const lateHeartbeat = time.Second

// takePlace notes that the runner stands at its address: an earlier incarnation there is over.
func (o *Owner) takePlace(now time.Duration, r *runner) {
	place := r.report.Address
	if place == "" {
		return
	}
	before := o.byPlace[place]
	if before == r.instance {
		return
	}
	o.byPlace[place] = r.instance
	if before != "" {
		o.retire(now, before)
		return
	}
	o.dirty = true
}

// retire ends an incarnation that is certainly over: whatever ran there is lost.
func (o *Owner) retire(now time.Duration, instance string) {
	o.retired[instance] = now
	r := o.runners[instance]
	if r == nil {
		return
	}
	r.answer(nil, failure.New(failure.Gone, "this incarnation of the runner is over"))
	o.loseAll(r)
	delete(o.runners, instance)
}

// retiredFor is how long heartbeats of an incarnation that is over are still refused.
const retiredFor = 5 * time.Minute

func (o *Owner) forgetRetired(now time.Duration) {
	for instance, at := range o.retired {
		if now-at > retiredFor {
			delete(o.retired, instance)
		}
	}
}

// Deregister takes a runner's word that it ends.
func (o *Owner) Deregister(now time.Duration, instance string, reply func(err error)) {
	if !o.leading {
		reply(errNotLeader)
		return
	}
	if !o.recentlyConfirmed(now) {
		reply(failure.New(failure.NotLeader, "leadership could not be confirmed"))
		return
	}
	if r := o.runners[instance]; r != nil {
		r.ended = true
		r.draining = true
		r.holdEnd = min(r.holdEnd, now+endSlack)
	}
	reply(nil)
}

// endSlack is how long a runner that has said that it ends may still run something.
const endSlack = time.Second

// takeFinished proposes the ends that the shard has not got yet.
func (o *Owner) takeFinished(now time.Duration, r *runner) {
	seen := o.state.LastSeen(r.instance)
	sort.Slice(r.report.Finished, func(i, j int) bool { return r.report.Finished[i].N < r.report.Finished[j].N })
	for i := range r.report.Finished {
		finished := &r.report.Finished[i]
		if finished.N <= seen {
			continue
		}
		id, err := jobs.ParseTaskID(finished.Task)
		if err != nil {
			continue
		}
		key := runKey{id, finished.Run}
		o.learn(now, r, key, finished)
		delete(r.stops, key)
		delete(r.listed, key)
		delete(r.ordered, key)
		if o.ending[key] {
			continue
		}
		o.ending[key] = true
		o.dirty = true
		o.next.Ends = append(o.next.Ends, jobs.End{
			Runner: r.instance, N: finished.N, Task: id, Run: finished.Run, How: finished.How, Saved: finished.Saved,
		})
	}
}

// takeActive notes what the runner lists as active, and orders stops for what should not run.
func (o *Owner) takeActive(now time.Duration, r *runner) {
	before := r.listed
	r.listed = make(map[runKey]*listing, len(r.report.Active))
	for i := range r.report.Active {
		active := &r.report.Active[i]
		id, err := jobs.ParseTaskID(active.Task)
		if err != nil {
			continue
		}
		key := runKey{id, active.Run}
		entry := before[key]
		if entry == nil {
			_, ordered := r.ordered[key]
			entry = &listing{since: now, movedAt: now, savedAt: now, observed: ordered}
			entry.percent = active.Percent
		}
		if active.Percent > entry.percent {
			entry.percent = active.Percent
			entry.movedAt = now
		}
		if active.Saved != entry.saved {
			entry.saved = active.Saved
			entry.savedAt = now
		}
		r.listed[key] = entry
		if !o.wanted(r, key) {
			o.stop(now, r, key)
		}
	}
}

// wanted tells whether a run that a runner lists is one that the shard wants to go on.
func (o *Owner) wanted(r *runner, key runKey) bool {
	task := o.state.Task(key.task)
	if task == nil || task.Run != key.run || task.Runner != r.instance {
		return o.lingering(r, key)
	}
	return task.Phase == jobs.Running && !over(task.Group.Job.State)
}

// lingering tells of a run whose gang is done: it ends by itself.
func (o *Owner) lingering(r *runner, key runKey) bool {
	for _, l := range o.state.LingeringOn(r.instance) {
		if l.Task == key.task && l.Run == key.run {
			return true
		}
	}
	return false
}

func over(state string) bool { return state == protocol.JobCancelled || state == protocol.JobFailed }

// stop orders a run to be stopped, again and again until its end is listed.
func (o *Owner) stop(now time.Duration, r *runner, key runKey) {
	if _, already := r.stops[key]; already {
		return
	}
	r.stops[key] = now
	o.counters.Stops++
}

// finishedPage is the most ends that one heartbeat lists: with that many there may be more.
const finishedPage = 500

// withdraw deals with runs that were to start there and that the newest heartbeat does not list: every earlier answer is
// void by now, so that such a run exists only if this heartbeat's answer orders it.
func (o *Owner) withdraw(now time.Duration, r *runner) {
	if len(r.report.Finished) >= finishedPage {
		return
	}
	for _, task := range o.state.RunsOn(r.instance) {
		key := runKey{task.ID, task.Run}
		if task.Phase != jobs.Running || o.ending[key] {
			continue
		}
		if _, there := r.listed[key]; there {
			continue
		}
		_, stopping := r.stops[key]
		if r.draining || stopping || over(task.Group.Job.State) || o.tooLate(now, r, task) {
			o.lose(r, task)
		}
	}
	for _, l := range o.state.LingeringOn(r.instance) {
		key := runKey{l.Task, l.Run}
		if _, there := r.listed[key]; there || o.ending[key] {
			continue
		}
		o.ending[key] = true
		o.next.Losses = append(o.next.Losses, jobs.Loss{Runner: r.instance, Task: l.Task, Run: l.Run})
	}
}

// takeRejected gives up the runs that the runner certainly never starts. Where ends may be missing from the heartbeat,
// it is left to a later one: the run may have ended.
func (o *Owner) takeRejected(r *runner) {
	if len(r.report.Finished) >= finishedPage {
		return
	}
	for i := range r.report.Rejected {
		rejected := &r.report.Rejected[i]
		id, err := jobs.ParseTaskID(rejected.Task)
		if err != nil {
			continue
		}
		key := runKey{id, rejected.Run}
		task := o.state.Task(id)
		if task == nil || task.Run != key.run || task.Runner != r.instance || task.Phase != jobs.Running {
			continue
		}
		if _, there := r.listed[key]; !there {
			o.lose(r, task)
		}
	}
}

// orderTime is how long a start may wait for its runner, at most; a gang's members must come together.
const orderTime = 4 * time.Second

// tooLate tells that a start has not reached its runner for so long that it is better made elsewhere.
func (o *Owner) tooLate(now time.Duration, r *runner, task *jobs.Task) bool {
	at, ok := r.ordered[runKey{task.ID, task.Run}]
	if !ok {
		at = o.ledAt
	}
	limit := orderTime
	if task.Group.Spec().Gang {
		limit = min(limit, o.options.GangWait/2)
	}
	return now-at > limit
}

// lose proposes that a run is no more.
func (o *Owner) lose(r *runner, task *jobs.Task) {
	key := runKey{task.ID, task.Run}
	if o.ending[key] {
		return
	}
	o.ending[key] = true
	o.counters.Losses++
	saved := ""
	if l := r.listed[key]; l != nil {
		saved = l.saved
	}
	delete(r.stops, key)
	delete(r.ordered, key)
	o.dirty = true
	o.next.Losses = append(o.next.Losses, jobs.Loss{Runner: r.instance, Task: task.ID, Run: task.Run, Saved: saved})
}

func (o *Owner) loseAll(r *runner) {
	for _, task := range o.state.RunsOn(r.instance) {
		if task.Phase == jobs.Running {
			o.lose(r, task)
		}
	}
	for _, l := range o.state.LingeringOn(r.instance) {
		key := runKey{l.Task, l.Run}
		if !o.ending[key] {
			o.ending[key] = true
			o.next.Losses = append(o.next.Losses, jobs.Loss{Runner: r.instance, Task: l.Task, Run: l.Run})
		}
	}
}

// expireHolds gives up what silent runners ran, once their last hold is certainly over.
func (o *Owner) expireHolds(now time.Duration) {
	for instance, r := range o.runners {
		if now < r.holdEnd {
			continue
		}
		silent := !r.reported || now-r.heardAt > usableSilence
		if !silent && !r.ended {
			continue
		}
		o.loseAll(r)
		if r.reply == nil && (r.ended || now-r.holdEnd > forgetSilent) && len(o.state.RunsOn(instance)) == 0 {
			delete(o.runners, instance)
		}
	}
}

// forgetSilent is how long a silent runner is kept after its hold.
const forgetSilent = 30 * time.Second
