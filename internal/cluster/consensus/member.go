package consensus

import (
	"bytes"
	"encoding/gob"

	"github.com/pkg/errors"
)

// MemberID identifies a member. It is drawn at random when a member starts with an empty disk. After the loss or replacement
// of its disk, a member gets a new MemberID.
type MemberID uint64

// None is the zero MemberID, which no member has.
const None MemberID = 0

// Member is one member of a group's membership. It is encoded by gob, so the field names are part of the wire format.
type Member struct {
	ID         MemberID
	Node       string // name of the machine on which the member runs
	Zone       string
	Address    string // where it receives messages of other members
	Learner    bool   // receives committed entries, but neither votes nor counts towards a quorum
	Transition Transition
}

// Transition is how a joint membership changes a member's vote (joint consensus, section 4.3). A membership is joint if any
// member has a Transition other than TransitionNone. It then has two configurations: the outgoing one contains the voters
// before the change, and the incoming one the voters after it. Every decision needs a majority of each. Only a leader creates
// joint memberships, as the first step to the membership that was passed to ProposeMembers.
type Transition uint8

// The transitions of a member.
const (
	TransitionNone    Transition = iota // a voter, or a learner, in both configurations
	TransitionAdded                     // votes in the incoming configuration only
	TransitionRemoved                   // votes in the outgoing configuration only; no member after the change
	TransitionDemoted                   // votes in the outgoing configuration only; a learner after the change
)

// EncodeMembers encodes a membership as the data of an entry of kind EntryMembership.
func EncodeMembers(members []Member) ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(members); err != nil {
		return nil, errors.Wrap(err, "encode a membership as gob")
	}
	return buffer.Bytes(), nil
}

// DecodeMembers decodes the data of an entry of kind EntryMembership.
func DecodeMembers(data []byte) ([]Member, error) {
	var members []Member
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&members); err != nil {
		return nil, errors.Wrap(err, "decode the data of a membership entry as gob")
	}
	return members, nil
}

// findMember returns the member with an ID. The second result is false if there is none.
func findMember(members []Member, id MemberID) (Member, bool) {
	for _, member := range members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}
