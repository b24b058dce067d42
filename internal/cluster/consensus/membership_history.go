package consensus

// membership is the members of the group from an index of the log until the index of the next membership.
type membership struct {
	index   uint64
	members []Member
}

// membershipHistory is the memberships in the log, oldest first. It begins with the membership as of the log's base. The
// newest membership is effective as soon as it is in the log (section 4.1). If it is truncated, the membership before it is
// effective again.
type membershipHistory []membership

// current returns the newest membership, which is the effective one, or nil if there is none.
func (h membershipHistory) current() []Member {
	if len(h) == 0 {
		return nil
	}
	return h[len(h)-1].members
}

// newestIndex returns the index of the entry that contains the current membership, or 0 if there is none.
func (h membershipHistory) newestIndex() uint64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].index
}

// at returns the membership as of an index, or nil if the index is before the first membership.
func (h membershipHistory) at(index uint64) []Member {
	for position := len(h) - 1; position >= 0; position-- {
		if h[position].index <= index {
			return h[position].members
		}
	}
	return nil
}

// mayVote reports whether a member votes in the current membership, or in an earlier membership that may become effective
// again because all memberships after it are uncommitted.
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

// withEntries returns the history extended by the memberships among entries.
func (h membershipHistory) withEntries(entries []Entry) membershipHistory {
	for _, entry := range entries {
		if entry.Kind != EntryMembership {
			continue
		}
		members, err := DecodeMembers(entry.Data)
		if err != nil {
			continue // not expected: leaders append only memberships encoded by EncodeMembers
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

// compacted returns the history without the memberships that a later one replaced at or before an index.
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
