// Package segment encodes and decodes the store's segment files. It opens no files: callers write the encoded bytes, and
// pass a reader to a Scanner. docs/store.md has the format byte by byte. All numbers are little-endian, all checksums
// CRC-32C.
//
// A segment is a header of HeaderSize bytes (AppendHeader), followed by frames without gaps (FinishFrame). Each frame has
// one or more operations (AppendOp). A frame of a log segment is a commit of one batch; sequence numbers rise by one from
// frame to frame. A compaction pass writes output segments: they have one frame for each record or deletion that the pass
// copied, with the sequence number of the original commit.
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
	HeaderSize = 64 // of a segment's header
	FrameSize  = 32 // of a frame's header, which comes before its payload
)

// Kind says which frames a segment has.
type Kind uint32

// The kinds of segments. The numbers are part of the format on disk.
const (
	Log    Kind = 1 // commits in their order
	Output Kind = 2 // records and deletions that compaction copied
)

// magic is the first 8 bytes of every segment.
const magic = "OSPRSEG\n"

var (
	// Castagnoli is the table for all checksums of the store (CRC-32C, RFC 3720, appendix B.4).
	Castagnoli = crc32.MakeTable(crc32.Castagnoli)

	// ErrCorrupt is wrapped by all errors about bytes that differ from the bytes written.
	ErrCorrupt = errors.New("damaged")
	// ErrNewer is wrapped by errors about a format that only a newer release can read.
	ErrNewer = errors.New("format of a newer release")
	// errShort is returned for bytes that end before the header or frame does.
	errShort = fmt.Errorf("%w: ends early", ErrCorrupt)
)

// Header is the content of a segment's header.
type Header struct {
	Kind  Kind
	Store [16]byte // id of the store to which the file belongs
	ID    uint64   // the file's number in the store
	First uint64   // in a log segment, the first frame's sequence number; otherwise 0
}

// AppendHeader appends h in HeaderSize bytes. Each field comes after its offset and before its size in bytes:
//
//	00  magic (8)         08  Version (4)          12  kind (4)
//	16  store's id (16)   32  file's number (8)    40  first sequence number (8)
//	48  zeros (12)        60  checksum of the bytes before it (4)
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

// ParseHeader decodes a header. Its errors wrap ErrCorrupt or ErrNewer.
func ParseHeader(b []byte) (Header, error) {
	var h Header
	if len(b) < HeaderSize {
		return h, errShort
	}
	b = b[:HeaderSize]
	if string(b[:8]) != magic {
		return h, fmt.Errorf("%w: the first bytes %q are not those of a segment", ErrCorrupt, b[:8])
	}
	// The version is checked first, because a newer release may have moved the checksum.
	if v := binary.LittleEndian.Uint32(b[8:]); v > Version {
		return h, fmt.Errorf("%w: segment format %d, this release reads formats up to %d", ErrNewer, v, Version)
	}
	if binary.LittleEndian.Uint32(b[HeaderSize-4:]) != crc32.Checksum(b[:HeaderSize-4], Castagnoli) {
		return h, fmt.Errorf("%w: the header's checksum does not match", ErrCorrupt)
	}
	h.Kind = Kind(binary.LittleEndian.Uint32(b[12:]))
	copy(h.Store[:], b[16:])
	h.ID = binary.LittleEndian.Uint64(b[32:])
	h.First = binary.LittleEndian.Uint64(b[40:])
	if h.Kind != Log && h.Kind != Output {
		return h, fmt.Errorf("%w: the header has the unknown kind %d", ErrCorrupt, h.Kind)
	}
	return h, nil
}

// Frame is one batch, or one record or deletion that a compaction pass copied.
type Frame struct {
	Seq uint64 // sequence number of the commit
	// Durable is a sequence number: all commits up to it were on disk when the frame was written. It distinguishes damage
	// from an interrupted write. If a later, undamaged frame has a Durable that is not lower than a damaged frame's number,
	// that frame was complete once. It is 0 in output segments.
	Durable uint64
	Time    time.Time // of the commit, with the precision of a millisecond; the zero time for a copied record
	Payload []byte    // encoded operations, see AppendOp
}

// FinishFrame fills in the header of a frame, the first FrameSize bytes of b. The rest of b is the payload; f.Payload is not
// used. The header has these fields, each after its offset and before its size in bytes:
//
//	00  checksum of all bytes of the frame after it (4)    04  payload's length in bytes (4)
//	08  Seq (8)    16  Durable (8)    24  Time in milliseconds since 1970 (8)
func FinishFrame(b []byte, f Frame) {
	binary.LittleEndian.PutUint32(b[4:], uint32(len(b)-FrameSize))
	binary.LittleEndian.PutUint64(b[8:], f.Seq)
	binary.LittleEndian.PutUint64(b[16:], f.Durable)
	binary.LittleEndian.PutUint64(b[24:], uint64(f.Time.UnixMilli()))
	binary.LittleEndian.PutUint32(b, crc32.Checksum(b[4:], Castagnoli))
}

// ParseFrame decodes the frame at the start of b and returns its size with its header. The payload is a slice of b, no copy.
// Its errors wrap ErrCorrupt.
func ParseFrame(b []byte) (f Frame, size int, err error) {
	if len(b) < FrameSize {
		return f, 0, errShort
	}
	n := binary.LittleEndian.Uint32(b[4:])
	if n == 0 {
		return f, 0, fmt.Errorf("%w: frame without a payload", ErrCorrupt)
	}
	if uint64(n) > uint64(len(b)-FrameSize) {
		return f, 0, errShort
	}
	size = FrameSize + int(n)
	if binary.LittleEndian.Uint32(b) != crc32.Checksum(b[4:size], Castagnoli) {
		return f, 0, fmt.Errorf("%w: the frame's checksum does not match", ErrCorrupt)
	}
	f.Seq = binary.LittleEndian.Uint64(b[8:])
	f.Durable = binary.LittleEndian.Uint64(b[16:])
	f.Time = time.UnixMilli(int64(binary.LittleEndian.Uint64(b[24:])))
	f.Payload = b[FrameSize:size]
	return f, size, nil
}
