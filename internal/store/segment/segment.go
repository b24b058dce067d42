// Package segment encodes and decodes the store's segment files. It writes nothing itself and reads only what a Scanner is
// given. docs/store.md has the format byte by byte. All numbers are little-endian, all checksums CRC-32C.
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

// Version is the format that this release writes, and the newest that it reads.
const Version = 1

// Sizes in bytes.
const (
	HeaderSize = 64
	FrameSize  = 32 // of a frame's header, before its payload
)

// Kind is what a segment consists of.
type Kind uint32

// The kinds of segments. Their numbers are the ones on disk.
const (
	Log    Kind = 1 // commits in their order
	Output Kind = 2 // records and deletions that compaction copied
)

const magic = "OSPRSEG\n"

var (
	// Castagnoli is the polynomial of all checksums here (CRC-32C, RFC 3720, appendix B.4).
	Castagnoli = crc32.MakeTable(crc32.Castagnoli)

	// ErrBad is wrapped by all errors about bytes that are not what was written.
	ErrBad = errors.New("damaged")
	// ErrNewer is wrapped by errors about a format of a newer release.
	ErrNewer = errors.New("format of a newer release")
	// errShort is returned for bytes that end too early.
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

// ParseHeader decodes a header. Its errors wrap ErrBad or ErrNewer.
func ParseHeader(b []byte) (Header, error) {
	var h Header
	if len(b) < HeaderSize {
		return h, errShort
	}
	b = b[:HeaderSize]
	if string(b[:8]) != magic {
		return h, fmt.Errorf("%w: no segment", ErrBad)
	}
	// The version is checked before the checksum, whose position a newer release may have changed.
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

// Frame is one batch, or one record or deletion that compaction copied.
type Frame struct {
	Seq uint64
	// Durable is the highest sequence number that was on disk when the frame was written. It distinguishes damage from an
	// interrupted write: a damaged frame whose number a later, undamaged frame calls durable was complete once.
	Durable uint64
	Time    time.Time // of the commit, in milliseconds; zero for a copied record
	Payload []byte    // operations, see Op
}

// FinishFrame fills in the header of a frame, the first FrameSize bytes of b. The rest of b is the payload; f.Payload is not
// used.
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

// ParseFrame decodes the frame at the start of b and returns its size with the header. The payload is part of b, not a copy.
// Its errors wrap ErrBad.
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
