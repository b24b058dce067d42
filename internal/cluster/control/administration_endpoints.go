package control

import (
	"runtime/metrics"
	"time"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/cluster/scheduler"
)

const (
	maxJobsPage       = 500 // maximum number of jobs in one response
	totalMemoryMetric = "/memory/classes/total:bytes"
)

// administrator serves the requests of the operator's commands (package administration). Only the engine's loop uses its
// state. Only snapshots are confirmed by a quorum: the other responses are for people to read and may be out of date.
type administrator struct {
	control     *Control
	sessions    map[uint64]*snapshotSession // by session number
	lastSession uint64                      // number of the newest session
}

func newAdministrator(c *Control) *administrator {
	return &administrator{control: c, sessions: map[uint64]*snapshotSession{}}
}

// report replies with the state of this process and of its replicas.
func (a *administrator) report(_ string, _ *administration.ReportRequest, reply func(*administration.Report, error)) {
	a.control.engine.Do(func() { reply(a.makeReport(), nil) })
}

// makeReport returns the report of this process. It must run on the engine's loop.
func (a *administrator) makeReport() *administration.Report {
	engine := a.control.engine
	self, disk := engine.Self(), engine.Disk()
	report := &administration.Report{
		Node:        self.Node,
		Zone:        self.Zone,
		Address:     self.Address,
		Identity:    uint64(self.ID),
		UptimeMs:    engine.Now().Milliseconds(),
		Draining:    engine.Resigning(),
		DiskSick:    disk.Unhealthy,
		LogBytes:    disk.LogBytes,
		Segments:    disk.Segments,
		MemoryBytes: processMemory(),
	}
	for shard := protocol.ConfigurationShard; shard <= protocol.JobShards; shard++ {
		if overview, ok := engine.Overview(uint32(shard)); ok {
			report.Groups = append(report.Groups, a.groupReport(shard, overview))
		}
	}
	return report
}

// processMemory returns the memory that the Go runtime has mapped, in bytes, or 0 if the runtime doesn't report it.
func processMemory() uint64 {
	sample := []metrics.Sample{{Name: totalMemoryMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}

// groupReport returns the report of this process's replica of a shard.
func (a *administrator) groupReport(shard protocol.ShardID, overview replica.GroupOverview) administration.GroupReport {
	status := overview.Status
	group := administration.GroupReport{
		Shard:         shard,
		Term:          status.Term,
		Leader:        uint64(status.Leader),
		Owner:         overview.Ready,
		Commit:        status.Commit,
		Applied:       overview.Applied,
		Last:          status.LastIndex,
		SnapshotIndex: overview.SnapshotIndex,
		LogBytes:      overview.LogBytes,
		Members:       memberReports(status.Members, overview.Lags),
	}
	if overview.Ready {
		a.addOwnerReport(&group)
	}
	return group
}

// memberReports returns the reports of a group's members. lags has the lags of the other members if this process leads the
// group, and is empty otherwise.
func memberReports(members []consensus.Member, lags []replica.Lag) []administration.MemberReport {
	reports := make([]administration.MemberReport, 0, len(members))
	for _, member := range members {
		report := administration.MemberReport{
			Member:  protocol.Member{ID: uint64(member.ID), Node: member.Node, Zone: member.Zone, Address: member.Address},
			Learner: member.Learner,
			Change:  changeOf(member.Transition),
		}
		for _, lag := range lags {
			if lag.Member == member.ID {
				report.Entries, report.SilentMs = lag.Entries, lag.SinceAcknowledgement.Milliseconds()
			}
		}
		reports = append(reports, report)
	}
	return reports
}

// changeOf returns how a membership change in progress affects a member: administration.MemberJoining, MemberLeaving or "".
func changeOf(transition consensus.Transition) string {
	switch transition {
	case consensus.TransitionAdded:
		return administration.MemberJoining
	case consensus.TransitionRemoved, consensus.TransitionDemoted:
		return administration.MemberLeaving
	default:
		return ""
	}
}

// addOwnerReport adds the values that only the owner of a shard reports.
func (a *administrator) addOwnerReport(group *administration.GroupReport) {
	if data, err := a.stateMachine(group.Shard).Snapshot(); err == nil {
		group.StateBytes = len(data)
	}
	if group.Shard == protocol.ConfigurationShard {
		group.ConfigurationVersion = a.control.configuration.Version()
		return
	}
	shard := a.control.shards[group.Shard]
	counters, decided := shard.state.Counters(), shard.owner.Counters()
	group.Jobs = administration.JobCounts{
		Jobs:    counters.Jobs,
		Kept:    counters.Retained,
		Held:    counters.Pending,
		Running: counters.Running,
		Runners: counters.Runners,

		Withdrawn: counters.Withdrawn,
	}
	group.Counters = administration.Counters{
		Taken:     counters.Accepted,
		Completed: counters.Completed,
		Failed:    counters.Failed,
		Cancelled: counters.Cancelled,
		Started:   counters.Started,
		Lost:      counters.Lost,
		Rounds:    decided.Rounds,
		Stops:     decided.Stops,
		Refused:   decided.Refused,
		Stale:     decided.Stale,
		Preempted: decided.Preempted,
		Stalled:   decided.Stalled,

		WithdrawalsRefused: decided.WithdrawalsRefused,
	}
}

// stateMachine returns the state machine of a shard, or nil if there is no such shard.
func (a *administrator) stateMachine(shard protocol.ShardID) replica.StateMachine {
	if shard == protocol.ConfigurationShard {
		return a.control.configuration
	}
	if found := a.control.shards[shard]; found != nil {
		return found
	}
	return nil
}

// runners replies with the runners of a shard, if this process owns it.
func (a *administrator) runners(_ string, request *administration.RunnersRequest, reply func(*administration.RunnersResponse, error)) {
	onOwner(a.control, request.Shard, reply, func(s *jobShard, now time.Duration) {
		response := &administration.RunnersResponse{}
		for _, overview := range s.owner.Runners(now) {
			response.Runners = append(response.Runners, runnerOf(request.Shard, &overview))
		}
		reply(response, nil)
	})
}

// runnerOf converts an overview of a runner to the form of the responses.
func runnerOf(shard protocol.ShardID, overview *scheduler.RunnerOverview) administration.Runner {
	return administration.Runner{
		Shard:    shard,
		Instance: overview.Instance,
		Service:  overview.Service,
		Address:  overview.Address,
		Zone:     overview.Zone,
		Labels:   overview.Labels,
		State:    overview.State,
		Capacity: overview.Capacity,
		Free:     overview.Free,
		Runs:     overview.Runs,
		Stops:    overview.Stops,
		Distrust: overview.FailureScore,
		SilentMs: overview.SinceHeartbeat.Milliseconds(),
		HoldMs:   overview.LeaseRemaining.Milliseconds(),
	}
}

// jobs replies with a page of the jobs of a shard, if this process owns it. It looks up one job more than the page may have,
// to know whether there are more.
func (a *administrator) jobs(_ string, request *administration.JobsRequest, reply func(*administration.JobsResponse, error)) {
	limit := request.Most
	if limit <= 0 || limit > maxJobsPage {
		limit = maxJobsPage
	}
	onOwner(a.control, request.Shard, reply, func(s *jobShard, _ time.Duration) {
		ids := s.state.JobIDs(request.Queue, request.After, limit+1)
		response := &administration.JobsResponse{More: len(ids) > limit}
		for _, id := range ids[:min(limit, len(ids))] {
			response.Jobs = append(response.Jobs, jobOf(s.state.Job(id)))
		}
		reply(response, nil)
	})
}

// jobOf converts a job to the form of the responses.
func jobOf(job *jobs.Job) administration.Job {
	done, running, all := job.Progress()
	return administration.Job{
		ID:         job.ID,
		Queue:      job.Queue.Key,
		Service:    job.Queue.Service,
		State:      string(job.State),
		AcceptedMs: job.AcceptedMs,
		EndedMs:    job.EndedMs,
		Done:       done,
		Running:    running,
		Tasks:      all,
	}
}

// digest replies with the digest of this process's replica of a shard as of an index of the log. All processes must have the
// same digest for the same index.
func (a *administrator) digest(_ string, request *administration.DigestRequest, reply func(*administration.DigestResponse, error)) {
	engine := a.control.engine
	engine.Do(func() {
		engine.DigestAt(uint32(request.Shard), request.Index, func(digest uint64, err error) {
			reply(&administration.DigestResponse{Digest: digest}, err)
		})
	})
}

// resign transfers all leaderships of this process. It replies with the number of leaderships that it could not transfer.
func (a *administrator) resign(_ string, _ *administration.ResignRequest, reply func(*administration.ResignResponse, error)) {
	engine := a.control.engine
	engine.Do(func() {
		engine.Resign(func() {
			response := &administration.ResignResponse{}
			for shard := protocol.ConfigurationShard; shard <= protocol.JobShards; shard++ {
				if engine.Status(uint32(shard)).IsLeader {
					response.Left++
				}
			}
			reply(response, nil)
		})
	})
}
