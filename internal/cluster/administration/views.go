package administration

import (
	"cmp"
	"maps"
	"slices"

	"ospreypond/internal/cluster/administration/identity"
	"ospreypond/internal/cluster/protocol"
)

// Roles of a control process in its groups.
const (
	RoleVoter   = "voter"
	RoleLearner = "learner"
	RoleNone    = "none"
)

// MemberView is one control process as all reports together show it.
type MemberView struct {
	Node        string      `json:"node"`
	Zone        string      `json:"zone"`
	Address     string      `json:"address"`
	ID          identity.ID `json:"id"`
	Role        string      `json:"role"`
	Answers     bool        `json:"answers"`
	Draining    bool        `json:"draining"`
	DiskSick    bool        `json:"diskSick"`
	Leads       int         `json:"leads"` // shards that it owns
	UptimeMs    int64       `json:"uptimeMs"`
	LogBytes    int64       `json:"logBytes"`
	MemoryBytes uint64      `json:"memoryBytes"`
}

// State is how the process stands, in one word.
func (m MemberView) State() string {
	switch {
	case !m.Answers:
		return "silent"
	case m.Draining:
		return "draining"
	case m.DiskSick:
		return "sick"
	default:
		return "up"
	}
}

// Troubled tells whether an operator should look at the process.
func (m MemberView) Troubled() bool { return m.Role == RoleVoter && !m.Answers || m.DiskSick }

// Members puts the reports together: all processes that answer, and the members that do not.
func Members(reports []Report) []MemberView {
	views := map[uint64]*MemberView{}
	for i := range reports {
		views[reports[i].Identity] = viewOf(&reports[i])
	}
	for _, group := range newestGroups(reports) {
		for _, member := range group.Members {
			addMembership(views, member)
		}
	}
	list := make([]MemberView, 0, len(views))
	for _, view := range views {
		list = append(list, *view)
	}
	slices.SortFunc(list, func(a, b MemberView) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.ID, b.ID))
	})
	return list
}

func viewOf(report *Report) *MemberView {
	view := &MemberView{
		Node:        report.Node,
		Zone:        report.Zone,
		Address:     report.Address,
		ID:          identity.ID(report.Identity),
		Role:        RoleNone,
		Answers:     true,
		Draining:    report.Draining,
		DiskSick:    report.DiskSick,
		UptimeMs:    report.UptimeMs,
		LogBytes:    report.LogBytes,
		MemoryBytes: report.MemoryBytes,
	}
	for _, group := range report.Groups {
		if group.Owner {
			view.Leads++
		}
	}
	return view
}

// addMembership takes note of a member of some group. A voter of any is one.
func addMembership(views map[uint64]*MemberView, member MemberReport) {
	view := views[member.ID]
	if view == nil {
		view = &MemberView{Node: member.Node, Zone: member.Zone, Address: member.Address, ID: identity.ID(member.ID)}
		views[member.ID] = view
	}
	switch {
	case !member.Learner:
		view.Role = RoleVoter
	case view.Role != RoleVoter:
		view.Role = RoleLearner
	}
}

// newestGroups returns for each shard the report that knows most: its owner's of the highest term, else the one of the
// highest term and commit.
func newestGroups(reports []Report) map[protocol.ShardID]GroupReport {
	newest := map[protocol.ShardID]GroupReport{}
	for i := range reports {
		for _, group := range reports[i].Groups {
			known, found := newest[group.Shard]
			if !found || newer(&group, &known) {
				newest[group.Shard] = group
			}
		}
	}
	return newest
}

func newer(a, b *GroupReport) bool {
	switch {
	case a.Owner != b.Owner:
		return a.Owner
	case a.Term != b.Term:
		return a.Term > b.Term
	default:
		return a.Commit > b.Commit
	}
}

// ShardView is one shard as all reports together show it.
type ShardView struct {
	Shard                protocol.ShardID `json:"shard"`
	Owner                string           `json:"owner"` // node; empty: none answers
	OwnerAddress         string           `json:"ownerAddress"`
	Term                 uint64           `json:"term"`
	Commit               uint64           `json:"commit"`
	SnapshotIndex        uint64           `json:"snapshotIndex"`
	StateBytes           int              `json:"stateBytes"`
	LogBytes             int64            `json:"logBytes"`
	ConfigurationVersion uint64           `json:"configurationVersion,omitempty"`
	Jobs                 *JobCounts       `json:"jobs,omitempty"`
	Counters             *Counters        `json:"counters,omitempty"`
	Members              []ShardMember    `json:"members"`
}

// ShardMember is one member of a shard.
type ShardMember struct {
	Node    string      `json:"node"`
	Address string      `json:"address"`
	ID      identity.ID `json:"id"`
	Learner bool        `json:"learner"`
	Answers bool        `json:"answers"`
	Commit  uint64      `json:"commit"`
	Applied uint64      `json:"applied"`
	Lacking uint64      `json:"lacking"` // entries of the owner's that it has not acknowledged; without owner, not committed there
}

// Shards puts the reports together.
func Shards(reports []Report) []ShardView {
	newest := newestGroups(reports)
	var views []ShardView
	for _, shard := range slices.Sorted(maps.Keys(newest)) {
		group := newest[shard]
		views = append(views, shardView(reports, &group))
	}
	return views
}

func shardView(reports []Report, group *GroupReport) ShardView {
	view := ShardView{
		Shard:         group.Shard,
		Term:          group.Term,
		Commit:        group.Commit,
		SnapshotIndex: group.SnapshotIndex,
		StateBytes:    group.StateBytes,
		LogBytes:      group.LogBytes,
		Members:       []ShardMember{},
	}
	if group.Owner {
		view.addOwner(reports, group)
	}
	for _, member := range group.Members {
		view.Members = append(view.Members, shardMember(reports, group, &member))
	}
	slices.SortFunc(view.Members, func(a, b ShardMember) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.ID, b.ID))
	})
	return view
}

func (v *ShardView) addOwner(reports []Report, group *GroupReport) {
	for i := range reports {
		if reports[i].Identity == group.Leader {
			v.Owner, v.OwnerAddress = reports[i].Node, reports[i].Address
		}
	}
	v.ConfigurationVersion = group.ConfigurationVersion
	if group.Shard != protocol.ConfigurationShard {
		jobs, counters := group.Jobs, group.Counters
		v.Jobs, v.Counters = &jobs, &counters
	}
}

func shardMember(reports []Report, group *GroupReport, member *MemberReport) ShardMember {
	view := ShardMember{
		Node: member.Node, Address: member.Address, ID: identity.ID(member.ID), Learner: member.Learner, Lacking: member.Entries,
	}
	for i := range reports {
		if reports[i].Identity != member.ID {
			continue
		}
		for _, own := range reports[i].Groups {
			if own.Shard != group.Shard {
				continue
			}
			view.Answers = true
			view.Commit, view.Applied = own.Commit, own.Applied
			if !group.Owner {
				view.Lacking = group.Commit - min(own.Commit, group.Commit)
			}
			if view.Node == "" {
				view.Node = reports[i].Node
			}
		}
	}
	return view
}

// RunnerView is a runner in JSON.
type RunnerView struct {
	Instance string             `json:"instance"`
	Shard    protocol.ShardID   `json:"shard"`
	Service  string             `json:"service"`
	Address  string             `json:"address"`
	Zone     string             `json:"zone"`
	Labels   []string           `json:"labels"`
	State    string             `json:"state"`
	Capacity protocol.Resources `json:"capacity"`
	Free     protocol.Resources `json:"free"`
	Runs     int                `json:"runs"`
	Stops    int                `json:"stops"`
	Distrust float64            `json:"distrust"`
	SilentMs int64              `json:"silentMs"`
	HoldMs   int64              `json:"holdMs"`
}

// RunnerViews returns runners as they are printed in JSON.
func RunnerViews(runners []Runner) []RunnerView {
	views := make([]RunnerView, 0, len(runners))
	for _, r := range runners {
		views = append(views, RunnerView{
			Instance: r.Instance, Shard: r.Shard, Service: r.Service, Address: r.Address, Zone: r.Zone, Labels: r.Labels,
			State: r.State, Capacity: r.Capacity, Free: r.Free, Runs: r.Runs, Stops: r.Stops, Distrust: r.Distrust,
			SilentMs: r.SilentMs, HoldMs: r.HoldMs,
		})
	}
	return views
}
