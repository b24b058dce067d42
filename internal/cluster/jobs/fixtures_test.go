package jobs_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/fixturetest"
)

const (
	jobD = "00000000000000dd"
	jobE = "00000000000000ee"
	jobF = "00000000000000ff"
)

var phases = []jobs.Phase{
	jobs.Blocked, jobs.Pending, jobs.Running, jobs.Done, jobs.Failed, jobs.Cancelled, jobs.GangEnding,
}

// shardInEveryPhase returns a shard that has jobs in every state and tasks in every phase: the jobs of populatedShard, a
// failed job, a completed job and a queued job. It checks that every state and phase occurs.
func shardInEveryPhase() *shard {
	GinkgoHelper()
	s := populatedShard()
	s.submit(jobD, 1, step(2), step(1, after(0)))
	s.startOn(1, "r1", id(jobD, 0), "r2", id(jobD, 1))
	s.end("r1", id(jobD, 0), 1, protocol.EndFailed, "saved before it failed")
	s.submit(jobE, 1, step(1))
	s.startOn(1, "r1", id(jobE, 0))
	s.end("r1", id(jobE, 0), 1, protocol.EndDone, "")
	s.submit(jobF, 1, step(1))
	s.do(&jobs.Command{RunnerAddresses: []jobs.RunnerAddress{{Runner: "r1", Address: "10.0.0.1:8080"}, {Runner: "r3", Address: "10.0.0.3:8080"}}})
	seen := map[jobs.Phase]bool{}
	states := map[protocol.JobState]bool{}
	for _, id := range s.JobIDs("", "", 100) {
		job := s.Job(id)
		states[job.State] = true
		for _, group := range job.Groups {
			for _, task := range group.Tasks {
				seen[task.Phase] = true
			}
		}
	}
	for _, phase := range phases {
		Expect(seen).To(HaveKey(phase), phase.String())
	}
	Expect(states).To(HaveLen(5))
	return s
}

// shownTask and the other shown types below have the exported values of a State without the pointers between them, so that
// they can be compared and listed in a fixture.
type shownTask struct {
	ID             string
	Phase          jobs.Phase
	Run            uint64
	Runner         string
	Checkpoint     string
	Attempts       int
	PendingSinceMs int64
}

type shownGroup struct {
	Unfinished int
	Run        uint64
	Attempts   int
	Running    int
	Checkpoint string
	Tasks      []shownTask
}

type shownJob struct {
	ID         string
	Queue      protocol.Queue
	Spec       protocol.JobSpec
	State      protocol.JobState
	AcceptedMs int64
	EndedMs    int64
	Groups     []shownGroup
}

type shownRunner struct {
	ID        string
	Address   string
	LastSeen  uint64
	Departed  bool
	Lingering []jobs.Lingering
	Runs      []string
}

type shownState struct {
	ClockMs  int64
	Counters jobs.Counters
	Jobs     []shownJob
	Runners  []shownRunner
	Pending  []string
	Digest   uint64 // covers the fields that no accessor returns
}

// show returns the exported values of a state.
func show(state *jobs.State) *shownState {
	all := &shownState{ClockMs: state.ClockMs(), Counters: state.Counters(), Digest: state.Digest()}
	for _, id := range state.JobIDs("", "", 100) {
		job := state.Job(id)
		shown := shownJob{
			ID: job.ID, Queue: job.Queue, Spec: job.Spec, State: job.State, AcceptedMs: job.AcceptedMs, EndedMs: job.EndedMs,
		}
		for _, group := range job.Groups {
			shown.Groups = append(shown.Groups, showGroup(group))
		}
		all.Jobs = append(all.Jobs, shown)
	}
	for _, runner := range state.Runners() {
		s := &shard{State: state}
		all.Runners = append(all.Runners, shownRunner{
			ID: runner, Address: state.AddressOf(runner), LastSeen: state.LastSeen(runner), Departed: state.Departed(runner),
			Lingering: state.LingeringOn(runner), Runs: s.runsOn(runner),
		})
	}
	all.Pending = (&shard{State: state}).pendingIDs()
	return all
}

func showGroup(group *jobs.Group) shownGroup {
	shown := shownGroup{
		Unfinished: group.Unfinished, Run: group.Run, Attempts: group.Attempts, Running: group.Running,
		Checkpoint: group.Checkpoint,
	}
	for _, task := range group.Tasks {
		shown.Tasks = append(shown.Tasks, shownTask{
			ID: task.ID.String(), Phase: task.Phase, Run: task.Run, Runner: task.Runner, Checkpoint: task.Checkpoint,
			Attempts: task.Attempts, PendingSinceMs: task.PendingSinceMs,
		})
	}
	return shown
}

// endedCommand returns a command that has an end with each outcome.
func endedCommand() *jobs.Command {
	c := &jobs.Command{}
	for i, outcome := range []protocol.RunEnd{
		protocol.EndDone, protocol.EndFailed, protocol.EndStopped, protocol.EndLapsed, protocol.EndBroken, protocol.EndAlone,
		protocol.EndRefused,
	} {
		c.Ends = append(c.Ends, jobs.End{Runner: "r1", N: uint64(i + 1), Task: id(jobA, i), Run: 1, Outcome: outcome})
	}
	return c
}

var _ = Describe("A fixture, which an earlier version of the program wrote,", func() {
	DescribeTable("is decoded as a command and encoded again to the same bytes",
		func(name string, command func() *jobs.Command) {
			fixturetest.Check(GinkgoTB(), name, fixturetest.Codec{
				Encode: func() (any, []byte, error) {
					data, err := jobs.Encode(command())
					return command(), data, err
				},
				Decode: func(data []byte) (any, error) {
					read, err := jobs.Decode(data)
					if err == nil {
						Expect(encode(read)).To(Equal(data))
					}
					return read, err
				},
			})
		},
		Entry("with all fields", "command", func() *jobs.Command {
			c := &jobs.Command{}
			fixturetest.Fill(c)
			return c
		}),
		Entry("with all outcomes", "ends", endedCommand),
	)

	It("is restored as a snapshot and encoded again to the same bytes", func() {
		fixturetest.Check(GinkgoTB(), "snapshot", fixturetest.Codec{
			Encode: func() (any, []byte, error) {
				s := shardInEveryPhase()
				data, err := s.Snapshot()
				return show(s.State), data, err
			},
			Decode: func(data []byte) (any, error) {
				state := jobs.New(jobs.Options{})
				if err := state.Restore(data); err != nil {
					return nil, err
				}
				Expect(state.Snapshot()).To(Equal(data))
				return show(state), nil
			},
		})
	})
})
