package consensus

import (
	"encoding/binary"
	"hash/maphash"
	"slices"
)

// fingerprint returns a hash over everything in a state that can make a difference. As long as the second and the third
// member are alike, states that differ only in which of them is which have the same fingerprint.
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

// fingerprintWriter collects what a fingerprint is the hash of, with the second and the third member exchanged if swap is
// set.
type fingerprintWriter struct {
	seed maphash.Seed
	swap bool
	data []byte
}

// sum returns the hash over what was written.
func (k *fingerprintWriter) sum() uint64 {
	return maphash.Bytes(k.seed, k.data)
}

// of returns the fingerprint for a writer, and computes it with write if that was not done before.
func (s *fingerprints) of(k *fingerprintWriter, write func(*fingerprintWriter)) uint64 {
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

// put writes numbers.
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

// id writes an ID.
func (k *fingerprintWriter) id(id MemberID) {
	if k.swap && (id == 2 || id == 3) {
		id = 5 - id
	}
	k.put(uint64(id))
}

// ids writes a set of IDs.
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

// state writes a complete state.
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
		k.put(member.fingerprints.of(k, func(single *fingerprintWriter) { single.member(member) }))
	}
	sums := make([]uint64, len(s.network))
	for position := range s.network {
		message := &s.network[position]
		sums[position] = message.fingerprints.of(k, func(single *fingerprintWriter) { single.message(&message.Message) })
	}
	slices.Sort(sums)
	k.put(sums...)
}

// member writes the state of a member and its disk.
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

// peers writes a leader's progress of the other members, as a set.
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

// entries writes entries.
func (k *fingerprintWriter) entries(entries []Entry) {
	k.put(uint64(len(entries)))
	for _, entry := range entries {
		k.put(entry.Term, uint64(entry.Kind), maphash.Bytes(k.seed, entry.Data))
	}
}

// message writes a message.
func (k *fingerprintWriter) message(message *Message) {
	k.id(message.From)
	k.id(message.To)
	k.put(uint64(message.Kind), message.Term, message.Index, message.LogTerm, message.Commit, message.Hint)
	k.flag(message.Reject)
	k.entries(message.Entries)
}
