// Package segment is the form of the store's segment files on disk, byte by byte; it reads and writes nothing
// itself. docs/store.md has the same as a table.
//
// A segment is a header of HeaderSize bytes followed by frames without gaps. A log segment's frames are
// commits: one frame a batch, sequence numbers counting up by one. An output segment, which compaction wrote, has
// one frame for each record that it kept, with the number that the record's batch had.
package segment

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"
)

// Version is the newest format that this release reads and writes.
const Version = 1

// Sizes in bytes.
const (
	HeaderSize = 64
	FrameSize  = 32 // what a frame has before its payload
)

// Kind tells what a segment holds.
type Kind uint32

// The kinds.
const (
	Log    Kind = 1
	Output Kind = 2
)

const magic = "OSPRSEG\n"

var (
	// Castagnoli is the polynomial of all checksums here (CRC-32C, RFC 3720, appendix B.4).
	Castagnoli = crc32.MakeTable(crc32.Castagnoli)

	// ErrBad is wrapped by every error about bytes that are not what was written.
	ErrBad = errors.New("damaged")
	// ErrNewer tells of a format from a newer release.
	ErrNewer = errors.New("format of a newer release")
	// errShort tells of bytes that end too early.
	errShort = fmt.Errorf("%w: ends early", ErrBad)
)

// Header is the start of a segment.
type Header struct {
	Kind  Kind
	Store [16]byte // the store that the file belongs to
	ID    uint64   // the file's number in the store
	First uint64   // Log: the first frame's sequence number
}

// AppendHeader appends h in HeaderSize bytes.
func AppendHeader(b []byte, h Header) []byte {
	at := len(b)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, Version)
	b = binary.LittleEndian.AppendUint32(b, uint32(h.Kind))
	b = append(b, h.Store[:]...)
	b = binary.LittleEndian.AppendUint64(b, h.ID)
	b = binary.LittleEndian.AppendUint64(b, h.First)
	for len(b)-at < HeaderSize-4 {
		b = append(b, 0)
	}
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[at:], Castagnoli))
}

// ParseHeader reads a header.
func ParseHeader(b []byte) (Header, error) {
	var h Header
	if len(b) < HeaderSize {
		return h, errShort
	}
	b = b[:HeaderSize]
	if string(b[:8]) != magic {
		return h, fmt.Errorf("%w: no segment", ErrBad)
	}
	// The version is looked at before the checksum, whose place a newer release may have moved.
	if v := binary.LittleEndian.Uint32(b[8:]); v > Version {
		return h, fmt.Errorf("%w: %d, this one reads up to %d", ErrNewer, v, Version)
	}
	if binary.LittleEndian.Uint32(b[HeaderSize-4:]) != crc32.Checksum(b[:HeaderSize-4], Castagnoli) {
		return h, fmt.Errorf("%w: header's checksum", ErrBad)
	}
	h.Kind = Kind(binary.LittleEndian.Uint32(b[12:]))
	copy(h.Store[:], b[16:])
	h.ID = binary.LittleEndian.Uint64(b[32:])
	h.First = binary.LittleEndian.Uint64(b[40:])
	if h.Kind != Log && h.Kind != Output {
		return h, fmt.Errorf("%w: kind %d", ErrBad, h.Kind)
	}
	return h, nil
}

// Frame is one batch, or one record that compaction kept.
type Frame struct {
	Seq uint64
	// Durable is the highest sequence number that was on disk when the frame was written. It tells a torn end
	// from damage: a bad frame whose number a later, good frame calls durable was whole once.
	Durable uint64
	Time    time.Time // of the commit, to the millisecond
	Payload []byte    // operations, see Op
}

// FinishFrame fills in the first FrameSize bytes of b, the rest of which is the payload.
//
//	0  checksum of all that follows   4  payload's length   8  sequence number
//	16 durable number                24  time, ms since 1970
func FinishFrame(b []byte, f Frame) {
	binary.LittleEndian.PutUint32(b[4:], uint32(len(b)-FrameSize))
	binary.LittleEndian.PutUint64(b[8:], f.Seq)
	binary.LittleEndian.PutUint64(b[16:], f.Durable)
	binary.LittleEndian.PutUint64(b[24:], uint64(f.Time.UnixMilli()))
	binary.LittleEndian.PutUint32(b, crc32.Checksum(b[4:], Castagnoli))
}

// ParseFrame reads the frame at the start of b and tells its whole size. The payload is part of b.
func ParseFrame(b []byte) (f Frame, size int, err error) {
	if len(b) < FrameSize {
		return f, 0, errShort
	}
	n := binary.LittleEndian.Uint32(b[4:])
	if n == 0 {
		return f, 0, fmt.Errorf("%w: empty frame", ErrBad)
	}
	if uint64(n) > uint64(len(b)-FrameSize) {
		return f, 0, errShort
	}
	size = FrameSize + int(n)
	if binary.LittleEndian.Uint32(b) != crc32.Checksum(b[4:size], Castagnoli) {
		return f, 0, fmt.Errorf("%w: frame's checksum", ErrBad)
	}
	f.Seq = binary.LittleEndian.Uint64(b[8:])
	f.Durable = binary.LittleEndian.Uint64(b[16:])
	f.Time = time.UnixMilli(int64(binary.LittleEndian.Uint64(b[24:])))
	f.Payload = b[FrameSize:size]
	return f, size, nil
}
