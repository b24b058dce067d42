package latency_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/latency"
	"ospreypond/internal/cluster/protocol"
)

const queueKey = "host/queue/"

// job makes a job of steps of one task each, and its groups; each step depends on those listed for it.
func job(dependsOn ...[]int) (*jobs.Job, []*jobs.Group) {
	made := &jobs.Job{ID: "aa", State: protocol.JobRunning, Queue: protocol.Queue{Key: queueKey, Extension: 2, TargetLatencyMs: 1000}}
	var groups []*jobs.Group
	for step, depends := range dependsOn {
		made.Spec.Steps = append(made.Spec.Steps, protocol.Step{Count: 1, DependsOn: depends})
		group := &jobs.Group{Job: made, Step: step, Unfinished: 1}
		group.Tasks = []*jobs.Task{{ID: jobs.TaskID{Job: "aa", Step: step}, Group: group}}
		groups = append(groups, group)
	}
	return made, groups
}

// at is a time in ms.
func at(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// done takes that a group's only task is done.
func done(group *jobs.Group) *jobs.Task {
	group.Unfinished = 0
	group.Tasks[0].Phase = jobs.Done
	return group.Tasks[0]
}

// spans are the parts of a time that are not 0.
func spans(times latency.Times) map[string]time.Duration {
	parts := map[string]time.Duration{}
	for _, cause := range latency.Causes() {
		if times[cause] != 0 {
			parts[cause.String()] = times[cause]
		}
	}
	return parts
}

var _ = Describe("The account of a job", func() {
	var l *latency.Recorder
	BeforeEach(func() { l = latency.NewRecorder(at(1)) })

	// run has a task run well from 20 ms after a time on, for 100 ms.
	run := func(from int, task *jobs.Task) {
		l.TaskPending(at(from), task)
		l.RunStarted(at(from+20), task)
	}
	end := func(from int, group *jobs.Group) {
		l.RunEnded(at(from+150), done(group), latency.Run{ListedAt: at(from + 40), EndedAt: at(from + 140), Outcome: latency.Running})
	}

	It("splits the time of its task by what that waited for", func() {
		one, groups := job(nil)
		task := groups[0].Tasks[0]
		l.TaskPending(at(100), task)
		l.SetReason(at(110), groups[0], latency.NoCPU)
		l.SetReason(at(140), groups[0], latency.ReservedCapacity)
		l.RunStarted(at(200), task)
		l.RunEnded(at(500), done(groups[0]), latency.Run{ListedAt: at(230), EndedAt: at(490), Outcome: latency.Running})
		account, ok := l.JobEnded(one, at(405))
		Expect(ok).To(BeTrue())
		Expect(spans(account.Times)).To(Equal(map[string]time.Duration{"unowned": at(5), "round": at(10), "cpu": at(30),
			"reserved": at(60), "order": at(30), "running": at(260), "report": at(10)}))
		Expect(account.Times.Sum()).To(Equal(account.Took))
		Expect(account.Objective).To(Equal(at(1000 + 2*260)))
		Expect(account.IsLate()).To(BeFalse())
	})

	It("counts runs that came to nothing by how they ended", func() {
		one, groups := job(nil)
		task := groups[0].Tasks[0]
		l.TaskPending(at(100), task)
		l.RunStarted(at(100), task)
		l.RunEnded(at(300), task, latency.Run{ListedAt: at(120), EndedAt: at(290), Outcome: latency.Failed})
		l.TaskPending(at(300), task)
		l.RunStarted(at(310), task)
		l.RunEnded(at(2000), task, latency.Run{ListedAt: at(320), LastContactAt: at(500), Outcome: latency.Lost})
		l.TaskPending(at(2000), task)
		l.RunStarted(at(2000), task)
		l.RunEnded(at(2100), done(groups[0]), latency.Run{ListedAt: at(2000), EndedAt: at(2100), Outcome: latency.Running})
		account, _ := l.JobEnded(one, at(2000))
		Expect(spans(account.Times)).To(Equal(map[string]time.Duration{"failed": at(200), "round": at(10), "lost": at(190),
			"silent": at(1500), "running": at(100)}))
		Expect(account.IsLate()).To(BeTrue())
		Expect(l.Queues()[queueKey].Late).To(Equal(uint64(1)))
	})

	It("follows the longest chain of its steps", func() {
		one, groups := job(nil, nil, []int{0, 1})
		run(100, groups[0].Tasks[0])
		run(300, groups[1].Tasks[0]) // the later one of two that the last depends on
		end(100, groups[0])
		end(300, groups[1])
		run(450, groups[2].Tasks[0])
		end(450, groups[2])
		account, _ := l.JobEnded(one, at(500))
		Expect(account.Times[latency.Running]).To(Equal(at(200)))
		Expect(account.Times[latency.Unowned]).To(Equal(at(200)), "what came before the step that decided")
	})

	It("says that it doesn't know what was before its owner", func() {
		one, groups := job(nil)
		l.RunEnded(at(501), done(groups[0]), latency.Run{ListedAt: at(101), EndedAt: at(501), Outcome: latency.Running})
		account, _ := l.JobEnded(one, at(900))
		Expect(spans(account.Times)).To(Equal(map[string]time.Duration{"unowned": at(400), "order": at(100), "running": at(400)}))
	})

	It("is not made of jobs that come in several times", func() {
		one, groups := job(nil)
		one.Spec.Repetitions = 3
		run(100, groups[0].Tasks[0])
		end(100, groups[0])
		one.State = protocol.JobCompleted
		_, ok := l.JobEnded(one, at(900))
		Expect(ok).To(BeFalse())
		Expect(l.Queues()[queueKey].Tasks[latency.Running]).To(Equal(at(100)))
	})

	It("keeps no record of a step of such a job that is done, nor of any job that is over", func() {
		one, groups := job(nil)
		one.Spec.Repetitions = 3
		run(100, groups[0].Tasks[0])
		Expect(l.Open()).To(Equal(1))
		end(100, groups[0])
		Expect(l.Open()).To(BeZero())
		other, others := job(nil, nil)
		run(100, others[0].Tasks[0])
		run(100, others[1].Tasks[0])
		other.State = protocol.JobCancelled
		l.JobEnded(other, at(200))
		Expect(l.Open()).To(BeZero())
	})

	It("counts what a later step waited for an earlier one", func() {
		_, groups := job(nil, []int{0})
		run(100, groups[0].Tasks[0])
		end(100, groups[0])
		run(250, groups[1].Tasks[0])
		Expect(l.Queues()[queueKey].Tasks[latency.EarlierStep]).To(Equal(at(150)))
	})

	It("tells what a job spent that has failed", func() {
		one, groups := job(nil)
		task := groups[0].Tasks[0]
		l.TaskPending(at(100), task)
		l.RunStarted(at(120), task)
		task.Phase, one.State = jobs.Failed, protocol.JobFailed
		l.RunEnded(at(320), task, latency.Run{ListedAt: at(130), EndedAt: at(310), Outcome: latency.Failed})
		account, ok := l.JobEnded(one, at(225))
		Expect(ok).To(BeTrue())
		Expect(spans(account.Times)).To(Equal(map[string]time.Duration{"unowned": at(5), "round": at(20), "failed": at(200)}))
	})

	It("takes a run for silent of which its owner has never heard", func() {
		_, groups := job(nil)
		l.RunEnded(at(1201), groups[0].Tasks[0], latency.Run{Outcome: latency.Lost})
		Expect(spans(l.Queues()[queueKey].Tasks)).To(Equal(map[string]time.Duration{"silent": at(1200)}))
	})

	It("takes nothing more for a job that is over", func() {
		one, groups := job(nil)
		run(100, groups[0].Tasks[0])
		one.State = protocol.JobCancelled
		l.JobEnded(one, at(200))
		before := l.Queues()[queueKey].Tasks
		l.RunEnded(at(900), groups[0].Tasks[0], latency.Run{Outcome: latency.Stopped})
		Expect(l.Queues()[queueKey].Tasks).To(Equal(before))
	})
})
