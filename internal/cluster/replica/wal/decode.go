package wal

import (
	"bytes"
	"encoding/binary"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/consensus"
)

// errMalformedFrame is returned for a batch with a correct checksum and a frame that cannot be decoded. The disk has not
// damaged such a batch: a program with another format wrote it.
var errMalformedFrame = errors.New("the batch has a frame of an unknown kind, or one that ends too early")

// reader reads the frames of a batch. malformed is set, and stays set, once a frame has an unknown kind or the bytes end
// within a field; the fields read from then on are zero.
type reader struct {
	unread    []byte // not read yet
	malformed bool
}

func (r *reader) byte() byte {
	if len(r.unread) == 0 {
		r.malformed = true
		return 0
	}
	value := r.unread[0]
	r.unread = r.unread[1:]
	return value
}

func (r *reader) uvarint() uint64 {
	value, size := binary.Uvarint(r.unread)
	if size <= 0 {
		r.malformed = true
		return 0
	}
	r.unread = r.unread[size:]
	return value
}

// bytes reads a length and a copy of that many bytes; nil if the length is 0.
func (r *reader) bytes() []byte {
	length := r.uvarint()
	if r.malformed || length > uint64(len(r.unread)) {
		r.malformed = true
		return nil
	}
	value := r.unread[:length]
	r.unread = r.unread[length:]
	if length == 0 {
		return nil
	}
	return bytes.Clone(value)
}

// decodeFrames calls visit with each frame. The entry is the zero Entry unless the frame is a frameEntry. The visits
// before an error have taken place.
func decodeFrames(frames []byte, visit func(frameInfo, consensus.Entry)) error {
	r := reader{unread: frames}
	for len(r.unread) > 0 {
		frame, entry := r.frame()
		if r.malformed {
			return errMalformedFrame
		}
		visit(frame, entry)
	}
	return nil
}

// frame reads the next frame. Its result is meaningless if malformed is set.
func (r *reader) frame() (frameInfo, consensus.Entry) {
	info := frameInfo{kind: frameKind(r.byte()), group: uint32(r.uvarint())}
	var entry consensus.Entry
	switch info.kind {
	case frameHardState:
		info.hard.Term = r.uvarint()
		info.hard.Vote = consensus.MemberID(r.uvarint())
		info.hard.Commit = r.uvarint()
	case frameEntry:
		entry.Index = r.uvarint()
		entry.Term = r.uvarint()
		entry.Kind = consensus.EntryKind(r.byte())
		entry.Data = r.bytes()
		info.index, info.term = entry.Index, entry.Term
	case frameInstall, frameCompact:
		info.index, info.term = r.uvarint(), r.uvarint()
	default:
		r.malformed = true
	}
	return info, entry
}
