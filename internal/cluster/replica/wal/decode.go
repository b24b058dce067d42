package wal

import (
	"bytes"
	"encoding/binary"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/consensus"
)

// errUnknownFrame is returned for a batch with a right checksum and wrong frames: another program wrote it.
var errUnknownFrame = errors.New("it has a frame of an unknown kind or length")

// reader reads the frames of a batch. Once something is missing, bad stays set.
type reader struct {
	rest []byte
	bad  bool
}

func (r *reader) byte() byte {
	if len(r.rest) == 0 {
		r.bad = true
		return 0
	}
	value := r.rest[0]
	r.rest = r.rest[1:]
	return value
}

func (r *reader) number() uint64 {
	value, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.bad = true
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

func (r *reader) bytes() []byte {
	length := r.number()
	if r.bad || length > uint64(len(r.rest)) {
		r.bad = true
		return nil
	}
	value := r.rest[:length]
	r.rest = r.rest[length:]
	if length == 0 {
		return nil
	}
	return bytes.Clone(value)
}

// decodeFrames calls visit with each of the frames, and with the entry if it has one.
func decodeFrames(frames []byte, visit func(frameInfo, consensus.Entry)) error {
	r := reader{rest: frames}
	for len(r.rest) > 0 {
		n, entry := r.frame()
		if r.bad {
			return errUnknownFrame
		}
		visit(n, entry)
	}
	return nil
}

func (r *reader) frame() (frameInfo, consensus.Entry) {
	n := frameInfo{kind: frameKind(r.byte()), group: uint32(r.number())}
	var entry consensus.Entry
	switch n.kind {
	case frameHardState:
		n.hard.Term = r.number()
		n.hard.Vote = consensus.MemberID(r.number())
		n.hard.Commit = r.number()
	case frameEntry:
		entry.Index = r.number()
		entry.Term = r.number()
		entry.Kind = consensus.EntryKind(r.byte())
		entry.Data = r.bytes()
		n.index, n.term = entry.Index, entry.Term
	case frameInstall, frameCompact:
		n.index, n.term = r.number(), r.number()
	default:
		r.bad = true
	}
	return n, entry
}
