package ingress

import (
	"strconv"
	"strings"
)

// framing follows the requests on a connection, byte by byte as they are read, for what net/http hides: it drops a
// Content-Length beside Transfer-Encoding, though the two may imply different ends of the body, and a request hidden
// in the body of another would be forwarded (request smuggling, RFC 9112, 6.3 and 11.2). For each head it keeps a
// verdict, which the handler takes as it gets the request.
//
// It also counts the complete requests, and knows whether bytes of a next one were read, which decides whether the
// connection may be closed.
//
// It frames as net/http does: chunked with Transfer-Encoding, else by Content-Length. If the two disagree, the
// request is refused and its connection closed, so nothing after it is read. It is guarded by the connection's lock.
type framing struct {
	state      framingState
	line       []byte // the current line, in lower case, up to maxLine bytes
	tooLong    bool   // the current line was longer than that
	lines      int    // lines of the head so far
	length     int64  // Content-Length of the head, or -1
	lengths    int    // Content-Length lines
	chunked    bool   // Transfer-Encoding names chunked
	remaining  int64  // bytes of a body or chunk still to be read
	chunkedOK  []bool // per head not yet taken by nextVerdict: whether its chunked body is safe to read
	unparsable bool   // the bytes could not be followed; no verdict is safe from here on
	complete   int    // requests read completely
	responded  int    // requests with a response
}

// framingState is what the next byte is part of.
type framingState int

const (
	inHead framingState = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

const maxLine = 64 // enough for the lines that framing parses; longer ones are only counted

// hasPartial reports whether bytes after the last request with a response have been read.
func (f *framing) hasPartial() bool {
	return f.complete > f.responded || f.state != inHead || f.lines > 0 || len(f.line) > 0 || f.tooLong || f.unparsable
}

// feed follows p, the bytes read next.
func (f *framing) feed(p []byte) {
	for len(p) > 0 && !f.unparsable {
		if f.state == inBody || f.state == inChunk {
			n := min(int64(len(p)), f.remaining)
			f.remaining -= n
			p = p[n:]
			if f.remaining == 0 && f.state == inBody {
				f.state = inHead
				f.complete++
			} else if f.remaining == 0 {
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
			f.tooLong = true
		}
	}
}

// endLine handles the end of the current line.
func (f *framing) endLine() {
	line, long := string(f.line), f.tooLong
	f.line, f.tooLong = f.line[:0], false
	switch f.state {
	case inHead:
		switch {
		case line == "" && !long && f.lines == 0: // net/http refuses an empty request line
		case line == "" && !long:
			f.chunkedOK = append(f.chunkedOK, f.chunked && f.lengths == 0)
			f.state, f.remaining = inHead, 0
			if f.chunked {
				f.state = inChunkSize
			} else if f.length > 0 {
				f.state, f.remaining = inBody, f.length
			} else {
				f.complete++
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
			f.unparsable = true
		case size == 0:
			f.state = inTrailer
		default:
			f.state, f.remaining = inChunk, size
		}
	case inChunkEnd:
		f.state = inChunkSize
		if line != "" || long {
			f.unparsable = true
		}
	case inTrailer:
		if line == "" && !long {
			f.state = inHead
			f.complete++
		}
	}
}

// header parses a line of a head, if it concerns the framing.
func (f *framing) header(line string, long bool) {
	name, value, ok := strings.Cut(line, ":")
	switch {
	case !ok:
	case name == "content-length":
		f.lengths++
		if n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 62); err == nil && !long {
			f.length = int64(n)
		} else {
			f.unparsable = true // net/http refuses it, or it is beyond anything that follows
		}
	case name == "transfer-encoding":
		f.chunked = true // net/http takes chunked alone, and refuses the rest
	}
}

// nextVerdict returns the verdict on the next request's head: whether its chunked body may be read.
func (f *framing) nextVerdict() bool {
	if len(f.chunkedOK) == 0 {
		return false
	}
	v := f.chunkedOK[0]
	f.chunkedOK = f.chunkedOK[1:]
	return v && !f.unparsable
}

// chunkSize parses a chunk's size line: hexadecimal, perhaps followed by extensions after ';'.
func chunkSize(line string) (int64, bool) {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 62)
	return int64(n), err == nil
}
