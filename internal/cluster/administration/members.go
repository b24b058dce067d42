package administration

import (
	"cmp"
	"slices"

	"ospreypond/internal/cluster/administration/identity"
)

// Roles of a control process in the replica groups.
const (
	RoleVoter   = "voter"   // in at least one group
	RoleLearner = "learner" // in at least one group, and voter in none
	RoleNone    = "none"    // member of no group
)

// States of a control process, in the words of the documented output.
const (
	stateUp           = "up"
	stateDraining     = "draining" // it transfers its leaderships
	stateUnhealthy    = "sick"     // its disk is unhealthy
	stateUnresponsive = "silent"   // it did not answer
)

// MemberView is one control process, merged from all reports. It is printed as JSON. If the process did not answer, only the
// fields from Node to Role are known.
type MemberView struct {
	Node          string      `json:"node"`
	Zone          string      `json:"zone"`
	Address       string      `json:"address"`
	ID            identity.ID `json:"id"`
	Role          string      `json:"role"`
	Answers       bool        `json:"answers"`
	Draining      bool        `json:"draining"`
	DiskUnhealthy bool        `json:"diskSick"`
	Leads         int         `json:"leads"` // number of shards that it owns
	UptimeMs      int64       `json:"uptimeMs"`
	LogBytes      int64       `json:"logBytes"`    // Report.LogBytes
	MemoryBytes   uint64      `json:"memoryBytes"` // Report.MemoryBytes
}

// State returns the state of the process in one word. If several apply, that which the operator must know first is returned.
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

// Unhealthy reports whether the process needs attention: it is a voter but doesn't answer, or its disk is unhealthy.
func (m MemberView) Unhealthy() bool { return m.Role == RoleVoter && !m.Answers || m.DiskUnhealthy }

// Members merges reports. It returns all processes that answered, and all members of groups that did not, sorted by node.
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

// memberView returns the view of a process that answered. Its role is RoleNone until addMembership finds it in a group.
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

// addMembership adds one member of a group to the views, or sets its role there. A voter of any group is shown as a voter.
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
