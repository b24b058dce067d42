package wal

import (
	"encoding/binary"
	"encoding/hex"
	"hash/crc32"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/store/vfs/vfstest"
)

// preJointPreamble is the magic, length and head of a snapshot's file. A version without the field Member.Transition wrote
// it: group 3, index 9, term 4, two members.
const preJointPreamble = "4f50534e41500001f9000000437f0301010c736e617073686f744865616401ff80000104010547726f757001060001" +
	"05496e64657801060001045465726d01060001074d656d6265727301ff8400000021ff83020101125b5d636f6e73656e7375732e4d656d62" +
	"657201ff840001ff82000045ff81030101064d656d62657201ff820001050102494401060001044e6f6465010c0001045a6f6e65010c0001" +
	"0741646472657373010c0001074c6561726e657201020000004cff80010301090104010201010106636f72652d31010161010d31302e302e" +
	"302e313a373030300001f880000000000000000106636f72652d32020d31302e302e302e323a3730303001010000"

// A process that is upgraded starts from a snapshot of the version before. Gob must read its members as members that are
// not in transition.
var _ = Describe("A snapshot", func() {
	It("is read unchanged if a version without joint memberships wrote it", func() {
		files := &vfstest.Mem{}
		Expect(files.MkdirAll(folder)).To(Succeed())
		preamble, err := hex.DecodeString(preJointPreamble)
		Expect(err).NotTo(HaveOccurred())
		data := []byte("state at 9")
		sum := crc32.Update(crc32.Checksum(preamble, castagnoli), castagnoli, data)
		parts := [][]byte{preamble, data, binary.LittleEndian.AppendUint32(nil, sum)}
		Expect(writeAtomically(files, folder, snapshotName(3, 9, 4), parts)).To(Succeed())

		read, err := ReadSnapshot(files, folder, 3, 9, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(&consensus.Snapshot{Index: 9, Term: 4, Data: data, Members: []consensus.Member{
			{ID: 1, Node: "core-1", Zone: "a", Address: "10.0.0.1:7000"},
			{ID: 1 << 63, Node: "core-2", Address: "10.0.0.2:7000", Learner: true},
		}}))
	})

	It("of a joint membership keeps which member votes in which configuration", func() {
		files := &vfstest.Mem{}
		Expect(files.MkdirAll(folder)).To(Succeed())
		members := []consensus.Member{
			{ID: 1, Address: "a"},
			{ID: 2, Address: "b", Transition: consensus.TransitionRemoved},
			{ID: 3, Address: "c", Transition: consensus.TransitionAdded},
		}
		written := &consensus.Snapshot{Index: 9, Term: 4, Members: members, Data: []byte("state at 9")}
		Expect(WriteSnapshot(files, folder, 3, written)).To(Succeed())
		Expect(ReadSnapshot(files, folder, 3, 9, 4)).To(Equal(written))
	})
})
