package transport

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
)

// These constants are part of the protocol. A connection starts with a greeting from each side: the magic number, one
// byte for the version, and the sender's name as a text. A text is its length in bytes as an unsigned varint, then the
// bytes. Frames follow: the length of header and value in lengthBytes bytes, big-endian, then the header, then in most
// kinds one gob value. Numbers in headers are unsigned varints.
const (
	magic        = "OSPJ"
	version      = 1
	lengthBytes  = 4
	maxTextBytes = 64 << 10 // longest text in a greeting or header; a longer one is truncated when it is sent
)

// frameKind is the kind of a frame. Its values are on the wire and must not change.
type frameKind byte

const (
	frameCanceled frameKind = iota // replaces the kind of a queued request after its caller gave up; receivers discard it
	frameDefine                    // a type's number and name, and a zero value so that gob describes the type
	frameRequest                   // a call
	frameMessage                   // a one-way message
	frameResponse                  // the response to a call
	frameFailure                   // an error in response to a call
	framePing                      // asks for a pong; the client sends it to find out whether the server still runs
	framePong                      // the response to a ping
	frameKinds                     // the number of kinds, not a kind
)

// header precedes a frame's value. Its kind decides which other fields are sent: the comments name the kinds.
type header struct {
	kind        frameKind
	id          uint64         // Request, Response, Failure: number of the call on its connection
	typeNumber  uint64         // Define, Request, Message, Response: the type, counted from 1; 0: there is no value
	remainingMs uint64         // Request: milliseconds until the caller's deadline; 0: there is no deadline
	name        string         // Define: name of the type with its package, as reflect.Type.String returns it
	failure     *failure.Error // Failure: the error; its kind, message and leader are sent
}

// appendText appends a text to buffer: its length, then its first maxTextBytes bytes at most.
func appendText(buffer []byte, text string) []byte {
	text = text[:min(len(text), maxTextBytes)]
	buffer = binary.AppendUvarint(buffer, uint64(len(text)))
	return append(buffer, text...)
}

// append appends the encoded header to buffer and returns the extended buffer.
func (h *header) append(buffer []byte) []byte {
	buffer = append(buffer, byte(h.kind))
	switch h.kind {
	case frameDefine:
		buffer = binary.AppendUvarint(buffer, h.typeNumber)
		buffer = appendText(buffer, h.name)
	case frameRequest:
		buffer = binary.AppendUvarint(buffer, h.id)
		buffer = binary.AppendUvarint(buffer, h.typeNumber)
		buffer = binary.AppendUvarint(buffer, h.remainingMs)
	case frameMessage:
		buffer = binary.AppendUvarint(buffer, h.typeNumber)
	case frameResponse:
		buffer = binary.AppendUvarint(buffer, h.id)
		buffer = binary.AppendUvarint(buffer, h.typeNumber)
	case frameFailure:
		buffer = binary.AppendUvarint(buffer, h.id)
		buffer = append(buffer, byte(h.failure.Kind))
		buffer = appendText(buffer, h.failure.Message)
		buffer = appendText(buffer, h.failure.Leader)
	}
	return buffer
}

// byteSource is a reader that headers and greetings are decoded from.
type byteSource interface {
	io.Reader
	io.ByteReader
}

// fieldReader reads a header's fields. After the first error all further fields are zero.
type fieldReader struct {
	source byteSource
	err    error
}

func (r *fieldReader) byte() byte {
	if r.err != nil {
		return 0
	}
	value, err := r.source.ReadByte()
	r.err = err
	return value
}

func (r *fieldReader) uvarint() uint64 {
	if r.err != nil {
		return 0
	}
	value, err := binary.ReadUvarint(r.source)
	r.err = err
	return value
}

func (r *fieldReader) text() string {
	length := r.uvarint()
	if r.err == nil && length > maxTextBytes {
		r.err = errors.Errorf("text in a greeting or frame header has %d bytes, limit is %d", length, maxTextBytes)
	}
	if r.err != nil || length == 0 {
		return ""
	}
	text := make([]byte, length)
	_, r.err = io.ReadFull(r.source, text)
	return string(text)
}

// readHeader decodes a frame's header from source.
func readHeader(source byteSource) (header, error) {
	fields := fieldReader{source: source}
	h := header{kind: frameKind(fields.byte())}
	switch h.kind {
	case frameDefine:
		h.typeNumber = fields.uvarint()
		h.name = fields.text()
	case frameRequest:
		h.id = fields.uvarint()
		h.typeNumber = fields.uvarint()
		h.remainingMs = fields.uvarint()
	case frameMessage:
		h.typeNumber = fields.uvarint()
	case frameResponse:
		h.id = fields.uvarint()
		h.typeNumber = fields.uvarint()
	case frameFailure:
		h.id = fields.uvarint()
		h.failure = &failure.Error{Kind: failure.Kind(fields.byte()), Message: fields.text(), Leader: fields.text()}
	}
	if fields.err == nil && h.kind >= frameKinds {
		return h, errors.Errorf("received a frame of unknown kind %d", h.kind)
	}
	return h, fields.err
}

// greetingOf returns the encoded greeting of a process with the given name.
func greetingOf(name string) []byte {
	greeting := append([]byte(magic), version)
	return appendText(greeting, name)
}

// readGreeting decodes the peer's greeting from source and returns the peer's name. It fails if the peer speaks another
// protocol or another version of this one.
func readGreeting(source byteSource) (string, error) {
	var start [len(magic) + 1]byte
	if _, err := io.ReadFull(source, start[:]); err != nil {
		return "", err
	}
	if string(start[:len(magic)]) != magic {
		return "", errors.Errorf("the peer's greeting starts with %q, expected %q", start[:], magic)
	}
	if start[len(magic)] != version {
		return "", errors.Errorf("the peer speaks protocol version %d, this process speaks version %d", start[len(magic)], version)
	}
	fields := fieldReader{source: source}
	name := fields.text()
	return name, fields.err
}
