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

// job returns a job and its groups. The job has a step of one task for each argument, which lists the steps on which it
// depends.
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

// at converts ms to a time of the owner's clock, or to a span.
func at(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// done marks a group's only task as Done and returns it.
func done(group *jobs.Group) *jobs.Task {
	group.Unfinished = 0
	group.Tasks[0].Phase = jobs.Done
	return group.Tasks[0]
}

// nonzero returns the parts of times that are not 0, by the label of their reason.
func nonzero(times latency.Times) map[string]time.Duration {
	parts := map[string]time.Duration{}
	for _, reason := range latency.Reasons() {
		if times[reason] != 0 {
			parts[reason.String()] = times[reason]
		}
	}
	return parts
}

var _ = Describe("A recorder of wait reasons", func() {
	var recorder *latency.Recorder
	BeforeEach(func() { recorder = latency.NewRecorder(at(1)) })

	// run records that a task became pending at a time in ms and started 20 ms later.
	run := func(from int, task *jobs.Task) {
		recorder.TaskPending(at(from), task)
		recorder.RunStarted(at(from+20), task)
	}
	// end records that the run of such a task, listed from from+40 on, was done after 100 ms. Its end is committed at from+150.
	end := func(from int, group *jobs.Group) {
		recorder.RunEnded(at(from+150), done(group), latency.Run{ListedAt: at(from + 40), EndedAt: at(from + 140), Outcome: latency.Running})
	}

	It("splits the time of a job by the reasons for which its task waited", func() {
		ended, groups := job(nil)
		task := groups[0].Tasks[0]
		recorder.TaskPending(at(100), task)
		recorder.SetReason(at(110), groups[0], latency.NoCPU)
		recorder.SetReason(at(140), groups[0], latency.ReservedCapacity)
		recorder.RunStarted(at(200), task)
		recorder.RunEnded(at(500), done(groups[0]), latency.Run{ListedAt: at(230), EndedAt: at(490), Outcome: latency.Running})
		summary, ok := recorder.JobEnded(ended, at(405))
		Expect(ok).To(BeTrue())
		Expect(nonzero(summary.Times)).To(Equal(map[string]time.Duration{"unowned": at(5), "round": at(10), "cpu": at(30),
			"reserved": at(60), "order": at(30), "running": at(260), "report": at(10)}))
		Expect(summary.Times.Sum()).To(Equal(summary.Took))
		Expect(summary.Objective).To(Equal(at(1000 + 2*260)))
		Expect(summary.IsLate()).To(BeFalse())
	})

	It("counts the time of runs that were not done under their outcome", func() {
		ended, groups := job(nil)
		task := groups[0].Tasks[0]
		recorder.TaskPending(at(100), task)
		recorder.RunStarted(at(100), task)
		recorder.RunEnded(at(300), task, latency.Run{ListedAt: at(120), EndedAt: at(290), Outcome: latency.Failed})
		recorder.TaskPending(at(300), task)
		recorder.RunStarted(at(310), task)
		recorder.RunEnded(at(2000), task, latency.Run{ListedAt: at(320), LastContactAt: at(500), Outcome: latency.Lost})
		recorder.TaskPending(at(2000), task)
		recorder.RunStarted(at(2000), task)
		recorder.RunEnded(at(2100), done(groups[0]), latency.Run{ListedAt: at(2000), EndedAt: at(2100), Outcome: latency.Running})
		summary, _ := recorder.JobEnded(ended, at(2000))
		Expect(nonzero(summary.Times)).To(Equal(map[string]time.Duration{"failed": at(200), "round": at(10), "lost": at(190),
			"silent": at(1500), "running": at(100)}))
		Expect(summary.IsLate()).To(BeTrue())
		Expect(recorder.Queues()[queueKey].Late).To(Equal(uint64(1)))
	})

	It("follows the steps that finished last on the job's critical path", func() {
		ended, groups := job(nil, nil, []int{0, 1})
		run(100, groups[0].Tasks[0])
		run(300, groups[1].Tasks[0]) // finishes later than groups[0]; the last step depends on both
		end(100, groups[0])
		end(300, groups[1])
		run(450, groups[2].Tasks[0])
		end(450, groups[2])
		summary, _ := recorder.JobEnded(ended, at(500))
		Expect(summary.Times[latency.Running]).To(Equal(at(200)))
		Expect(summary.Times[latency.Unowned]).To(Equal(at(200)), "the time before the first step of the chain")
	})

	It("counts the time before its record began as unowned", func() {
		ended, groups := job(nil)
		recorder.RunEnded(at(501), done(groups[0]), latency.Run{ListedAt: at(101), EndedAt: at(501), Outcome: latency.Running})
		summary, _ := recorder.JobEnded(ended, at(900))
		Expect(nonzero(summary.Times)).To(Equal(map[string]time.Duration{"unowned": at(400), "order": at(100), "running": at(400)}))
	})

	It("returns no summary of a job with repetitions", func() {
		ended, groups := job(nil)
		ended.Spec.Repetitions = 3
		run(100, groups[0].Tasks[0])
		end(100, groups[0])
		ended.State = protocol.JobCompleted
		_, ok := recorder.JobEnded(ended, at(900))
		Expect(ok).To(BeFalse())
		Expect(recorder.Queues()[queueKey].Tasks[latency.Running]).To(Equal(at(100)))
	})

	It("drops the record of a finished step of a job with repetitions, and all records of a job that has ended", func() {
		ended, groups := job(nil)
		ended.Spec.Repetitions = 3
		run(100, groups[0].Tasks[0])
		Expect(recorder.RecordedSteps()).To(Equal(1))
		end(100, groups[0])
		Expect(recorder.RecordedSteps()).To(BeZero())
		other, others := job(nil, nil)
		run(100, others[0].Tasks[0])
		run(100, others[1].Tasks[0])
		other.State = protocol.JobCancelled
		recorder.JobEnded(other, at(200))
		Expect(recorder.RecordedSteps()).To(BeZero())
	})

	It("counts the time for which a step waited for an earlier one", func() {
		_, groups := job(nil, []int{0})
		run(100, groups[0].Tasks[0])
		end(100, groups[0])
		run(250, groups[1].Tasks[0])
		Expect(recorder.Queues()[queueKey].Tasks[latency.EarlierStep]).To(Equal(at(150)))
	})

	It("splits the time of a job that has failed", func() {
		ended, groups := job(nil)
		task := groups[0].Tasks[0]
		recorder.TaskPending(at(100), task)
		recorder.RunStarted(at(120), task)
		task.Phase, ended.State = jobs.Failed, protocol.JobFailed
		recorder.RunEnded(at(320), task, latency.Run{ListedAt: at(130), EndedAt: at(310), Outcome: latency.Failed})
		summary, ok := recorder.JobEnded(ended, at(225))
		Expect(ok).To(BeTrue())
		Expect(nonzero(summary.Times)).To(Equal(map[string]time.Duration{"unowned": at(5), "round": at(20), "failed": at(200)}))
	})

	It("counts the time of a lost run as that of an unresponsive runner if the runner never contacted this owner", func() {
		_, groups := job(nil)
		recorder.RunEnded(at(1201), groups[0].Tasks[0], latency.Run{Outcome: latency.Lost})
		Expect(nonzero(recorder.Queues()[queueKey].Tasks)).To(Equal(map[string]time.Duration{"silent": at(1200)}))
	})

	It("records nothing more for a job that has ended", func() {
		ended, groups := job(nil)
		run(100, groups[0].Tasks[0])
		ended.State = protocol.JobCancelled
		recorder.JobEnded(ended, at(200))
		before := recorder.Queues()[queueKey].Tasks
		recorder.RunEnded(at(900), groups[0].Tasks[0], latency.Run{Outcome: latency.Stopped})
		Expect(recorder.Queues()[queueKey].Tasks).To(Equal(before))
	})
})
