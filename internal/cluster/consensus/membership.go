package consensus

import (
	"bytes"
	"encoding/gob"

	"github.com/pkg/errors"
)

// EncodeMembers gives the data of a membership entry.
func EncodeMembers(members []Member) ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(members); err != nil {
		return nil, errors.Wrap(err, "encode members")
	}
	return buffer.Bytes(), nil
}

// DecodeMembers reads the data of a membership entry.
func DecodeMembers(data []byte) ([]Member, error) {
	var members []Member
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&members); err != nil {
		return nil, errors.Wrap(err, "decode members")
	}
	return members, nil
}

// membership is the members from an index of the log on.
type membership struct {
	index   uint64
	members []Member
}

// membershipHistory holds the memberships of the log in memory, oldest first: the newest is in force as soon as it is
// appended, and the one before it comes back if it is truncated.
type membershipHistory []membership

// current is the membership in force.
func (h membershipHistory) current() []Member {
	if len(h) == 0 {
		return nil
	}
	return h[len(h)-1].members
}

// newest is the index of the entry that put the present membership in force.
func (h membershipHistory) newest() uint64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].index
}

// at is the membership as of an index.
func (h membershipHistory) at(index uint64) []Member {
	for position := len(h) - 1; position >= 0; position-- {
		if h[position].index <= index {
			return h[position].members
		}
	}
	return nil
}

// mayVote tells whether a member votes in the membership in force, or in one that comes back if all that may still be
// uncommitted is truncated.
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

// withEntries adds the memberships that stand in entries.
func (h membershipHistory) withEntries(entries []Entry) membershipHistory {
	for _, entry := range entries {
		if entry.Kind != EntryMembership {
			continue
		}
		members, err := DecodeMembers(entry.Data)
		if err != nil {
			continue // no leader proposes one that can't be read
		}
		h = append(h, membership{index: entry.Index, members: members})
	}
	return h
}

// truncated drops the memberships from an index on.
func (h membershipHistory) truncated(from uint64) membershipHistory {
	for len(h) > 0 && h[len(h)-1].index >= from {
		h = h[:len(h)-1]
	}
	return h
}

// compacted drops the memberships that were replaced at or before an index.
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

// findMember looks a member up.
func findMember(members []Member, id MemberID) (Member, bool) {
	for _, member := range members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}
