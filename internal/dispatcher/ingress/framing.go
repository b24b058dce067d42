package ingress

import (
	"strconv"
	"strings"
)

// framing follows the requests on a connection byte by byte as they are read, for what net/http hides: it
// drops a Content-Length that stands beside Transfer-Encoding unseen, yet the two may tell of different ends,
// and a request hidden in the body of another would then be passed on. For each head it keeps a verdict, in the
// order of the requests, which the handler takes as its request comes.
//
// It also tells whether a request was read whole, and whether bytes of a next one were, which decides whether the
// connection may be closed.
//
// It follows the framing as net/http does: chunked where Transfer-Encoding is there, else Content-Length. Where
// the two disagree on a request, that request is refused and its connection closed, so nothing after it is read.
// It is guarded by the connection's lock.
type framing struct {
	state    int
	line     []byte // the current line, in lower case, up to maxLine bytes
	long     bool   // the current line was longer than that
	lines    int    // lines of the head so far
	length   int64  // Content-Length of the head, or -1
	lengths  int    // Content-Length lines
	chunked  bool   // Transfer-Encoding names chunked
	left     int64  // bytes of a body or chunk still to come
	verdicts []bool // of heads read and not yet taken: whether a chunked body of it is safe to read
	lost     bool   // the bytes could not be followed; no verdict is safe from here on
	ended    int    // requests read whole
	answered int    // requests answered
}

const (
	inHead = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	maxLine = 64 // enough for the lines that framing reads; longer ones are only counted
)

// midway tells whether bytes after the last request that was answered have been read.
func (f *framing) midway() bool {
	return f.ended > f.answered || f.state != inHead || f.lines > 0 || len(f.line) > 0 || f.long || f.lost
}

// see follows p, the bytes read next.
func (f *framing) see(p []byte) {
	for len(p) > 0 && !f.lost {
		if f.state == inBody || f.state == inChunk {
			n := min(int64(len(p)), f.left)
			f.left -= n
			p = p[n:]
			if f.left == 0 && f.state == inBody {
				f.state = inHead
				f.ended++
			} else if f.left == 0 {
				f.state = inChunkEnd
			}
			continue
		}
		b := p[0]
		p = p[1:]
		switch {
		case b == '\n':
			f.endLine()
		case b == '\r':
		case len(f.line) < maxLine:
			if 'A' <= b && b <= 'Z' {
				b += 'a' - 'A'
			}
			f.line = append(f.line, b)
		default:
			f.long = true
		}
	}
}

// endLine acts on a line that has ended; f.mu is held.
func (f *framing) endLine() {
	line, long := string(f.line), f.long
	f.line, f.long = f.line[:0], false
	switch f.state {
	case inHead:
		switch {
		case line == "" && !long && f.lines == 0: // net/http refuses an empty request line
		case line == "" && !long:
			f.verdicts = append(f.verdicts, f.chunked && f.lengths == 0)
			f.state, f.left = inHead, 0
			if f.chunked {
				f.state = inChunkSize
			} else if f.length > 0 {
				f.state, f.left = inBody, f.length
			} else {
				f.ended++
			}
			f.lines, f.length, f.lengths, f.chunked = 0, -1, 0, false
		default:
			f.lines++
			f.header(line, long)
		}
	case inChunkSize:
		size, ok := chunkSize(line)
		switch {
		case long || !ok:
			f.lost = true
		case size == 0:
			f.state = inTrailer
		default:
			f.state, f.left = inChunk, size
		}
	case inChunkEnd:
		f.state = inChunkSize
		if line != "" || long {
			f.lost = true
		}
	case inTrailer:
		if line == "" && !long {
			f.state = inHead
			f.ended++
		}
	}
}

// header notes what a line of a head tells of the framing; f.mu is held.
func (f *framing) header(line string, long bool) {
	name, value, ok := strings.Cut(line, ":")
	switch {
	case !ok:
	case name == "content-length":
		f.lengths++
		if n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 62); err == nil && !long {
			f.length = int64(n)
		} else {
			f.lost = true // net/http refuses it, or it is beyond anything that follows
		}
	case name == "transfer-encoding":
		f.chunked = true // net/http takes chunked alone, and refuses the rest
	}
}

// take returns the verdict on the next request's head: whether a chunked body may be read for it.
func (f *framing) take() bool {
	if len(f.verdicts) == 0 {
		return false
	}
	v := f.verdicts[0]
	f.verdicts = f.verdicts[1:]
	return v && !f.lost
}

// chunkSize reads a chunk's size line: hexadecimal, perhaps followed by extensions after ';'.
func chunkSize(line string) (int64, bool) {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 62)
	return int64(n), err == nil
}
