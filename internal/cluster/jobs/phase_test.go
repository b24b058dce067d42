package jobs_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

var _ = DescribeTable("The name of a phase is returned by String",
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

var _ = DescribeTable("A job reports whether its state is a final one and whether it was abandoned",
	func(state string, ended, abandoned bool) {
		job := jobs.Job{State: protocol.JobState(state)}
		Expect(job.Ended()).To(Equal(ended))
		Expect(job.Abandoned()).To(Equal(abandoned))
	},
	Entry(nil, protocol.JobQueued, false, false),
	Entry(nil, protocol.JobRunning, false, false),
	Entry(nil, protocol.JobCompleted, true, false),
	Entry(nil, protocol.JobFailed, true, true),
	Entry(nil, protocol.JobCancelled, true, true),
)
