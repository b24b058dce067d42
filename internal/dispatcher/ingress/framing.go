package ingress

import (
	"strconv"
	"strings"
)

// framing parses the bytes of a connection as they are read. It parses only enough to find the end of each request. It
// serves two purposes.
//
// It detects request smuggling (RFC 9112, 6.3 and 11.2). net/http removes a Content-Length next to a Transfer-Encoding
// without notice. The two may imply different ends of the body, so that a runner could take a part of the body for
// another request. For each head framing records whether a chunked body may be read, and the handler asks for it by
// nextVerdict.
//
// It also counts complete requests and knows whether bytes of the next one were read. This decides whether the connection
// may be closed.
//
// It finds ends as net/http does: by the chunks with Transfer-Encoding, else by Content-Length. A request that has both is
// refused and its connection closed, so no byte after it is read. The caller holds the listener's lock.
type framing struct {
	state      framingState
	line       []byte // the first bytes of the current line, at most maxLine, in lower case
	tooLong    bool   // the current line is longer than maxLine
	lines      int    // number of lines of the current head so far
	length     int64  // the Content-Length of the current head in bytes; -1: none
	lengths    int    // number of Content-Length lines in the current head
	chunked    bool   // the current head has a Transfer-Encoding line
	remaining  int64  // bytes of the current body or chunk that are still to be read
	chunkedOK  []bool // for each head that nextVerdict has not returned yet: whether a chunked body is safe to read
	unparsable bool   // the bytes could not be parsed; no chunked body is safe to read from here on
	complete   int    // number of requests read completely
	responded  int    // number of requests with a response
}

// framingState is the part of a request that the next byte belongs to.
type framingState int

const (
	inHead framingState = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// maxLine is how many bytes of a line are kept. The lines that framing parses are shorter; of longer ones it only needs to
// know that they are there.
const maxLine = 64

// hasPartial reports whether bytes were read after the last request that has its response.
func (f *framing) hasPartial() bool {
	return f.complete > f.responded || f.state != inHead || f.lines > 0 || len(f.line) > 0 || f.tooLong || f.unparsable
}

// feed parses p, the next bytes of the connection.
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
		case line == "" && !long && f.lines == 0: // a blank line before a request; net/http refuses it
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

// header parses a line of a head if it is a Content-Length or Transfer-Encoding header.
func (f *framing) header(line string, long bool) {
	name, value, ok := strings.Cut(line, ":")
	switch {
	case !ok:
	case name == "content-length":
		f.lengths++
		if n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 62); err == nil && !long {
			f.length = int64(n)
		} else {
			f.unparsable = true // net/http refuses the value, or it is so large that no later request would be reached
		}
	case name == "transfer-encoding":
		f.chunked = true // net/http accepts only the value chunked
	}
}

// nextVerdict reports whether a chunked body of the next request may be read. It is called once for each request, in order.
func (f *framing) nextVerdict() bool {
	if len(f.chunkedOK) == 0 {
		return false
	}
	v := f.chunkedOK[0]
	f.chunkedOK = f.chunkedOK[1:]
	return v && !f.unparsable
}

// chunkSize parses the size line of a chunk: a hexadecimal number of bytes, which may be followed by ';' and extensions.
func chunkSize(line string) (int64, bool) {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 62)
	return int64(n), err == nil
}
