package administration

import (
	"cmp"
	"maps"
	"slices"

	"ospreypond/internal/cluster/administration/identity"
	"ospreypond/internal/cluster/protocol"
)

// ShardView is one shard as all reports together show it, as it is printed in JSON.
type ShardView struct {
	Shard                protocol.ShardID `json:"shard"`
	Owner                string           `json:"owner"` // node; empty: no owner answered
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
	Change  string      `json:"change,omitempty"` // MemberJoining or MemberLeaving, during a change of the membership
	Answers bool        `json:"answers"`
	Commit  uint64      `json:"commit"`
	Applied uint64      `json:"applied"`
	Lacking uint64      `json:"lacking"` // entries of the owner that it has not acknowledged; without an owner: that it has not committed
}

// Shards merges reports: it returns the shards that they name, sorted by number.
func Shards(reports []Report) []ShardView {
	newest := newestGroups(reports)
	var views []ShardView
	for _, shard := range slices.Sorted(maps.Keys(newest)) {
		group := newest[shard]
		views = append(views, shardView(reports, &group))
	}
	return views
}

// shardView returns the view of one shard; group is the report of it that knows most.
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

// addOwner adds what only the shard's owner reports.
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

// shardMember returns the view of one member, with what its own report says if it answered.
func shardMember(reports []Report, group *GroupReport, member *MemberReport) ShardMember {
	view := ShardMember{
		Node: member.Node, Address: member.Address, ID: identity.ID(member.ID), Learner: member.Learner, Change: member.Change,
		Lacking: member.Entries,
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
