package consensus

// membership is the members of the group from an index of the log on.
type membership struct {
	index   uint64
	members []Member
}

// membershipHistory is the memberships in the log, oldest first, beginning with the one that was in force at the log's base.
// The newest is in force as soon as it is appended (section 4.1), and the one before it is in force again if it is
// truncated.
type membershipHistory []membership

// current returns the membership in force.
func (h membershipHistory) current() []Member {
	if len(h) == 0 {
		return nil
	}
	return h[len(h)-1].members
}

// newestIndex returns the index of the entry that put the present membership in force.
func (h membershipHistory) newestIndex() uint64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].index
}

// at returns the membership as of an index, nil if that is before the history.
func (h membershipHistory) at(index uint64) []Member {
	for position := len(h) - 1; position >= 0; position-- {
		if h[position].index <= index {
			return h[position].members
		}
	}
	return nil
}

// mayVote reports whether a member votes in the membership in force, or in one that is in force again if all entries after
// the commit index are truncated.
func (h membershipHistory) mayVote(commit uint64, id MemberID) bool {
	for position := len(h) - 1; position >= 0; position-- {
		if isVoter(h[position].members, id) {
			return true
		}
		if h[position].index <= commit {
			return false
		}
	}
	return false
}

// withEntries returns the history with the memberships among entries appended.
func (h membershipHistory) withEntries(entries []Entry) membershipHistory {
	for _, entry := range entries {
		if entry.Kind != EntryMembership {
			continue
		}
		members, err := DecodeMembers(entry.Data)
		if err != nil {
			continue // leaders propose only what EncodeMembers has encoded
		}
		h = append(h, membership{index: entry.Index, members: members})
	}
	return h
}

// truncated returns the history without the memberships from an index on.
func (h membershipHistory) truncated(from uint64) membershipHistory {
	for len(h) > 0 && h[len(h)-1].index >= from {
		h = h[:len(h)-1]
	}
	return h
}

// compacted returns the history without the memberships that were replaced at or before an index.
func (h membershipHistory) compacted(index uint64) membershipHistory {
	drop := 0
	for drop+1 < len(h) && h[drop+1].index <= index {
		drop++
	}
	if drop == 0 {
		return h
	}
	return append(membershipHistory(nil), h[drop:]...)
}
