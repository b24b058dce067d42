package scheduler

import (
	"time"

	"ospreypond/internal/cluster/protocol"
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
	// inherited are the runs that an earlier owner started there, as long as no heartbeat has listed them here
	inherited map[runKey]bool
	record    outcomes
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
	r := &runner{
		instance: instance,
		holdEnd:  now + o.longestHold(),
		listed:   map[runKey]*listing{},
		ordered:  map[runKey]time.Duration{},
		stops:    map[runKey]time.Duration{},

		inherited: map[runKey]bool{},
	}
	for _, task := range o.state.RunsOn(instance) {
		r.inherited[runKey{task.ID, task.Run}] = true
	}
	if o.state.Departed(instance) {
		r.depart()
	}
	return r
}

// depart notes that the runner has said that it ends: it gets no work and no hold any more.
func (r *runner) depart() {
	r.ended = true
	r.draining = true
}

// longestHold is the longest real time that a hold granted now may last, on the slowest clock.
func (o *Owner) longestHold() time.Duration {
	return time.Duration(float64(o.options.MaxLease) * clockSlack)
}
