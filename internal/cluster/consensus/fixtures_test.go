package consensus

import (
	"bytes"
	"encoding/gob"
	"go/ast"
	"go/parser"
	"go/token"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/fixturetest"
)

// transitions, entryKinds and messageKinds list all constants of their types. Their numbers are on disk and on the wire.
var (
	transitions = []Transition{TransitionNone, TransitionAdded, TransitionRemoved, TransitionDemoted}
	entryKinds  = []EntryKind{EntryCommand, EntryEmpty, EntryMembership}

	messageKinds = []MessageKind{
		MessagePreVote, MessagePreVoteResponse, MessageVote, MessageVoteResponse, MessageAppend, MessageAppendResponse,
		MessageHeartbeat, MessageHeartbeatResponse, MessageSnapshot, MessageSnapshotResponse, MessageTimeoutNow,
	}
)

var _ = ginkgo.Describe("data written by the version that made the fixtures", func() {
	ginkgo.It("decodes as members with every Transition", func() {
		written := make([]Member, len(transitions))
		for i := range written {
			fixturetest.Fill(&written[i])
			written[i].ID += MemberID(i) << 60
			written[i].Learner = i%2 == 0
			written[i].Transition = transitions[i]
		}
		fixturetest.Check(ginkgo.GinkgoTB(), "members", fixturetest.Codec{
			Encode: func() (any, []byte, error) {
				data, err := EncodeMembers(written)
				return written, data, err
			},
			Decode: func(data []byte) (any, error) { return DecodeMembers(data) },
		})
	})

	ginkgo.It("decodes as messages of every kind, with entries of every kind", func() {
		written := make([]Message, len(messageKinds))
		for i := range written {
			fixturetest.Fill(&written[i])
			written[i].Kind = messageKinds[i]
			written[i].Entries = make([]Entry, len(entryKinds))
			for j := range entryKinds {
				fixturetest.Fill(&written[i].Entries[j])
				written[i].Entries[j].Kind = entryKinds[j]
			}
		}
		fixturetest.Check(ginkgo.GinkgoTB(), "messages", fixturetest.Codec{
			Encode: func() (any, []byte, error) {
				var buffer bytes.Buffer
				err := gob.NewEncoder(&buffer).Encode(written)
				return written, buffer.Bytes(), err
			},
			Decode: func(data []byte) (any, error) {
				var read []Message
				err := gob.NewDecoder(bytes.NewReader(data)).Decode(&read)
				return read, err
			},
		})
	})

	ginkgo.It("contains constants whose numbers have not changed", func() {
		Expect(transitions).To(HaveExactElements(Transition(0), Transition(1), Transition(2), Transition(3)))
		Expect(entryKinds).To(HaveExactElements(EntryKind(0), EntryKind(1), EntryKind(2)))
		for i := range messageKinds {
			Expect(messageKinds[i]).To(Equal(MessageKind(i)), "number %d", i)
		}
	})

	ginkgo.It("contains every constant of these types", func() {
		Expect(constants("member.go", "persistent.go", "message.go")).To(Equal(map[string]int{
			"Transition": len(transitions), "EntryKind": len(entryKinds), "MessageKind": len(messageKinds), "MemberID": 1,
		}))
	})
})

// constants counts the constants that files declare, by type.
func constants(paths ...string) map[string]int {
	ginkgo.GinkgoHelper()
	counts := map[string]int{}
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		Expect(err).NotTo(HaveOccurred())
		for _, declaration := range file.Decls {
			if group, ok := declaration.(*ast.GenDecl); ok && group.Tok == token.CONST {
				countConstants(group, counts)
			}
		}
	}
	return counts
}

// countConstants adds the constants of a declaration to counts. A constant without a type has the type of the previous
// constant.
func countConstants(group *ast.GenDecl, counts map[string]int) {
	typeName := ""
	for _, spec := range group.Specs {
		value := spec.(*ast.ValueSpec)
		if named, ok := value.Type.(*ast.Ident); ok {
			typeName = named.Name
		}
		counts[typeName] += len(value.Names)
	}
}
