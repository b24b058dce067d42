package jobs

import (
	"encoding/binary"
	"math"
	"strings"

	"github.com/pkg/errors"
)

// errMalformed is the error of a reader whose input is truncated or not what a writer writes.
var errMalformed = errors.New("malformed encoding")

// writer writes the compact form of commands and snapshots: numbers as varints, texts after their length.
type writer struct{ data []byte }

func (w *writer) byte(value byte)       { w.data = append(w.data, value) }
func (w *writer) unsigned(value uint64) { w.data = binary.AppendUvarint(w.data, value) }
func (w *writer) signed(value int64)    { w.data = binary.AppendVarint(w.data, value) }
func (w *writer) count(value int)       { w.unsigned(uint64(value)) }

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

// repeated writes a text that is often the same as the one written before it in this field, which previous points to.
func (w *writer) repeated(value string, previous *string) {
	if value == *previous {
		w.byte(0)
		return
	}
	*previous = value
	w.count(len(value) + 1)
	w.data = append(w.data, value...)
}

// reader reads what a writer has written. Its first error stays, and everything read after it is zero. The texts that it
// returns share one copy of the input: what is retained must be cloned, as ownedText does.
type reader struct {
	data   string
	offset int
	err    error
}

func newReader(data []byte) *reader { return &reader{data: string(data)} }

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

// count reads the number of items that follow. Each takes a byte at least, so that a larger number is malformed.
func (r *reader) count() int {
	value := r.unsigned()
	if value > uint64(len(r.data)-r.offset) {
		r.fail()
		return 0
	}
	return int(value)
}

// float reads a number of eight bytes.
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

func (r *reader) text() string { return r.take(r.count()) }

// ownedText returns a text that doesn't keep the input alive.
func (r *reader) ownedText() string { return strings.Clone(r.text()) }

func (r *reader) take(length int) string {
	value := r.data[r.offset : r.offset+length]
	r.offset += length
	return value
}

// repeated reads what writer.repeated has written.
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

// done returns the first error, or one if input is left over.
func (r *reader) done() error {
	if r.err == nil && r.offset != len(r.data) {
		r.err = errors.Errorf("%d bytes left over", len(r.data)-r.offset)
	}
	return r.err
}
