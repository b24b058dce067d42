package wal

import (
	"encoding/binary"
	"hash/crc32"

	"ospreypond/internal/cluster/consensus"
)

// frameKind is the kind of a frame in a batch. The values are part of the format on disk.
type frameKind byte

const (
	frameHardState frameKind = 1 // the group's term, vote and commit index
	frameEntry     frameKind = 2 // an entry, which replaces those at the same and higher indexes
	frameInstall   frameKind = 3 // index and term of a snapshot that replaces the group's complete log
	frameCompact   frameKind = 4 // index and term of a snapshot that replaces the group's log up to that index
)

// A batch starts with a header: the magic, the sequence, the length of the frames in bytes, and the CRC-32C of the
// sequence, the length and the frames. The frames follow it. Log.Append writes a batch with one write.
const (
	batchMagic      uint32 = 0x4f504231
	batchHeaderSize        = 4 + 8 + 4 + 4 // in bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameInfo has the fields of a frame, except an entry's kind and data.
type frameInfo struct {
	kind  frameKind
	group uint32
	index uint64 // of the entry or the snapshot; 0 for a hard state
	term  uint64 // of the entry or the snapshot; 0 for a hard state
	hard  consensus.HardState
}

// Batch collects changes that Log.Append writes with one sync. After a crash the log has either all changes of a batch or
// none. The zero value is an empty batch.
type Batch struct {
	buffer []byte // space for the header, then the encoded frames; or empty
	frames []frameInfo
}

// Empty reports whether the batch has no changes.
func (b *Batch) Empty() bool { return len(b.frames) == 0 }

// Size returns the batch's length on disk in bytes, or 0 if the batch is empty.
func (b *Batch) Size() int { return len(b.buffer) }

// Reset empties the batch. It keeps the buffer for reuse unless that is longer than maxRetainedBuffer.
func (b *Batch) Reset() {
	if cap(b.buffer) > maxRetainedBuffer {
		b.buffer = nil
	}
	b.buffer = b.buffer[:0]
	b.frames = b.frames[:0]
}

// maxRetainedBuffer is the capacity in bytes up to which Reset keeps a batch's buffer.
const maxRetainedBuffer = 256 << 10

// reserveHeader appends space for the header to an empty batch; seal fills it in.
func (b *Batch) reserveHeader() {
	if len(b.buffer) == 0 {
		b.buffer = append(b.buffer, make([]byte, batchHeaderSize)...)
	}
}

// beginFrame appends the fields that all frames start with.
func (b *Batch) beginFrame(kind frameKind, group uint32) {
	b.reserveHeader()
	b.buffer = append(b.buffer, byte(kind))
	b.appendUvarint(uint64(group))
}

func (b *Batch) appendUvarint(n uint64) { b.buffer = binary.AppendUvarint(b.buffer, n) }

// HardState adds the new hard state of a group.
func (b *Batch) HardState(group uint32, state consensus.HardState) {
	b.beginFrame(frameHardState, group)
	b.appendUvarint(state.Term)
	b.appendUvarint(uint64(state.Vote))
	b.appendUvarint(state.Commit)
	b.frames = append(b.frames, frameInfo{kind: frameHardState, group: group, hard: state})
}

// Entries adds entries of a group. They replace the group's entries at the same and higher indexes.
func (b *Batch) Entries(group uint32, entries []consensus.Entry) {
	for i := range entries {
		entry := &entries[i]
		b.beginFrame(frameEntry, group)
		b.appendUvarint(entry.Index)
		b.appendUvarint(entry.Term)
		b.buffer = append(b.buffer, byte(entry.Kind))
		b.appendUvarint(uint64(len(entry.Data)))
		b.buffer = append(b.buffer, entry.Data...)
		b.frames = append(b.frames, frameInfo{kind: frameEntry, group: group, index: entry.Index, term: entry.Term})
	}
}

// Install replaces the group's complete log with the snapshot at index, which WriteSnapshot must have written before
// the batch is appended.
func (b *Batch) Install(group uint32, index, term uint64) {
	b.appendSnapshot(frameInstall, group, index, term)
}

// Compact replaces the group's log up to and including index with the snapshot at index, which WriteSnapshot must have
// written before the batch is appended.
func (b *Batch) Compact(group uint32, index, term uint64) {
	b.appendSnapshot(frameCompact, group, index, term)
}

func (b *Batch) appendSnapshot(kind frameKind, group uint32, index, term uint64) {
	b.beginFrame(kind, group)
	b.appendUvarint(index)
	b.appendUvarint(term)
	b.frames = append(b.frames, frameInfo{kind: kind, group: group, index: index, term: term})
}

// seal fills in the header and returns the bytes to write to disk. They share the batch's buffer.
func (b *Batch) seal(sequence uint64) []byte {
	b.reserveHeader()
	binary.LittleEndian.PutUint32(b.buffer[0:], batchMagic)
	binary.LittleEndian.PutUint64(b.buffer[4:], sequence)
	binary.LittleEndian.PutUint32(b.buffer[12:], uint32(len(b.buffer)-batchHeaderSize))
	binary.LittleEndian.PutUint32(b.buffer[16:], batchChecksum(b.buffer))
	return b.buffer
}

// batchChecksum returns the checksum of a batch's sequence, length and frames. It leaves out the magic and the checksum.
func batchChecksum(batch []byte) uint32 {
	sum := crc32.Update(0, castagnoli, batch[4:16])
	return crc32.Update(sum, castagnoli, batch[batchHeaderSize:])
}

// parseBatch returns the sequence of the batch at the start of data, and the batch's bytes with the header. It returns
// false if data does not start with a complete batch with a correct checksum.
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
