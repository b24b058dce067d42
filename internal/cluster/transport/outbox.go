package transport

import (
	"encoding/binary"
	"encoding/gob"
	"net"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
)

const (
	writeChunkBytes   = 64 << 10 // each chunk of this many bytes gets the full write timeout
	maxRetainedBuffer = 64 << 10 // larger buffers are not reused
	closeTimeout      = 300 * time.Millisecond
)

// errEnded is returned for a connection that has ended.
var errEnded = errors.New("the connection has ended")

// typeEntry is a type as described on a connection.
type typeEntry struct {
	number uint64
	empty  bool // has nothing that gob could encode
}

// outbox is the outgoing half of a connection. Frames are encoded by the goroutine that sends them, and written by one
// that runs only while there is something to write: all that was queued meanwhile goes out with one write.
type outbox struct {
	maxFrame     int
	maxQueue     int
	writeTimeout time.Duration
	onEnd        func() // called once, when the connection has ended and nothing is being written any more

	mutex    sync.Mutex
	conn     net.Conn // nil until there is one
	encoder  *gob.Encoder
	types    map[reflect.Type]typeEntry
	pending  []byte // queued, not yet taken by the writer
	spare    []byte // the writer's other buffer
	taken    uint64 // bytes that the writer has taken, in total
	written  uint64 // bytes that the kernel has taken, in total
	flushing bool
	closing  bool // close once everything is written
	closed   bool
}

func newOutbox(maxFrame, maxQueue int, writeTimeout time.Duration, name string, ended func()) *outbox {
	o := &outbox{maxFrame: maxFrame, maxQueue: maxQueue, writeTimeout: writeTimeout, onEnd: ended}
	o.encoder = gob.NewEncoder((*pendingWriter)(o))
	o.types = map[reflect.Type]typeEntry{}
	o.pending = greetingOf(name)
	return o
}

// pendingWriter lets the gob encoder append to the pending bytes. The mutex must be locked.
type pendingWriter outbox

func (w *pendingWriter) Write(data []byte) (int, error) {
	w.pending = append(w.pending, data...)
	return len(data), nil
}

// span is the position of a frame among all bytes of a connection.
type span struct{ start, end uint64 }

// put queues one frame. value is a pointer to the frame's value, or nil; the header's number is set by its type. The
// error is of kind Unavailable, TooLarge or Invalid; then nothing was queued.
func (o *outbox) put(h header, value any) (span, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.closed || o.closing {
		return span{}, failure.New(failure.Unavailable, errEnded.Error())
	}
	if len(o.pending) > o.maxQueue {
		return span{}, failure.Newf(failure.Unavailable, "%d bytes wait to be written", len(o.pending))
	}
	if value != nil {
		entry, err := o.describe(reflect.TypeOf(value).Elem())
		if err != nil {
			return span{}, err
		}
		h.number = entry.number
		if entry.empty {
			value = nil
		}
	}
	placed, err := o.appendFrame(h, value)
	if err != nil {
		return span{}, err
	}
	o.startFlush()
	return placed, nil
}

// describe returns the entry of a type, which is described on the connection at its first use. That takes a frame of
// its own with a zero value, so that a value that turns out to be too large can be removed completely.
func (o *outbox) describe(valueType reflect.Type) (typeEntry, error) {
	if entry, ok := o.types[valueType]; ok {
		return entry, nil
	}
	entry := typeEntry{number: uint64(len(o.types) + 1), empty: hasNoExportedFields(valueType)}
	var zero any
	if !entry.empty {
		zero = reflect.New(valueType).Interface()
	}
	if _, err := o.appendFrame(header{kind: frameDefine, number: entry.number, name: valueType.String()}, zero); err != nil {
		return typeEntry{}, err
	}
	o.types[valueType] = entry
	return entry, nil
}

// appendFrame appends one frame to the pending bytes, or leaves them unchanged.
func (o *outbox) appendFrame(h header, value any) (span, error) {
	start := len(o.pending)
	o.pending = append(o.pending, 0, 0, 0, 0)
	o.pending = h.append(o.pending)
	if value != nil {
		if err := o.encoder.Encode(value); err != nil {
			o.pending = o.pending[:start]
			return span{}, failure.Newf(failure.Invalid, "%T cannot be encoded: %v", value, err)
		}
	}
	length := len(o.pending) - start - lengthBytes
	if length > o.maxFrame {
		o.pending = o.pending[:start]
		return span{}, failure.Newf(failure.TooLarge, "a message of %d bytes, %d allowed", length, o.maxFrame)
	}
	binary.BigEndian.PutUint32(o.pending[start:], uint32(length))
	return span{start: o.taken + uint64(start), end: o.taken + uint64(len(o.pending))}, nil
}

// cancel makes a frame void unless the writer has taken it, and reports whether it did: then the frame certainly has
// no effect.
func (o *outbox) cancel(placed span) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if placed.start < o.taken {
		return false
	}
	if o.closed {
		return true
	}
	o.pending[placed.start-o.taken+lengthBytes] = byte(frameVoid)
	return true
}

// unsent reports, of a connection that has ended, whether some of a frame's bytes were never taken by the kernel.
func (o *outbox) unsent(placed span) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return placed.end > o.written
}

// attach sets the connection to write to. It returns false if the outbox was closed before.
func (o *outbox) attach(conn net.Conn) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.closed {
		return false
	}
	o.conn = conn
	o.startFlush()
	return true
}

// startFlush starts the writer unless it runs. The mutex must be locked.
func (o *outbox) startFlush() {
	if o.flushing || o.conn == nil || o.closed || len(o.pending) == 0 {
		return
	}
	o.flushing = true
	go o.flush()
}

// flush writes until nothing is pending.
func (o *outbox) flush() {
	for {
		o.mutex.Lock()
		if o.closed || len(o.pending) == 0 {
			o.endFlush()
			return
		}
		batch := o.pending
		o.pending, o.spare = o.spare[:0], nil
		o.taken += uint64(len(batch))
		conn, timeout := o.conn, o.writeTimeout
		o.mutex.Unlock()

		written, err := writeChunks(conn, batch, timeout)

		o.mutex.Lock()
		o.written += uint64(written)
		if cap(batch) <= maxRetainedBuffer {
			o.spare = batch[:0]
		}
		o.mutex.Unlock()
		if err != nil {
			o.close()
		}
	}
}

// endFlush ends the writer. The mutex must be locked, and is unlocked.
func (o *outbox) endFlush() {
	o.flushing = false
	if o.closing && !o.closed {
		o.closed = true
		_ = o.conn.Close()
	}
	over := o.closed
	o.mutex.Unlock()
	if over {
		o.onEnd()
	}
}

// writeChunks writes data, giving each chunk the full timeout, and returns how many bytes were taken.
func writeChunks(conn net.Conn, data []byte, timeout time.Duration) (int, error) {
	written := 0
	for written < len(data) {
		chunk := data[written:min(written+writeChunkBytes, len(data))]
		if err := conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		count, err := conn.Write(chunk)
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// close ends the connection at once.
func (o *outbox) close() {
	o.mutex.Lock()
	if o.closed {
		o.mutex.Unlock()
		return
	}
	o.closed = true
	if o.conn != nil {
		_ = o.conn.Close()
	}
	over := !o.flushing
	o.mutex.Unlock()
	if over {
		o.onEnd()
	}
}

// closeAfterFlush closes the connection once everything that is queued is written, or after closeTimeout.
func (o *outbox) closeAfterFlush() {
	o.mutex.Lock()
	if !o.flushing || o.conn == nil {
		o.mutex.Unlock()
		o.close()
		return
	}
	o.closing = true
	o.writeTimeout = closeTimeout
	_ = o.conn.SetWriteDeadline(time.Now().Add(closeTimeout))
	o.mutex.Unlock()
}

// hasNoExportedFields reports whether a type is a struct without exported fields, which gob refuses to encode.
func hasNoExportedFields(valueType reflect.Type) bool {
	if valueType.Kind() != reflect.Struct {
		return false
	}
	for i := range valueType.NumField() {
		if valueType.Field(i).IsExported() {
			return false
		}
	}
	return !reflect.PointerTo(valueType).Implements(reflect.TypeFor[gob.GobEncoder]())
}
