package jobs

import (
	"encoding/binary"
	"math"

	"github.com/pkg/errors"
)

// errCut is the error of a reader whose bytes end early or make no sense.
var errCut = errors.New("bytes end early or make no sense")

// writer builds the compact form of commands and snapshots: numbers as varints, texts after their length.
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

// repeated writes a text of a column in which neighbours are often the same; previous is the column's last one.
func (w *writer) repeated(value string, previous *string) {
	if value == *previous {
		w.byte(0)
		return
	}
	*previous = value
	w.count(len(value) + 1)
	w.data = append(w.data, value...)
}

// reader reads what a writer has built. Its error sticks; after it, all that is read is zero. Texts that it returns
// share one copy of the bytes.
type reader struct {
	data string
	at   int
	err  error
}

func newReader(data []byte) *reader { return &reader{data: string(data)} }

func (r *reader) fail() { r.err, r.at = errCut, len(r.data) }

func (r *reader) byte() byte {
	if r.at >= len(r.data) {
		r.fail()
		return 0
	}
	value := r.data[r.at]
	r.at++
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

// integer reads a signed number that must fit an int.
func (r *reader) integer() int { return int(r.signed()) }

// count reads the number of items to come, each of which takes a byte at least.
func (r *reader) count() int {
	value := r.unsigned()
	if value > uint64(len(r.data)-r.at) {
		r.fail()
		return 0
	}
	return int(value)
}

func (r *reader) float() float64 {
	const size = 8
	if len(r.data)-r.at < size {
		r.fail()
		return 0
	}
	var bits uint64
	for i := range size {
		bits |= uint64(r.data[r.at+i]) << (8 * i)
	}
	r.at += size
	return math.Float64frombits(bits)
}

func (r *reader) text() string { return r.take(r.count()) }

func (r *reader) take(length int) string {
	value := r.data[r.at : r.at+length]
	r.at += length
	return value
}

func (r *reader) repeated(previous *string) string {
	length := r.unsigned()
	if length == 0 {
		return *previous
	}
	if length-1 > uint64(len(r.data)-r.at) {
		r.fail()
		return ""
	}
	*previous = r.take(int(length - 1))
	return *previous
}

// done returns the error, or one if bytes are left over.
func (r *reader) done() error {
	if r.err == nil && r.at != len(r.data) {
		r.err = errors.Errorf("%d bytes too many", len(r.data)-r.at)
	}
	return r.err
}
