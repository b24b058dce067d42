package wal

import (
	"encoding/binary"
	"hash/crc32"

	"ospreypond/internal/cluster/consensus"
)

// frameKind tells what a frame in a batch holds.
type frameKind byte

const (
	frameHardState frameKind = 1 // term, vote, commit
	frameEntry     frameKind = 2 // replaces what stands at the same and higher indexes
	frameInstall   frameKind = 3 // a snapshot that replaces the whole log of the group
	frameCompact   frameKind = 4 // a snapshot that replaces the log up to its index
)

// A batch is one write: magic, sequence, length of what follows the header, CRC-32C of all but the magic and itself.
const (
	batchMagic      uint32 = 0x4f504231
	batchHeaderSize        = 4 + 8 + 4 + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// note is what the log remembers of a frame once it is written.
type note struct {
	kind  frameKind
	group uint32
	index uint64 // of an entry or a snapshot
	term  uint64
	hard  consensus.HardState
}

// Batch gathers what is to reach the disk with one sync: all of it counts, or nothing. The zero value is empty.
type Batch struct {
	buffer []byte
	notes  []note
}

// Empty tells whether there is nothing to write.
func (b *Batch) Empty() bool { return len(b.notes) == 0 }

// Size returns the batch's length in bytes.
func (b *Batch) Size() int { return len(b.buffer) }

// Reset empties the batch and keeps its memory, unless there is uncommonly much of it.
func (b *Batch) Reset() {
	if cap(b.buffer) > maxKeptBuffer {
		b.buffer = nil
	}
	b.buffer = b.buffer[:0]
	b.notes = b.notes[:0]
}

// maxKeptBuffer bounds, in bytes, what an empty batch keeps.
const maxKeptBuffer = 256 << 10

// reserve makes room for the header.
func (b *Batch) reserve() {
	if len(b.buffer) == 0 {
		b.buffer = append(b.buffer, make([]byte, batchHeaderSize)...)
	}
}

func (b *Batch) begin(kind frameKind, group uint32) {
	b.reserve()
	b.buffer = append(b.buffer, byte(kind))
	b.number(uint64(group))
}

func (b *Batch) number(n uint64) { b.buffer = binary.AppendUvarint(b.buffer, n) }

// HardState adds a group's new hard state.
func (b *Batch) HardState(group uint32, state consensus.HardState) {
	b.begin(frameHardState, group)
	b.number(state.Term)
	b.number(uint64(state.Vote))
	b.number(state.Commit)
	b.notes = append(b.notes, note{kind: frameHardState, group: group, hard: state})
}

// Entries adds entries, which replace what stands at the same and higher indexes.
func (b *Batch) Entries(group uint32, entries []consensus.Entry) {
	for i := range entries {
		entry := &entries[i]
		b.begin(frameEntry, group)
		b.number(entry.Index)
		b.number(entry.Term)
		b.buffer = append(b.buffer, byte(entry.Kind))
		b.number(uint64(len(entry.Data)))
		b.buffer = append(b.buffer, entry.Data...)
		b.notes = append(b.notes, note{kind: frameEntry, group: group, index: entry.Index, term: entry.Term})
	}
}

// Install says that the snapshot at index replaces the group's whole log. Its file must be on disk already.
func (b *Batch) Install(group uint32, index, term uint64) {
	b.snapshot(frameInstall, group, index, term)
}

// Compact says that the snapshot at index replaces the group's log up to it. Its file must be on disk already.
func (b *Batch) Compact(group uint32, index, term uint64) {
	b.snapshot(frameCompact, group, index, term)
}

func (b *Batch) snapshot(kind frameKind, group uint32, index, term uint64) {
	b.begin(kind, group)
	b.number(index)
	b.number(term)
	b.notes = append(b.notes, note{kind: kind, group: group, index: index, term: term})
}

// seal fills in the header and returns the bytes to write.
func (b *Batch) seal(sequence uint64) []byte {
	b.reserve()
	binary.LittleEndian.PutUint32(b.buffer[0:], batchMagic)
	binary.LittleEndian.PutUint64(b.buffer[4:], sequence)
	binary.LittleEndian.PutUint32(b.buffer[12:], uint32(len(b.buffer)-batchHeaderSize))
	binary.LittleEndian.PutUint32(b.buffer[16:], batchSum(b.buffer))
	return b.buffer
}

func batchSum(batch []byte) uint32 {
	sum := crc32.Update(0, castagnoli, batch[4:16])
	return crc32.Update(sum, castagnoli, batch[batchHeaderSize:])
}

// parseBatch returns the sound batch that stands at the start of data: its sequence and all its bytes.
func parseBatch(data []byte) (sequence uint64, batch []byte, ok bool) {
	if len(data) < batchHeaderSize || binary.LittleEndian.Uint32(data) != batchMagic {
		return 0, nil, false
	}
	sequence = binary.LittleEndian.Uint64(data[4:])
	length := uint64(binary.LittleEndian.Uint32(data[12:]))
	if uint64(len(data)-batchHeaderSize) < length {
		return 0, nil, false
	}
	batch = data[:batchHeaderSize+int(length)]
	return sequence, batch, binary.LittleEndian.Uint32(data[16:]) == batchSum(batch)
}
