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
	mostTypes  = 1024 // described on one connection
)

// errShortFrame says that a frame ends before what it should hold.
var errShortFrame = errors.New("a frame is too short for what it holds")

// inbox is the incoming half of a connection. It reads frame by frame; while a frame is read it ends where the frame
// ends.
type inbox struct {
	reader   *bufio.Reader
	heard    *heardReader
	decoder  *gob.Decoder
	maxFrame int
	left     int      // bytes of the present frame not yet read
	types    []string // names by number, counted from 1
}

// heardReader counts what is read, so that a silent peer is noticed.
type heardReader struct {
	source io.Reader
	count  atomic.Uint64 // reads that brought something
}

func (r *heardReader) Read(buffer []byte) (int, error) {
	count, err := r.source.Read(buffer)
	if count > 0 {
		r.count.Add(1)
	}
	return count, err
}

func newInbox(source io.Reader, maxFrame int) *inbox {
	heard := &heardReader{source: source}
	in := &inbox{reader: bufio.NewReaderSize(heard, readBuffer), heard: heard, maxFrame: maxFrame}
	in.decoder = gob.NewDecoder((*frameReader)(in))
	return in
}

// frameReader reads the present frame.
type frameReader inbox

func (r *frameReader) Read(buffer []byte) (int, error) {
	if r.left == 0 {
		return 0, errShortFrame
	}
	count, err := r.reader.Read(buffer[:min(len(buffer), r.left)])
	r.left -= count
	return count, err
}

func (r *frameReader) ReadByte() (byte, error) {
	if r.left == 0 {
		return 0, errShortFrame
	}
	value, err := r.reader.ReadByte()
	if err == nil {
		r.left--
	}
	return value, err
}

// greeting reads the peer's greeting and returns its name.
func (in *inbox) greeting() (string, error) { return readGreeting(in.reader) }

// next reads up to the next frame that is for the caller: descriptions of types are taken note of here, and frames
// that were taken back are passed over. The caller must end the frame by value or skip.
func (in *inbox) next() (header, error) {
	for {
		h, err := in.open()
		if err != nil {
			return h, err
		}
		switch h.kind {
		case frameDefine:
			err = in.define(h)
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

func (in *inbox) open() (header, error) {
	var start [lengthBytes]byte
	if _, err := io.ReadFull(in.reader, start[:]); err != nil {
		return header{}, err
	}
	length := binary.BigEndian.Uint32(start[:])
	if length == 0 || int64(length) > int64(in.maxFrame) {
		return header{}, errors.Errorf("a frame of %d bytes, %d allowed", length, in.maxFrame)
	}
	in.left = int(length)
	return readHeader((*frameReader)(in))
}

func (in *inbox) define(h header) error {
	if h.number != uint64(len(in.types)+1) || h.number > mostTypes {
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

// typeName returns the name of a type; the frame's number was checked by next.
func (in *inbox) typeName(number uint64) string {
	if number == 0 {
		return ""
	}
	return in.types[number-1]
}

// value reads the frame's value into target, a pointer, and ends the frame. A frame without a value leaves target as
// it is.
func (in *inbox) value(target any) error {
	if in.left > 0 {
		if err := in.decoder.Decode(target); err != nil {
			return errors.Wrapf(err, "reading a %T", target)
		}
	}
	return in.end()
}

// skip passes over the frame's value.
func (in *inbox) skip() error {
	if in.left > 0 {
		if err := in.decoder.DecodeValue(reflect.Value{}); err != nil {
			return errors.Wrap(err, "passing over a value")
		}
	}
	return in.end()
}

func (in *inbox) end() error {
	if in.left != 0 {
		return errors.Errorf("%d bytes behind a frame's value", in.left)
	}
	return nil
}

func (in *inbox) discard() error {
	_, err := in.reader.Discard(in.left)
	in.left = 0
	return err
}
