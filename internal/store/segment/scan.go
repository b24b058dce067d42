package segment

import (
	"encoding/binary"
	"errors"
	"io"
)

// Scanner reads a segment's frames one after the other.
type Scanner struct {
	r        io.ReaderAt
	off      int64
	size     int64
	window   []byte // bytes from windowAt on
	windowAt int64
}

const windowBytes = 256 << 10

// NewScanner returns a Scanner of the bytes of r from offset from up to size.
func NewScanner(r io.ReaderAt, from, size int64) *Scanner {
	return &Scanner{r: r, off: from, size: size}
}

// Offset is where the next frame starts; after an error of Next, where the bad one does.
func (s *Scanner) Offset() int64 { return s.off }

// Next returns the next frame, which is good until the next call, and where it starts. At the end it returns io.EOF;
// a frame that is not whole gives an error that wraps ErrBad, and Next stays where it is.
func (s *Scanner) Next() (Frame, int64, error) {
	if s.off >= s.size {
		return Frame{}, s.off, io.EOF
	}
	b, err := s.bytes(s.off, FrameSize)
	if err != nil {
		return Frame{}, s.off, err
	}
	if len(b) >= FrameSize {
		whole := FrameSize + int64(binary.LittleEndian.Uint32(b[4:]))
		if s.off+whole <= s.size {
			if b, err = s.bytes(s.off, int(whole)); err != nil {
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

// Resync goes on behind a bad frame: it looks at each byte for the start of a whole frame that ok takes, and stands
// there. It reports whether there was one.
func (s *Scanner) Resync(ok func(Frame) bool) (bool, error) {
	for s.off++; s.off+FrameSize < s.size; s.off++ {
		b, err := s.bytes(s.off, FrameSize)
		if err != nil {
			return false, err
		}
		whole := FrameSize + int64(binary.LittleEndian.Uint32(b[4:]))
		// Most places are ruled out by what they would say, without a checksum.
		if whole == FrameSize || s.off+whole > s.size || binary.LittleEndian.Uint64(b[8:]) <= binary.LittleEndian.Uint64(b[16:]) {
			continue
		}
		if b, err = s.bytes(s.off, int(whole)); err != nil {
			return false, err
		}
		if f, _, err := ParseFrame(b); err == nil && ok(f) {
			return true, nil
		}
	}
	s.off = s.size
	return false, nil
}

// bytes returns up to n bytes from off on, fewer only at the end.
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

// SeekTo has the Scanner stand at an offset that Next returned.
func (s *Scanner) SeekTo(off int64) { s.off = off }

// RestZero tells whether all from where the Scanner stands is zero, as in a segment that was made ready for more. It
// stays where it is.
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
