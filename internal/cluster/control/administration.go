package control

import (
	"runtime/metrics"
	"time"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/cluster/scheduler"
)

// Bounds of what is answered to operators.
const (
	jobsPage          = 500              // jobs in one answer
	snapshotPiece     = 256 << 10        // bytes
	snapshotSessions  = 8                // snapshots kept for being read at once
	snapshotsKeptFor  = 15 * time.Second // after the last piece that was asked for
	memoryOfTheSystem = "/memory/classes/total:bytes"
)

// administrator answers what operators ask by the command line. All of it runs on the engine's loop.
type administrator struct {
	control   *Control
	snapshots map[uint64]*keptSnapshot
	sessions  uint64
}

// keptSnapshot is a shard's state while it is read in pieces.
type keptSnapshot struct {
	shard       protocol.ShardID
	index, term uint64
	data        []byte
	readAt      time.Duration
}

func newAdministrator(c *Control) *administrator {
	return &administrator{control: c, snapshots: map[uint64]*keptSnapshot{}}
}

func (a *administrator) report(_ string, _ *administration.ReportRequest, reply func(*administration.Report, error)) {
	a.control.engine.Do(func() { reply(a.makeReport(), nil) })
}

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
		MemoryBytes: memoryHeld(),
	}
	for shard := protocol.ConfigurationShard; shard <= protocol.JobShards; shard++ {
		if overview, ok := engine.Overview(uint32(shard)); ok {
			report.Groups = append(report.Groups, a.groupReport(shard, overview))
		}
	}
	return report
}

func memoryHeld() uint64 {
	sample := []metrics.Sample{{Name: memoryOfTheSystem}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}

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

func memberReports(members []consensus.Member, lags []replica.Lag) []administration.MemberReport {
	reports := make([]administration.MemberReport, 0, len(members))
	for _, member := range members {
		report := administration.MemberReport{
			Member:  protocol.Member{ID: uint64(member.ID), Node: member.Node, Zone: member.Zone, Address: member.Address},
			Learner: member.Learner,
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

// addOwnerReport adds what only the owner tells.
func (a *administrator) addOwnerReport(group *administration.GroupReport) {
	if data, err := a.machine(group.Shard).Snapshot(); err == nil {
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
	}
}

// machine returns a shard's state machine, or nil.
func (a *administrator) machine(shard protocol.ShardID) replica.StateMachine {
	if shard == protocol.ConfigurationShard {
		return a.control.configuration
	}
	if found := a.control.shards[shard]; found != nil {
		return found
	}
	return nil
}

func (a *administrator) runners(_ string, request *administration.RunnersRequest, reply func(*administration.RunnersResponse, error)) {
	a.control.on(request.Shard, func(s *jobShard, now time.Duration) {
		response := &administration.RunnersResponse{}
		for _, overview := range s.owner.Runners(now) {
			response.Runners = append(response.Runners, runnerOf(request.Shard, &overview))
		}
		reply(response, nil)
	}, func(err error) { reply(nil, err) })
}

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

func (a *administrator) jobs(_ string, request *administration.JobsRequest, reply func(*administration.JobsResponse, error)) {
	most := request.Most
	if most <= 0 || most > jobsPage {
		most = jobsPage
	}
	a.control.on(request.Shard, func(s *jobShard, _ time.Duration) {
		ids := s.state.JobIDs(request.Queue, request.After, most+1)
		response := &administration.JobsResponse{More: len(ids) > most}
		for _, id := range ids[:min(most, len(ids))] {
			response.Jobs = append(response.Jobs, jobOf(s.state.Job(id)))
		}
		reply(response, nil)
	}, func(err error) { reply(nil, err) })
}

func jobOf(job *jobs.Job) administration.Job {
	done, running, all := job.Progress()
	return administration.Job{
		ID:         job.ID,
		Queue:      job.Queue.Key,
		Service:    job.Queue.Service,
		State:      job.State,
		AcceptedMs: job.AcceptedMs,
		EndedMs:    job.EndedMs,
		Done:       done,
		Running:    running,
		Tasks:      all,
	}
}

// snapshot answers with a piece of a shard's state.
func (a *administrator) snapshot(_ string, request *administration.SnapshotRequest, reply func(*administration.SnapshotResponse, error)) {
	engine := a.control.engine
	engine.Do(func() {
		if request.Session != 0 {
			reply(a.piece(request))
			return
		}
		engine.ConfirmLeadership(uint32(request.Shard), func(err error) {
			if err != nil {
				reply(nil, err)
				return
			}
			reply(a.begin(request.Shard))
		})
	})
}

// begin makes a snapshot and returns its first piece.
func (a *administrator) begin(shard protocol.ShardID) (*administration.SnapshotResponse, error) {
	if len(a.snapshots) >= snapshotSessions {
		return nil, failure.New(failure.Overloaded, "too many backups are being read")
	}
	overview, _ := a.control.engine.Overview(uint32(shard))
	data, err := a.machine(shard).Snapshot()
	if err != nil {
		return nil, failure.Newf(failure.Unavailable, "the state of shard %d cannot be written: %v", shard, err)
	}
	if len(a.snapshots) == 0 {
		a.watch()
	}
	a.sessions++
	session := a.sessions
	a.snapshots[session] = &keptSnapshot{shard: shard, index: overview.Applied, term: overview.Status.Term, data: data}
	return a.piece(&administration.SnapshotRequest{Shard: shard, Session: session})
}

func (a *administrator) piece(request *administration.SnapshotRequest) (*administration.SnapshotResponse, error) {
	kept := a.snapshots[request.Session]
	if kept == nil || kept.shard != request.Shard || request.Offset < 0 || request.Offset > len(kept.data) {
		return nil, failure.New(failure.Conflict, "this reading of the state is over; begin anew")
	}
	kept.readAt = a.control.engine.Now()
	end := min(request.Offset+snapshotPiece, len(kept.data))
	if end == len(kept.data) {
		delete(a.snapshots, request.Session)
	}
	return &administration.SnapshotResponse{
		Session: request.Session,
		Index:   kept.index,
		Term:    kept.term,
		Total:   len(kept.data),
		Data:    kept.data[request.Offset:end],
	}, nil
}

// watch drops snapshots that nobody reads on. One timer runs while any is kept.
func (a *administrator) watch() {
	a.control.clock.AfterFunc(snapshotsKeptFor, func() { a.control.engine.Do(a.dropSnapshots) })
}

func (a *administrator) dropSnapshots() {
	now := a.control.engine.Now()
	for session, kept := range a.snapshots {
		if now-kept.readAt >= snapshotsKeptFor {
			delete(a.snapshots, session)
		}
	}
	if len(a.snapshots) > 0 {
		a.watch()
	}
}

// digest tells what this process's state of a shard comes to at an index.
func (a *administrator) digest(_ string, request *administration.DigestRequest, reply func(*administration.DigestResponse, error)) {
	engine := a.control.engine
	engine.Do(func() {
		engine.DigestAt(uint32(request.Shard), request.Index, func(digest uint64, err error) {
			reply(&administration.DigestResponse{Digest: digest}, err)
		})
	})
}

// resign gives away what this process leads.
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
