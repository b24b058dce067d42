package consensus

import (
	"bytes"
	"encoding/gob"

	"github.com/pkg/errors"
)

// MemberID identifies a member. It is drawn at random when a member's disk is empty and lasts as long as that disk.
type MemberID uint64

// None is the MemberID of no member.
const None MemberID = 0

// Member is one member of a group's membership. It is encoded by gob: the field names are the wire format.
type Member struct {
	ID         MemberID
	Node       string // name of the machine
	Zone       string
	Address    string // for messages between members
	Learner    bool   // receives the log, but neither votes nor counts towards a quorum
	Transition Transition
}

// Transition describes how a joint membership changes a member's vote (joint consensus, section 4.3). A membership in which
// any member has a Transition other than TransitionNone is joint: it has an outgoing configuration, of the voters before
// the change, and an incoming one, of the voters after it, and every decision needs a majority of each. Only a leader makes
// joint memberships, on its way to the one that was passed to ProposeMembers.
type Transition uint8

// The transitions.
const (
	TransitionNone    Transition = iota // a voter, or a learner, in both configurations
	TransitionAdded                     // votes in the incoming configuration only
	TransitionRemoved                   // votes in the outgoing configuration only; afterwards no member
	TransitionDemoted                   // votes in the outgoing configuration only; afterwards a learner
)

// EncodeMembers encodes a membership as the data of an EntryMembership.
func EncodeMembers(members []Member) ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(members); err != nil {
		return nil, errors.Wrap(err, "encode members")
	}
	return buffer.Bytes(), nil
}

// DecodeMembers decodes the data of an EntryMembership.
func DecodeMembers(data []byte) ([]Member, error) {
	var members []Member
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&members); err != nil {
		return nil, errors.Wrap(err, "decode members")
	}
	return members, nil
}

// findMember returns the member with an ID, and false if there is none.
func findMember(members []Member, id MemberID) (Member, bool) {
	for _, member := range members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}
