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
	readBuffer = 4 << 10 // bytes of the buffer between the connection and the decoder
	maxTypes   = 1024    // types that a peer may describe on one connection, which limits the memory for their names
)

// errShortFrame reports a frame that ends before its header or value does.
var errShortFrame = errors.New("the frame's length is less than that of its header and value")

// frameDecoder decodes the frames that arrive on a connection. All values belong to one gob stream, so each value has to be
// decoded or skipped in its turn. The decoder never reads beyond the end of the current frame: a length that doesn't match
// the content is an error, and is not taken for a part of the next frame.
type frameDecoder struct {
	reader    *bufio.Reader
	source    *countingReader
	decoder   *gob.Decoder
	maxFrame  int      // longest accepted frame, in bytes without the length field
	remaining int      // unread bytes of the current frame
	types     []string // names of the types that the peer has described; type number n is types[n-1]
}

// countingReader counts the reads that returned bytes. While the count does not change, the peer may be unresponsive.
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

func newFrameDecoder(source io.Reader, maxFrame int) *frameDecoder {
	counting := &countingReader{source: source}
	in := &frameDecoder{reader: bufio.NewReaderSize(counting, readBuffer), source: counting, maxFrame: maxFrame}
	in.decoder = gob.NewDecoder((*frameReader)(in))
	return in
}

// frameReader reads the bytes of the current frame and fails with errShortFrame at its end.
type frameReader frameDecoder

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

// greeting reads the peer's greeting and returns the peer's name.
func (in *frameDecoder) greeting() (string, error) { return readGreeting(in.reader) }

// next reads the header of the next frame that the caller has to handle. It handles frameDefine and frameCanceled itself.
// The caller must then call value or skip, which read the rest of the frame.
func (in *frameDecoder) next() (header, error) {
	for {
		h, err := in.nextHeader()
		if err != nil {
			return h, err
		}
		switch h.kind {
		case frameDefine:
			err = in.addType(h)
		case frameCanceled:
			err = in.discard()
		default:
			return h, in.checkType(h)
		}
		if err != nil {
			return h, err
		}
	}
}

// nextHeader reads the length and the header of the next frame.
func (in *frameDecoder) nextHeader() (header, error) {
	var start [lengthBytes]byte
	if _, err := io.ReadFull(in.reader, start[:]); err != nil {
		return header{}, err
	}
	length := binary.BigEndian.Uint32(start[:])
	if length == 0 || int64(length) > int64(in.maxFrame) {
		return header{}, errors.Errorf("received a frame of %d bytes, allowed are 1 to %d", length, in.maxFrame)
	}
	in.remaining = int(length)
	return readHeader((*frameReader)(in))
}

// addType records the name of a type that the peer describes. Types must come numbered from 1 without gaps, since other
// frames refer to them by number.
func (in *frameDecoder) addType(h header) error {
	if h.typeNumber != uint64(len(in.types)+1) || h.typeNumber > maxTypes {
		return errors.Errorf("peer describes type number %d after %d types, limit is %d", h.typeNumber, len(in.types), maxTypes)
	}
	in.types = append(in.types, h.name)
	return in.skip()
}

// checkType returns an error if a frame refers to a type that the peer has not described.
func (in *frameDecoder) checkType(h header) error {
	if h.typeNumber > uint64(len(in.types)) {
		return errors.Errorf("frame of kind %d refers to type number %d, peer has described %d types",
			h.kind, h.typeNumber, len(in.types))
	}
	return nil
}

// typeName returns the name of a type by its number, or "" for 0. next has checked that the number is known.
func (in *frameDecoder) typeName(number uint64) string {
	if number == 0 {
		return ""
	}
	return in.types[number-1]
}

// value decodes the value of the current frame into target, a pointer. A frame without a value leaves target unchanged.
func (in *frameDecoder) value(target any) error {
	if in.remaining > 0 {
		if err := in.decoder.Decode(target); err != nil {
			return errors.Wrapf(err, "decode the value of a frame into a %T", target)
		}
	}
	return in.end()
}

// skip reads the value of the current frame and discards it.
func (in *frameDecoder) skip() error {
	if in.remaining > 0 {
		if err := in.decoder.DecodeValue(reflect.Value{}); err != nil {
			return errors.Wrap(err, "skip the value of a frame")
		}
	}
	return in.end()
}

// end returns an error if the current frame has bytes after its value.
func (in *frameDecoder) end() error {
	if in.remaining != 0 {
		return errors.Errorf("frame has %d bytes after its value", in.remaining)
	}
	return nil
}

// discard drops the rest of a canceled frame. Its value need not pass through gob: an earlier frame of kind frameDefine
// has described its type, so gob can decode later values without this one.
func (in *frameDecoder) discard() error {
	_, err := in.reader.Discard(in.remaining)
	in.remaining = 0
	return err
}
