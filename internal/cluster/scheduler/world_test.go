package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/scheduler"
)

const (
	lease   = 6 * time.Second
	service = "settle"
	queue   = "host/settle/"
	startMs = int64(1_700_000_000_000)
)

// world is an owner and the state of its shard, with a log that commits each command at once unless it is stalled.
type world struct {
	state    *jobs.State
	owner    *scheduler.Owner
	now      time.Duration
	stalled  bool            // commands are proposed but not committed until commit is called
	proposed []*jobs.Command // not committed yet
	log      []*jobs.Command // committed
}

func newWorld() *world {
	w := &world{state: jobs.New(jobs.Options{}), now: time.Second}
	w.owner = scheduler.New(options(), w.state)
	w.lead(7)
	return w
}

// lead makes the owner the leader in a term, with a confirmation requested now.
func (w *world) lead(term uint64) {
	w.owner.BecomeLeader(w.now, w.clock(), term)
	w.owner.Tick(w.now, w.clock(), w.now)
}

func options() scheduler.Options {
	return scheduler.Options{MaxLease: lease, StopTime: 900 * time.Millisecond, GangWait: 3 * time.Second}
}

func (w *world) clock() int64 { return startMs + w.now.Milliseconds() }

// commitAll commits the owner's commands until none is left, then lets the owner reply to heartbeats.
func (w *world) commitAll() {
	for range 20 {
		command := w.owner.NextCommand(w.now)
		if command == nil {
			break
		}
		w.proposed = append(w.proposed, command)
		if w.stalled {
			break
		}
		w.commit()
	}
	w.owner.Flush(w.now)
}

// commit applies the proposed commands.
func (w *world) commit() {
	for _, command := range w.proposed {
		w.log = append(w.log, command)
		effects := w.state.Apply(command)
		w.owner.Applied(w.now, command, effects)
	}
	w.proposed = nil
}

// pass advances the time, and confirms the leadership at the end.
func (w *world) pass(d time.Duration) {
	w.now += d
	w.owner.Tick(w.now, w.clock(), w.now)
	w.commitAll()
}

// passUnconfirmed advances the time without a confirmation of leadership.
func (w *world) passUnconfirmed(d time.Duration) {
	w.now += d
	w.owner.Tick(w.now, w.clock(), 0)
	w.commitAll()
}

// submit submits a job to the default queue. The submit must succeed, unless commits are stalled.
func (w *world) submit(id string, steps ...protocol.Step) {
	GinkgoHelper()
	w.submitTo(protocol.Queue{Key: queue, Service: service, MaxAttempts: 2, Extension: 2, TargetLatencyMs: 800}, id, steps...)
}

// submitTo submits a job to a queue. The submit must succeed, unless commits are stalled.
func (w *world) submitTo(q protocol.Queue, id string, steps ...protocol.Step) {
	GinkgoHelper()
	replied := false
	w.owner.Submit(w.now, jobs.Submit{ID: id, Queue: q, Job: protocol.JobSpec{Spec: "do", Steps: steps}}, func(_ bool, err error) {
		replied = true
		Expect(err).NotTo(HaveOccurred())
	})
	w.commitAll()
	if !w.stalled {
		Expect(replied).To(BeTrue(), "a submit must be answered once it is committed")
	}
}

// heartbeatOf returns a heartbeat of a ready runner with 16 cores and 8 accelerators.
func heartbeatOf(instance string, sequence uint64) *protocol.Heartbeat {
	return &protocol.Heartbeat{
		Instance: instance, Service: service, Address: "10.0.0.1:1-" + instance, Zone: "z", State: protocol.RunnerReady,
		Capacity: protocol.Resources{CPU: 16000, MemoryMB: 32768, GPU: 8}, Labels: []string{"a", "r1"}, Sequence: sequence,
	}
}

// heartbeat sends a heartbeat and returns the answer, which must come within 200 ms.
func (w *world) heartbeat(heartbeat *protocol.Heartbeat) (orders *protocol.Orders, err error) {
	GinkgoHelper()
	replied := false
	w.owner.Heartbeat(w.now, heartbeat, func(o *protocol.Orders, e error) { replied, orders, err = true, o, e })
	w.commitAll()
	for range 20 {
		if replied {
			return orders, err
		}
		w.pass(10 * time.Millisecond)
	}
	Expect(replied).To(BeTrue(), "a heartbeat must be answered")
	return orders, err
}

// orders sends a heartbeat, which must succeed, and returns the orders.
func (w *world) orders(heartbeat *protocol.Heartbeat) *protocol.Orders {
	GinkgoHelper()
	orders, err := w.heartbeat(heartbeat)
	Expect(err).NotTo(HaveOccurred())
	return orders
}

// small returns a step of one task that needs half a core and is estimated to take half a second.
func small() protocol.Step {
	return protocol.Step{Count: 1, CPU: 500, MemoryMB: 100, EstimatedMs: 500}
}

// activeRuns returns the runs of some starts, as a heartbeat lists them.
func activeRuns(orders []protocol.StartOrder) []protocol.ActiveRun {
	var rows []protocol.ActiveRun
	for _, o := range orders {
		rows = append(rows, protocol.ActiveRun{Task: o.Task, Run: o.Run})
	}
	return rows
}

// submitOf returns a submit of a job with one small task.
func submitOf(id string) jobs.Submit {
	return jobs.Submit{
		ID:    id,
		Queue: protocol.Queue{Key: queue, Service: service, MaxAttempts: 2},
		Job:   protocol.JobSpec{Spec: "do", Steps: []protocol.Step{small()}},
	}
}
