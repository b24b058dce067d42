package transport

import (
	"bufio"
	"encoding/binary"
	"encoding/gob"
	"io"
	"reflect"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	readBuffer = 4 << 10
	maxTypes   = 1024 // described on one connection
)

// errShortFrame is returned for a frame that ends before its header or value does.
var errShortFrame = errors.New("a frame is shorter than its content")

// inbox is the incoming half of a connection. It reads frame by frame, and never beyond the end of a frame.
type inbox struct {
	reader    *bufio.Reader
	source    *countingReader
	decoder   *gob.Decoder
	maxFrame  int
	remaining int      // unread bytes of the present frame
	types     []string // names by number, counted from 1
}

// countingReader counts reads, by which an unresponsive peer is noticed.
type countingReader struct {
	source io.Reader
	count  atomic.Uint64 // reads that returned bytes
}

func (r *countingReader) Read(buffer []byte) (int, error) {
	count, err := r.source.Read(buffer)
	if count > 0 {
		r.count.Add(1)
	}
	return count, err
}

func newInbox(source io.Reader, maxFrame int) *inbox {
	counting := &countingReader{source: source}
	in := &inbox{reader: bufio.NewReaderSize(counting, readBuffer), source: counting, maxFrame: maxFrame}
	in.decoder = gob.NewDecoder((*frameReader)(in))
	return in
}

// frameReader reads the present frame.
type frameReader inbox

func (r *frameReader) Read(buffer []byte) (int, error) {
	if r.remaining == 0 {
		return 0, errShortFrame
	}
	count, err := r.reader.Read(buffer[:min(len(buffer), r.remaining)])
	r.remaining -= count
	return count, err
}

func (r *frameReader) ReadByte() (byte, error) {
	if r.remaining == 0 {
		return 0, errShortFrame
	}
	value, err := r.reader.ReadByte()
	if err == nil {
		r.remaining--
	}
	return value, err
}

// greeting reads the peer's greeting and returns its name.
func (in *inbox) greeting() (string, error) { return readGreeting(in.reader) }

// next reads up to the next frame for the caller. It handles descriptions of types, and skips cancelled frames. The
// caller must end the frame by value or skip.
func (in *inbox) next() (header, error) {
	for {
		h, err := in.nextHeader()
		if err != nil {
			return h, err
		}
		switch h.kind {
		case frameDefine:
			err = in.addType(h)
		case frameVoid:
			err = in.discard()
		default:
			return h, in.checkType(h)
		}
		if err != nil {
			return h, err
		}
	}
}

func (in *inbox) nextHeader() (header, error) {
	var start [lengthBytes]byte
	if _, err := io.ReadFull(in.reader, start[:]); err != nil {
		return header{}, err
	}
	length := binary.BigEndian.Uint32(start[:])
	if length == 0 || int64(length) > int64(in.maxFrame) {
		return header{}, errors.Errorf("a frame of %d bytes, %d allowed", length, in.maxFrame)
	}
	in.remaining = int(length)
	return readHeader((*frameReader)(in))
}

func (in *inbox) addType(h header) error {
	if h.number != uint64(len(in.types)+1) || h.number > maxTypes {
		return errors.Errorf("type %d is described after %d others", h.number, len(in.types))
	}
	in.types = append(in.types, h.name)
	return in.skip()
}

func (in *inbox) checkType(h header) error {
	if h.number > uint64(len(in.types)) {
		return errors.Errorf("type %d was never described", h.number)
	}
	return nil
}

// typeName returns the name of a type. next has checked the number.
func (in *inbox) typeName(number uint64) string {
	if number == 0 {
		return ""
	}
	return in.types[number-1]
}

// value decodes the frame's value into target, a pointer, and ends the frame. A frame without a value leaves target
// unchanged.
func (in *inbox) value(target any) error {
	if in.remaining > 0 {
		if err := in.decoder.Decode(target); err != nil {
			return errors.Wrapf(err, "reading a %T", target)
		}
	}
	return in.end()
}

// skip skips the frame's value.
func (in *inbox) skip() error {
	if in.remaining > 0 {
		if err := in.decoder.DecodeValue(reflect.Value{}); err != nil {
			return errors.Wrap(err, "skipping a value")
		}
	}
	return in.end()
}

func (in *inbox) end() error {
	if in.remaining != 0 {
		return errors.Errorf("%d bytes behind a frame's value", in.remaining)
	}
	return nil
}

func (in *inbox) discard() error {
	_, err := in.reader.Discard(in.remaining)
	in.remaining = 0
	return err
}
