package consensus

import (
	"encoding/binary"
	"hash/maphash"
	"slices"
)

// key tells states apart by everything that can make a difference. The second and the third member are alike, so that
// states that differ only in which is which are one.
func (e *explored) key(seed maphash.Seed) uint64 {
	plain := &keyWriter{seed: seed}
	plain.state(e)
	if len(e.members) != 3 || e.losses > 0 {
		return plain.sum()
	}
	swapped := &keyWriter{seed: seed, swap: true}
	swapped.state(e)
	return min(plain.sum(), swapped.sum())
}

// keyWriter writes a state down, with the second and the third member in each other's place if they are swapped.
type keyWriter struct {
	seed maphash.Seed
	swap bool
	data []byte
}

// sum is a hash over what was written.
func (k *keyWriter) sum() uint64 {
	return maphash.Bytes(k.seed, k.data)
}

// of gives the hash that a writer needs, worked out once.
func (s *keys) of(k *keyWriter, write func(*keyWriter)) uint64 {
	if !s.known {
		plain, swapped := keyWriter{seed: k.seed}, keyWriter{seed: k.seed, swap: true}
		write(&plain)
		write(&swapped)
		*s = keys{known: true, plain: plain.sum(), swapped: swapped.sum()}
	}
	if k.swap {
		return s.swapped
	}
	return s.plain
}

// put writes numbers.
func (k *keyWriter) put(values ...uint64) {
	for _, value := range values {
		k.data = binary.AppendUvarint(k.data, value)
	}
}

// flag writes a truth value.
func (k *keyWriter) flag(value bool) {
	if value {
		k.put(1)
		return
	}
	k.put(0)
}

// id writes an identity.
func (k *keyWriter) id(id MemberID) {
	if k.swap && (id == 2 || id == 3) {
		id = 5 - id
	}
	k.put(uint64(id))
}

// ids writes identities whose order does not matter.
func (k *keyWriter) ids(ids []MemberID) {
	set := uint64(0)
	for _, id := range ids {
		if k.swap && (id == 2 || id == 3) {
			id = 5 - id
		}
		set |= 1 << id
	}
	k.put(set)
}

// state writes a whole state.
func (k *keyWriter) state(e *explored) {
	k.put(uint64(e.proposals), uint64(e.crashes), uint64(e.losses), uint64(e.transfers), uint64(e.removals), uint64(len(e.committed)))
	k.put(e.committed...)
	for _, leader := range e.leaders {
		k.id(leader)
	}
	for index := range e.members {
		if k.swap && index > 0 {
			index = 3 - index
		}
		member := &e.members[index]
		k.put(member.sums.of(k, func(single *keyWriter) { single.member(member) }))
	}
	sums := make([]uint64, len(e.network))
	for position := range e.network {
		message := &e.network[position]
		sums[position] = message.sums.of(k, func(single *keyWriter) { single.message(&message.Message) })
	}
	slices.Sort(sums)
	k.put(sums...)
}

// member writes a member's state.
func (k *keyWriter) member(m *exploredMember) {
	node := m.node
	k.id(node.config.ID)
	k.id(node.vote)
	k.id(node.leader)
	k.put(uint64(node.role), node.term, node.commit, node.verified, uint64(m.committed), uint64(len(m.writes)))
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

// peers writes what a leader knows of the others, whose order does not matter.
func (k *keyWriter) peers(peers []*progress) {
	sums := make([]uint64, len(peers))
	for position, peer := range peers {
		single := keyWriter{seed: k.seed, swap: k.swap}
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
func (k *keyWriter) entries(entries []Entry) {
	k.put(uint64(len(entries)))
	for _, entry := range entries {
		k.put(entry.Term, uint64(entry.Kind), maphash.Bytes(k.seed, entry.Data))
	}
}

// message writes a message.
func (k *keyWriter) message(message *Message) {
	k.id(message.From)
	k.id(message.To)
	k.put(uint64(message.Kind), message.Term, message.Index, message.LogTerm, message.Commit, message.Hint)
	k.flag(message.Reject)
	k.entries(message.Entries)
}
