package segment

import (
	"encoding/binary"
	"errors"
	"io"
)

// Scanner reads a segment's frames one after the other. It belongs to one goroutine.
type Scanner struct {
	r        io.ReaderAt
	off      int64  // of the next frame
	size     int64  // offset of the end
	window   []byte // buffer with the bytes of r from windowAt on
	windowAt int64
}

// windowBytes is how many bytes a Scanner reads at once; more only if a frame is larger.
const windowBytes = 256 << 10

// NewScanner returns a Scanner for the frames of r from offset from up to, not including, offset size.
func NewScanner(r io.ReaderAt, from, size int64) *Scanner {
	return &Scanner{r: r, off: from, size: size}
}

// Offset returns the offset of the next frame. After an error of Next, that is the damaged frame.
func (s *Scanner) Offset() int64 { return s.off }

// Next returns the next frame, which is valid until the next call of a method, and its offset. At the end it returns io.EOF.
// If the frame is incomplete or damaged, Next does not advance and returns an error that wraps ErrCorrupt.
func (s *Scanner) Next() (Frame, int64, error) {
	if s.off >= s.size {
		return Frame{}, s.off, io.EOF
	}
	b, err := s.bytes(s.off, FrameSize)
	if err != nil {
		return Frame{}, s.off, err
	}
	if len(b) >= FrameSize {
		size := FrameSize + int64(binary.LittleEndian.Uint32(b[4:]))
		if s.off+size <= s.size {
			if b, err = s.bytes(s.off, int(size)); err != nil {
				return Frame{}, s.off, err
			}
		}
	}
	f, n, err := ParseFrame(b)
	if err != nil {
		return Frame{}, s.off, err
	}
	at := s.off
	s.off += int64(n)
	return f, at, nil
}

// Resync searches after a damaged frame, byte by byte, for the start of an undamaged frame that ok accepts. It reports
// whether there is one. If so, Next returns it; otherwise the Scanner is at the end.
func (s *Scanner) Resync(ok func(Frame) bool) (bool, error) {
	for s.off++; s.off+FrameSize < s.size; s.off++ {
		b, err := s.bytes(s.off, FrameSize)
		if err != nil {
			return false, err
		}
		size := FrameSize + int64(binary.LittleEndian.Uint32(b[4:]))
		// Computing a checksum at every offset would be slow. Most offsets are excluded before that: a frame has a payload,
		// ends within the segment, and has a Seq higher than its Durable.
		if size == FrameSize || s.off+size > s.size || binary.LittleEndian.Uint64(b[8:]) <= binary.LittleEndian.Uint64(b[16:]) {
			continue
		}
		if b, err = s.bytes(s.off, int(size)); err != nil {
			return false, err
		}
		if f, _, err := ParseFrame(b); err == nil && ok(f) {
			return true, nil
		}
	}
	s.off = s.size
	return false, nil
}

// bytes returns n bytes from offset off on, or fewer if the end comes first.
func (s *Scanner) bytes(off int64, n int) ([]byte, error) {
	if end := min(off+int64(n), s.size); off < s.windowAt || end > s.windowAt+int64(len(s.window)) {
		n := max(int64(n), windowBytes)
		n = min(n, s.size-off)
		if int64(cap(s.window)) < n {
			s.window = make([]byte, n)
		}
		s.window = s.window[:n]
		s.windowAt = off
		if got, err := s.r.ReadAt(s.window, off); err != nil && (!errors.Is(err, io.EOF) || int64(got) != n) {
			s.window = s.window[:0]
			return nil, err
		}
	}
	b := s.window[off-s.windowAt:]
	return b[:min(len(b), n)], nil
}

// SeekTo sets the offset of the next frame. Next must have returned this offset before.
func (s *Scanner) SeekTo(off int64) { s.off = off }

// RestZero reports whether all bytes from the Scanner's offset on are zero, as at the end of a segment that was prepared. It
// does not advance.
func (s *Scanner) RestZero() (bool, error) {
	for off := s.off; off < s.size; off += windowBytes {
		b, err := s.bytes(off, windowBytes)
		if err != nil {
			return false, err
		}
		for _, c := range b {
			if c != 0 {
				return false, nil
			}
		}
	}
	return true, nil
}
