package administration

import (
	"cmp"
	"slices"

	"ospreypond/internal/cluster/administration/identity"
)

// Roles of a control process in its groups.
const (
	RoleVoter   = "voter"
	RoleLearner = "learner"
	RoleNone    = "none"
)

// States of a control process, in the words that operators know.
const (
	stateUp           = "up"
	stateDraining     = "draining"
	stateUnhealthy    = "sick"   // its disk
	stateUnresponsive = "silent" // it did not answer
)

// MemberView is one control process as all reports together show it, as it is printed in JSON.
type MemberView struct {
	Node          string      `json:"node"`
	Zone          string      `json:"zone"`
	Address       string      `json:"address"`
	ID            identity.ID `json:"id"`
	Role          string      `json:"role"`
	Answers       bool        `json:"answers"`
	Draining      bool        `json:"draining"`
	DiskUnhealthy bool        `json:"diskSick"`
	Leads         int         `json:"leads"` // shards that it owns
	UptimeMs      int64       `json:"uptimeMs"`
	LogBytes      int64       `json:"logBytes"`
	MemoryBytes   uint64      `json:"memoryBytes"`
}

// State returns the state of the process, in one word for the operator.
func (m MemberView) State() string {
	switch {
	case !m.Answers:
		return stateUnresponsive
	case m.Draining:
		return stateDraining
	case m.DiskUnhealthy:
		return stateUnhealthy
	default:
		return stateUp
	}
}

// Unhealthy reports whether an operator should look at the process: it has a vote but does not answer, or its disk fails.
func (m MemberView) Unhealthy() bool { return m.Role == RoleVoter && !m.Answers || m.DiskUnhealthy }

// Members merges reports: it returns all processes that answered and all members that did not, sorted by node.
func Members(reports []Report) []MemberView {
	views := map[uint64]*MemberView{}
	for i := range reports {
		views[reports[i].Identity] = memberView(&reports[i])
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

// memberView returns the view of a process that answered; its role is not known yet.
func memberView(report *Report) *MemberView {
	view := &MemberView{
		Node:          report.Node,
		Zone:          report.Zone,
		Address:       report.Address,
		ID:            identity.ID(report.Identity),
		Role:          RoleNone,
		Answers:       true,
		Draining:      report.Draining,
		DiskUnhealthy: report.DiskSick,
		UptimeMs:      report.UptimeMs,
		LogBytes:      report.LogBytes,
		MemoryBytes:   report.MemoryBytes,
	}
	for _, group := range report.Groups {
		if group.Owner {
			view.Leads++
		}
	}
	return view
}

// addMembership adds a member of some group to the views. A voter of any group is shown as a voter.
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
