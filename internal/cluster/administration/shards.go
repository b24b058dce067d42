package administration

import (
	"cmp"
	"maps"
	"slices"

	"ospreypond/internal/cluster/administration/identity"
	"ospreypond/internal/cluster/protocol"
)

// ShardView is one shard, merged from all reports. It is printed as JSON. StateBytes and the fields that may be omitted are
// known only if the owner answered.
type ShardView struct {
	Shard                protocol.ShardID `json:"shard"`
	Owner                string           `json:"owner"` // node of the owner; empty: no owner answered
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

// ShardMember is one member of a shard's group.
type ShardMember struct {
	Node    string      `json:"node"`
	Address string      `json:"address"`
	ID      identity.ID `json:"id"`
	Learner bool        `json:"learner"`
	Change  string      `json:"change,omitempty"` // MemberReport.Change
	Answers bool        `json:"answers"`
	Commit  uint64      `json:"commit"`
	Applied uint64      `json:"applied"`

	// Lag is the number of entries that the member is behind: entries of the owner that it has not acknowledged. If no
	// owner answered, committed entries of the newest report that the member doesn't know as committed.
	Lag uint64 `json:"lacking"`
}

// Shards merges reports. It returns the shards that they have, sorted by number.
func Shards(reports []Report) []ShardView {
	newest := newestGroups(reports)
	var views []ShardView
	for _, shard := range slices.Sorted(maps.Keys(newest)) {
		group := newest[shard]
		views = append(views, shardView(reports, &group))
	}
	return views
}

// shardView returns the view of one shard; group is the newest report of the shard (see newestGroups).
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

// addOwner sets the fields that only the shard's owner reports.
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

// shardMember returns the view of one member. If the member answered, its indexes are from its own report.
func shardMember(reports []Report, group *GroupReport, member *MemberReport) ShardMember {
	view := ShardMember{
		Node: member.Node, Address: member.Address, ID: identity.ID(member.ID), Learner: member.Learner, Change: member.Change,
		Lag: member.Entries,
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
				view.Lag = group.Commit - min(own.Commit, group.Commit)
			}
			if view.Node == "" {
				view.Node = reports[i].Node
			}
		}
	}
	return view
}
