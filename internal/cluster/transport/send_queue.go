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
	writeChunkBytes   = 64 << 10 // bytes of one write; each write gets the full write timeout, so large frames may take longer
	maxRetainedBuffer = 64 << 10 // capacity in bytes up to which a buffer is reused; larger ones are freed after a burst
	// closeTimeout limits each write after Server.Close, so that a slow client does not delay the end of the process.
	closeTimeout = 300 * time.Millisecond
)

// errEnded reports that a frame cannot be queued because its connection has ended.
var errEnded = errors.New("the connection has ended")

// typeEntry is a type that this side has described on a connection.
type typeEntry struct {
	number uint64 // the type's number in frame headers, counted from 1
	empty  bool   // the type has no fields that gob could encode, so its frames have no value
}

// sendQueue queues the frames of one direction of a connection and writes them. The goroutine that sends a frame encodes it
// into the pending bytes. One writer goroutine takes all pending bytes at once and writes them; it runs only while there are
// any. Frames that are queued during a write are therefore written together in the next one.
//
// Positions count the bytes of a connection from its first one. written <= taken always holds, and the pending bytes start
// at position taken. Comparing a frame's byteRange with the two shows whether it may have been sent.
type sendQueue struct {
	maxFrame     int           // longest frame, in bytes without the length field
	maxQueue     int           // no frame is queued while more than this many bytes are pending
	writeTimeout time.Duration // for each write of writeChunkBytes at most
	onEnd        func()        // called once, after the connection was closed and the last write has returned

	mutex    sync.Mutex
	conn     net.Conn // nil until attach
	encoder  *gob.Encoder
	types    map[reflect.Type]typeEntry
	pending  []byte // bytes that are queued and not taken by the writer
	spare    []byte // the buffer that becomes pending when the writer takes the current one; may be nil
	taken    uint64 // number of bytes that the writer has taken since the connection began
	written  uint64 // number of bytes that the kernel has accepted since the connection began
	flushing bool   // the writer goroutine runs
	closing  bool   // the writer closes the connection once pending is empty; further frames are refused
	closed   bool
}

// newSendQueue returns a queue whose first bytes are the greeting of a process with the given name.
func newSendQueue(maxFrame, maxQueue int, writeTimeout time.Duration, name string, ended func()) *sendQueue {
	q := &sendQueue{maxFrame: maxFrame, maxQueue: maxQueue, writeTimeout: writeTimeout, onEnd: ended}
	q.encoder = gob.NewEncoder((*pendingWriter)(q))
	q.types = map[reflect.Type]typeEntry{}
	q.pending = greetingOf(name)
	return q
}

// pendingWriter lets the gob encoder append to the pending bytes. The caller of the encoder must hold the mutex.
type pendingWriter sendQueue

func (w *pendingWriter) Write(data []byte) (int, error) {
	w.pending = append(w.pending, data...)
	return len(data), nil
}

// byteRange is the position of a frame among all bytes that one side sends on a connection, from start up to but not
// including end.
type byteRange struct{ start, end uint64 }

// enqueue queues one frame and returns its position. value is a pointer to the frame's value, or nil for a frame without
// one; enqueue sets the header's type number. After an error no such frame is queued. The error is of kind Unavailable if
// the connection has ended or its queue is full, TooLarge if the frame exceeds maxFrame, Invalid if gob cannot encode
// value.
func (q *sendQueue) enqueue(h header, value any) (byteRange, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed || q.closing {
		return byteRange{}, failure.New(failure.Unavailable, errEnded.Error())
	}
	if len(q.pending) > q.maxQueue {
		return byteRange{}, failure.Newf(failure.Unavailable, "%d bytes are queued on the connection, limit is %d",
			len(q.pending), q.maxQueue)
	}
	if value != nil {
		entry, err := q.describe(reflect.TypeOf(value).Elem())
		if err != nil {
			return byteRange{}, err
		}
		h.typeNumber = entry.number
		if entry.empty {
			value = nil
		}
	}
	frameRange, err := q.appendFrame(h, value)
	if err != nil {
		return byteRange{}, err
	}
	q.startFlush()
	return frameRange, nil
}

// describe returns the entry of a type. At the type's first use it queues a frameDefine with a zero value, so that gob
// writes the type's description. Later values of the type need no description. So a frame can be canceled, or removed if
// its value turns out to be too large, and the gob stream of the other frames stays complete.
func (q *sendQueue) describe(valueType reflect.Type) (typeEntry, error) {
	if entry, ok := q.types[valueType]; ok {
		return entry, nil
	}
	entry := typeEntry{number: uint64(len(q.types) + 1), empty: hasNoExportedFields(valueType)}
	var zero any
	if !entry.empty {
		zero = reflect.New(valueType).Interface()
	}
	if _, err := q.appendFrame(header{kind: frameDefine, typeNumber: entry.number, name: valueType.String()}, zero); err != nil {
		return typeEntry{}, err
	}
	q.types[valueType] = entry
	return entry, nil
}

// appendFrame appends one frame to the pending bytes and returns its position. After an error the pending bytes are as
// before.
func (q *sendQueue) appendFrame(h header, value any) (byteRange, error) {
	start := len(q.pending)
	q.pending = append(q.pending, 0, 0, 0, 0)
	q.pending = h.append(q.pending)
	if value != nil {
		if err := q.encoder.Encode(value); err != nil {
			q.pending = q.pending[:start]
			return byteRange{}, failure.Newf(failure.Invalid, "cannot encode a %T: %v", value, err)
		}
	}
	length := len(q.pending) - start - lengthBytes
	if length > q.maxFrame {
		q.pending = q.pending[:start]
		return byteRange{}, failure.Newf(failure.TooLarge, "the frame to send has %d bytes, limit is %d", length, q.maxFrame)
	}
	binary.BigEndian.PutUint32(q.pending[start:], uint32(length))
	return byteRange{start: q.taken + uint64(start), end: q.taken + uint64(len(q.pending))}, nil
}

// cancel turns a queued request into a frameCanceled, which the receiver discards. It reports whether the request will
// certainly not reach the server: the writer had not taken any byte of it.
func (q *sendQueue) cancel(frameRange byteRange) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if frameRange.start < q.taken {
		return false
	}
	if q.closed {
		return true
	}
	q.pending[frameRange.start-q.taken+lengthBytes] = byte(frameCanceled)
	return true
}

// unsent reports whether the kernel did not accept all bytes of a frame, so that the peer cannot have read the complete
// frame. The answer is final only once the connection has ended and onEnd was called.
func (q *sendQueue) unsent(frameRange byteRange) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return frameRange.end > q.written
}

// attach sets the connection to write to and starts to write the queued frames. It reports whether the queue is still
// open; if not, the caller has to close conn.
func (q *sendQueue) attach(conn net.Conn) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed {
		return false
	}
	q.conn = conn
	q.startFlush()
	return true
}

// startFlush starts the writer if it does not run and there is something to write. The caller must hold the mutex.
func (q *sendQueue) startFlush() {
	if q.flushing || q.conn == nil || q.closed || len(q.pending) == 0 {
		return
	}
	q.flushing = true
	go q.flush()
}

// flush is the writer goroutine. It writes until pending is empty or the queue is closed.
func (q *sendQueue) flush() {
	for {
		q.mutex.Lock()
		if q.closed || len(q.pending) == 0 {
			q.endFlush()
			return
		}
		batch := q.pending
		q.pending, q.spare = q.spare[:0], nil
		q.taken += uint64(len(batch))
		conn, timeout := q.conn, q.writeTimeout
		q.mutex.Unlock()

		written, err := writeChunks(conn, batch, timeout)

		q.mutex.Lock()
		q.written += uint64(written)
		if cap(batch) <= maxRetainedBuffer {
			q.spare = batch[:0]
		}
		q.mutex.Unlock()
		if err != nil {
			q.close()
		}
	}
}

// endFlush ends the writer, and closes the connection if closeAfterFlush asked for it. The caller must hold the mutex;
// endFlush unlocks it.
func (q *sendQueue) endFlush() {
	q.flushing = false
	if q.closing && !q.closed {
		q.closed = true
		_ = q.conn.Close()
	}
	over := q.closed
	q.mutex.Unlock()
	if over {
		q.onEnd()
	}
}

// writeChunks writes data in chunks, each with the full timeout, and returns how many bytes the kernel accepted.
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

// close closes the connection without writing the pending bytes. A running write fails, and the writer then calls onEnd.
func (q *sendQueue) close() {
	q.mutex.Lock()
	if q.closed {
		q.mutex.Unlock()
		return
	}
	q.closed = true
	if q.conn != nil {
		_ = q.conn.Close()
	}
	over := !q.flushing
	q.mutex.Unlock()
	if over {
		q.onEnd()
	}
}

// closeAfterFlush closes the connection once everything that is queued is written. The running write gets at most
// closeTimeout from now, as does each write of a batch that the writer takes later. Further chunks of the running batch
// keep the normal timeout, so the caller has to call close after a while.
func (q *sendQueue) closeAfterFlush() {
	q.mutex.Lock()
	if !q.flushing || q.conn == nil {
		q.mutex.Unlock()
		q.close()
		return
	}
	q.closing = true
	q.writeTimeout = closeTimeout
	_ = q.conn.SetWriteDeadline(time.Now().Add(closeTimeout))
	q.mutex.Unlock()
}

// hasNoExportedFields reports whether gob refuses to encode a type because it is a struct without exported fields.
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
