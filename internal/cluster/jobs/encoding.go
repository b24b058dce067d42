package jobs

import (
	"encoding/binary"
	"math"
	"strings"

	"github.com/pkg/errors"
)

// errMalformed is the error of a reader if its input is truncated or has a value that no writer writes.
var errMalformed = errors.New("encoding is truncated or has a value out of range")

// writer encodes commands and snapshots in a compact form without field names:
//   - unsigned, count: varint as in encoding/binary
//   - signed: zigzag varint as in encoding/binary
//   - float: IEEE 754 double, little-endian, 8 bytes
//   - flag: one byte, 0 or 1
//   - text: its length in bytes as a varint, and its bytes
//
// Equal values must give equal bytes, since replicas compare digests of their snapshots.
type writer struct{ data []byte }

func (w *writer) byte(value byte)       { w.data = append(w.data, value) }
func (w *writer) unsigned(value uint64) { w.data = binary.AppendUvarint(w.data, value) }
func (w *writer) signed(value int64)    { w.data = binary.AppendVarint(w.data, value) }
func (w *writer) count(value int)       { w.unsigned(uint64(value)) }

// flag writes a boolean as one byte.
func (w *writer) flag(set bool) {
	if set {
		w.byte(1)
		return
	}
	w.byte(0)
}

func (w *writer) float(value float64) {
	w.data = binary.LittleEndian.AppendUint64(w.data, math.Float64bits(value))
}

func (w *writer) text(value string) {
	w.count(len(value))
	w.data = append(w.data, value...)
}

// repeated writes a text that often equals *previous, the text that was written here before: as 0 if it does, else as its
// length plus 1 and its bytes. It sets *previous to the text.
func (w *writer) repeated(value string, previous *string) {
	if value == *previous {
		w.byte(0)
		return
	}
	*previous = value
	w.count(len(value) + 1)
	w.data = append(w.data, value...)
}

// reader decodes the output of a writer. After an error it is at the end of its input, so that every later read returns a
// zero value; the caller needs to check the error once, with done. The texts that it returns share one copy of the input: a
// text that is kept must be cloned, as ownedText does.
type reader struct {
	data   string
	offset int   // of the next byte to read, in data
	err    error // nil until a read fails
}

func newReader(data []byte) *reader { return &reader{data: string(data)} }

// fail records that the input is malformed, and skips the remaining input.
func (r *reader) fail() { r.err, r.offset = errMalformed, len(r.data) }

func (r *reader) byte() byte {
	if r.offset >= len(r.data) {
		r.fail()
		return 0
	}
	value := r.data[r.offset]
	r.offset++
	return value
}

func (r *reader) unsigned() uint64 {
	var value uint64
	for shift := 0; shift < 64; shift += 7 {
		next := r.byte()
		value |= uint64(next&0x7f) << shift
		if next < 0x80 {
			return value
		}
	}
	r.fail()
	return 0
}

func (r *reader) signed() int64 {
	value := r.unsigned()
	return int64(value>>1) ^ -int64(value&1)
}

// integer reads a signed number as an int.
func (r *reader) integer() int { return int(r.signed()) }

// count reads the number of the items, or bytes, that follow. Each item takes at least one byte. So a number above the
// number of remaining bytes is malformed, and is rejected before memory is allocated for the items.
func (r *reader) count() int {
	value := r.unsigned()
	if value > uint64(len(r.data)-r.offset) {
		r.fail()
		return 0
	}
	return int(value)
}

// float reads a little-endian IEEE 754 double.
func (r *reader) float() float64 {
	const size = 8
	if len(r.data)-r.offset < size {
		r.fail()
		return 0
	}
	var bits uint64
	for i := range size {
		bits |= uint64(r.data[r.offset+i]) << (8 * i)
	}
	r.offset += size
	return math.Float64frombits(bits)
}

// text returns a text that shares the memory of the input.
func (r *reader) text() string { return r.take(r.count()) }

// ownedText returns a copy of a text, so that the result doesn't keep the input in memory.
func (r *reader) ownedText() string { return strings.Clone(r.text()) }

// take returns the next bytes of the input. The caller has checked that there are so many.
func (r *reader) take(length int) string {
	value := r.data[r.offset : r.offset+length]
	r.offset += length
	return value
}

// repeated reads a text that writer.repeated has written, and sets *previous to the text.
func (r *reader) repeated(previous *string) string {
	length := r.unsigned()
	if length == 0 {
		return *previous
	}
	if length-1 > uint64(len(r.data)-r.offset) {
		r.fail()
		return ""
	}
	*previous = r.take(int(length - 1))
	return *previous
}

// done returns the error of the reads before it, or an error if the input has bytes that were not read.
func (r *reader) done() error {
	if r.err == nil && r.offset != len(r.data) {
		r.err = errors.Errorf("%d bytes follow the end of the encoding", len(r.data)-r.offset)
	}
	return r.err
}
