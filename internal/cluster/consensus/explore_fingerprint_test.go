package consensus

import (
	"encoding/binary"
	"hash/maphash"
	"slices"
)

// fingerprint returns a hash of everything in a state that later steps can depend on. Two states that differ only by an
// exchange of the second and the third member have the same fingerprint, so the exploration visits only one of these states.
// This does not apply to groups with a successor or a lost disk, because the two members differ there.
func (s *groupState) fingerprint(seed maphash.Seed) uint64 {
	plain := &fingerprintWriter{seed: seed}
	plain.state(s)
	if len(s.members) != 3 || s.losses > 0 {
		return plain.sum()
	}
	swapped := &fingerprintWriter{seed: seed, swap: true}
	swapped.state(s)
	return min(plain.sum(), swapped.sum())
}

// fingerprintWriter collects the data that a fingerprint hashes. If swap is true, it writes the data with the second and the
// third member exchanged.
type fingerprintWriter struct {
	seed maphash.Seed
	swap bool
	data []byte
}

// sum returns the hash of the data that was written.
func (k *fingerprintWriter) sum() uint64 {
	return maphash.Bytes(k.seed, k.data)
}

// hashFor returns the plain or the swapped hash, whichever the writer k needs. The first call computes both, from the data
// that write writes.
func (s *fingerprints) hashFor(k *fingerprintWriter, write func(*fingerprintWriter)) uint64 {
	if !s.known {
		plain, swapped := fingerprintWriter{seed: k.seed}, fingerprintWriter{seed: k.seed, swap: true}
		write(&plain)
		write(&swapped)
		*s = fingerprints{known: true, plain: plain.sum(), swapped: swapped.sum()}
	}
	if k.swap {
		return s.swapped
	}
	return s.plain
}

// put writes numbers in a variable-length encoding.
func (k *fingerprintWriter) put(values ...uint64) {
	for _, value := range values {
		k.data = binary.AppendUvarint(k.data, value)
	}
}

// flag writes a boolean.
func (k *fingerprintWriter) flag(value bool) {
	if value {
		k.put(1)
		return
	}
	k.put(0)
}

// id writes the ID of a member.
func (k *fingerprintWriter) id(id MemberID) {
	if k.swap && (id == 2 || id == 3) {
		id = 5 - id
	}
	k.put(uint64(id))
}

// ids writes IDs as a set: their order makes no difference.
func (k *fingerprintWriter) ids(ids []MemberID) {
	set := uint64(0)
	for _, id := range ids {
		if k.swap && (id == 2 || id == 3) {
			id = 5 - id
		}
		set |= 1 << id
	}
	k.put(set)
}

// state writes a state of the group. The order of the messages in the network makes no difference.
func (k *fingerprintWriter) state(s *groupState) {
	k.put(uint64(s.proposals), uint64(s.crashes), uint64(s.losses), uint64(s.transfers), uint64(s.removals), uint64(len(s.committed)))
	k.put(s.committed...)
	for _, leader := range s.leaders {
		k.id(leader)
	}
	for index := range s.members {
		if k.swap && index > 0 {
			index = 3 - index
		}
		member := &s.members[index]
		k.put(member.fingerprints.hashFor(k, func(single *fingerprintWriter) { single.member(member) }))
	}
	sums := make([]uint64, len(s.network))
	for position := range s.network {
		message := &s.network[position]
		sums[position] = message.fingerprints.hashFor(k, func(single *fingerprintWriter) { single.message(&message.Message) })
	}
	slices.Sort(sums)
	k.put(sums...)
}

// member writes the state of a member, of its disk, and of the writes that wait for the disk.
func (k *fingerprintWriter) member(m *memberState) {
	node := m.node
	k.id(node.config.ID)
	k.id(node.vote)
	k.id(node.leader)
	k.put(uint64(node.role), node.term, node.commit, node.verified, uint64(m.applied), uint64(len(m.writes)))
	k.put(node.leadership.ownMatch, node.leadership.termStartIndex)
	k.id(node.leadership.transferee)
	k.flag(node.pending.hardStateChanged)
	k.entries(node.log.entries)
	k.ids(node.votes.granted)
	k.peers(node.leadership.peers)
	k.put(m.disk.hardState.Term)
	k.id(m.disk.hardState.Vote)
	k.entries(m.disk.entries)
	for _, item := range m.writes {
		k.entries(item.output.Entries)
		k.flag(item.output.HardState != nil)
		for position := range item.output.Deferred {
			k.message(&item.output.Deferred[position])
		}
	}
}

// peers writes the progress of the other members at a leader, as a set.
func (k *fingerprintWriter) peers(peers []*progress) {
	sums := make([]uint64, len(peers))
	for position, peer := range peers {
		single := fingerprintWriter{seed: k.seed, swap: k.swap}
		single.id(peer.id)
		single.put(uint64(peer.votesIn))
		single.flag(peer.probeSent)
		single.put(uint64(peer.state), peer.match, peer.next, peer.lastSent, uint64(len(peer.inflight)))
		sums[position] = single.sum()
	}
	slices.Sort(sums)
	k.put(sums...)
}

// entries writes entries of a log. Their indexes follow from the first one, so they are left out.
func (k *fingerprintWriter) entries(entries []Entry) {
	k.put(uint64(len(entries)))
	for _, entry := range entries {
		k.put(entry.Term, uint64(entry.Kind), maphash.Bytes(k.seed, entry.Data))
	}
}

// message writes the fields that can differ between messages of an exploration.
func (k *fingerprintWriter) message(message *Message) {
	k.id(message.From)
	k.id(message.To)
	k.put(uint64(message.Kind), message.Term, message.Index, message.LogTerm, message.Commit, message.Hint)
	k.flag(message.Reject)
	k.entries(message.Entries)
}
