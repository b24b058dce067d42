package wal

import (
	"encoding/binary"
	"hash/crc32"

	"ospreypond/internal/cluster/consensus"
)

// frameKind is the kind of a frame in a batch. Its values are on disk.
type frameKind byte

const (
	frameHardState frameKind = 1 // term, vote, commit
	frameEntry     frameKind = 2 // replaces the entries at the same and higher indexes
	frameInstall   frameKind = 3 // a snapshot that replaces the group's complete log
	frameCompact   frameKind = 4 // a snapshot that replaces the group's log up to its index
)

// A batch is one write: a header of magic, sequence, length of the frames and CRC-32C of all but the magic and itself; then
// the frames.
const (
	batchMagic      uint32 = 0x4f504231
	batchHeaderSize        = 4 + 8 + 4 + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameInfo is what the log keeps in memory of a frame.
type frameInfo struct {
	kind  frameKind
	group uint32
	index uint64 // of an entry or a snapshot
	term  uint64
	hard  consensus.HardState
}

// Batch collects what is to reach the disk with one sync: all of it counts, or nothing. The zero value is empty.
type Batch struct {
	buffer []byte
	frames []frameInfo
}

// Empty reports whether there is nothing to write.
func (b *Batch) Empty() bool { return len(b.frames) == 0 }

// Size returns the batch's length in bytes.
func (b *Batch) Size() int { return len(b.buffer) }

// Reset empties the batch. It keeps the memory for reuse unless that is more than maxRetainedBuffer.
func (b *Batch) Reset() {
	if cap(b.buffer) > maxRetainedBuffer {
		b.buffer = nil
	}
	b.buffer = b.buffer[:0]
	b.frames = b.frames[:0]
}

// maxRetainedBuffer bounds, in bytes, the memory of an empty batch.
const maxRetainedBuffer = 256 << 10

// reserveHeader leaves space for the header in an empty batch.
func (b *Batch) reserveHeader() {
	if len(b.buffer) == 0 {
		b.buffer = append(b.buffer, make([]byte, batchHeaderSize)...)
	}
}

func (b *Batch) beginFrame(kind frameKind, group uint32) {
	b.reserveHeader()
	b.buffer = append(b.buffer, byte(kind))
	b.appendNumber(uint64(group))
}

func (b *Batch) appendNumber(n uint64) { b.buffer = binary.AppendUvarint(b.buffer, n) }

// HardState adds a group's new hard state.
func (b *Batch) HardState(group uint32, state consensus.HardState) {
	b.beginFrame(frameHardState, group)
	b.appendNumber(state.Term)
	b.appendNumber(uint64(state.Vote))
	b.appendNumber(state.Commit)
	b.frames = append(b.frames, frameInfo{kind: frameHardState, group: group, hard: state})
}

// Entries adds entries, which replace those at the same and higher indexes.
func (b *Batch) Entries(group uint32, entries []consensus.Entry) {
	for i := range entries {
		entry := &entries[i]
		b.beginFrame(frameEntry, group)
		b.appendNumber(entry.Index)
		b.appendNumber(entry.Term)
		b.buffer = append(b.buffer, byte(entry.Kind))
		b.appendNumber(uint64(len(entry.Data)))
		b.buffer = append(b.buffer, entry.Data...)
		b.frames = append(b.frames, frameInfo{kind: frameEntry, group: group, index: entry.Index, term: entry.Term})
	}
}

// Install replaces the group's complete log by the snapshot at index. WriteSnapshot must have written that before.
func (b *Batch) Install(group uint32, index, term uint64) {
	b.appendSnapshot(frameInstall, group, index, term)
}

// Compact replaces the group's log up to index by the snapshot there. WriteSnapshot must have written that before.
func (b *Batch) Compact(group uint32, index, term uint64) {
	b.appendSnapshot(frameCompact, group, index, term)
}

func (b *Batch) appendSnapshot(kind frameKind, group uint32, index, term uint64) {
	b.beginFrame(kind, group)
	b.appendNumber(index)
	b.appendNumber(term)
	b.frames = append(b.frames, frameInfo{kind: kind, group: group, index: index, term: term})
}

// seal writes the header and returns the bytes to write to disk.
func (b *Batch) seal(sequence uint64) []byte {
	b.reserveHeader()
	binary.LittleEndian.PutUint32(b.buffer[0:], batchMagic)
	binary.LittleEndian.PutUint64(b.buffer[4:], sequence)
	binary.LittleEndian.PutUint32(b.buffer[12:], uint32(len(b.buffer)-batchHeaderSize))
	binary.LittleEndian.PutUint32(b.buffer[16:], batchChecksum(b.buffer))
	return b.buffer
}

func batchChecksum(batch []byte) uint32 {
	sum := crc32.Update(0, castagnoli, batch[4:16])
	return crc32.Update(sum, castagnoli, batch[batchHeaderSize:])
}

// parseBatch returns the batch at the start of data, if its checksum is right: its sequence, and its bytes with the
// header.
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
	return sequence, batch, binary.LittleEndian.Uint32(data[16:]) == batchChecksum(batch)
}
