package jobs_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/jobs"
)

var _ = DescribeTable("the name of a phase",
	func(phase jobs.Phase, name string) { Expect(phase.String()).To(Equal(name)) },
	Entry(nil, jobs.Blocked, "blocked"),
	Entry(nil, jobs.Pending, "pending"),
	Entry(nil, jobs.Running, "running"),
	Entry(nil, jobs.Done, "done"),
	Entry(nil, jobs.Failed, "failed"),
	Entry(nil, jobs.Cancelled, "cancelled"),
	Entry(nil, jobs.GangEnding, "gang ending"),
	Entry(nil, jobs.GangEnding+1, "unknown"),
)

var _ = DescribeTable("a state of a job",
	func(state jobs.JobState, ended, abandoned bool) {
		Expect(state.HasEnded()).To(Equal(ended))
		Expect(state.IsAbandoned()).To(Equal(abandoned))
	},
	Entry(nil, jobs.JobQueued, false, false),
	Entry(nil, jobs.JobRunning, false, false),
	Entry(nil, jobs.JobCompleted, true, false),
	Entry(nil, jobs.JobFailed, true, true),
	Entry(nil, jobs.JobCancelled, true, true),
)
