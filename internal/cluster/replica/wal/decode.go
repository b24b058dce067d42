package wal

import (
	"bytes"
	"encoding/binary"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/consensus"
)

// errFrame is what a batch gives that is sound as bytes but not as frames: another program wrote it.
var errFrame = errors.New("holds a frame that is not understood")

// reader reads a batch's numbers; once something is missing, bad stays set.
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

// decodeFrames hands each of the frames to visit, with the entry if it is one.
func decodeFrames(frames []byte, visit func(note, consensus.Entry)) error {
	r := reader{rest: frames}
	for len(r.rest) > 0 {
		n, entry := r.frame()
		if r.bad {
			return errFrame
		}
		visit(n, entry)
	}
	return nil
}

func (r *reader) frame() (note, consensus.Entry) {
	n := note{kind: frameKind(r.byte()), group: uint32(r.number())}
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
