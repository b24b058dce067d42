package transport

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
)

// A connection starts with a greeting from each side: magic, version, name. Frames follow: four bytes of length, then
// the header, then in most kinds one gob value.
const (
	magic        = "OSPJ"
	version      = 1
	lengthBytes  = 4
	maxTextBytes = 64 << 10 // bytes of a name or an error's message
)

// frameKind is the kind of a frame. Its values are on the wire.
type frameKind byte

const (
	frameVoid     frameKind = iota // a frame that was cancelled before it was written
	frameDefine                    // the next type's name, and a zero value so that gob describes the type
	frameRequest                   // a call
	frameMessage                   // a one-way message
	frameResponse                  // the response to a call
	frameFailure                   // an error in response to a call
	framePing
	framePong
	frameKinds
)

// header precedes a frame's value. Which fields are used depends on the kind.
type header struct {
	kind        frameKind
	id          uint64 // Request, Response, Failure: the call
	number      uint64 // Define, Request, Message, Response: the type, counted from 1; 0: there is no value
	remainingMs uint64 // Request: how long the caller waits; 0: without a deadline
	name        string // Define: the type's name
	failure     *failure.Error
}

func appendText(buffer []byte, text string) []byte {
	text = text[:min(len(text), maxTextBytes)]
	buffer = binary.AppendUvarint(buffer, uint64(len(text)))
	return append(buffer, text...)
}

// append appends the encoded header.
func (h *header) append(buffer []byte) []byte {
	buffer = append(buffer, byte(h.kind))
	switch h.kind {
	case frameDefine:
		buffer = binary.AppendUvarint(buffer, h.number)
		buffer = appendText(buffer, h.name)
	case frameRequest:
		buffer = binary.AppendUvarint(buffer, h.id)
		buffer = binary.AppendUvarint(buffer, h.number)
		buffer = binary.AppendUvarint(buffer, h.remainingMs)
	case frameMessage:
		buffer = binary.AppendUvarint(buffer, h.number)
	case frameResponse:
		buffer = binary.AppendUvarint(buffer, h.id)
		buffer = binary.AppendUvarint(buffer, h.number)
	case frameFailure:
		buffer = binary.AppendUvarint(buffer, h.id)
		buffer = append(buffer, byte(h.failure.Kind))
		buffer = appendText(buffer, h.failure.Message)
		buffer = appendText(buffer, h.failure.Leader)
	}
	return buffer
}

// byteSource is what headers are read from.
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

func (r *fieldReader) number() uint64 {
	if r.err != nil {
		return 0
	}
	value, err := binary.ReadUvarint(r.source)
	r.err = err
	return value
}

func (r *fieldReader) text() string {
	length := r.number()
	if r.err == nil && length > maxTextBytes {
		r.err = errors.Errorf("a text of %d bytes", length)
	}
	if r.err != nil || length == 0 {
		return ""
	}
	text := make([]byte, length)
	_, r.err = io.ReadFull(r.source, text)
	return string(text)
}

// readHeader reads a header.
func readHeader(source byteSource) (header, error) {
	fields := fieldReader{source: source}
	h := header{kind: frameKind(fields.byte())}
	switch h.kind {
	case frameDefine:
		h.number = fields.number()
		h.name = fields.text()
	case frameRequest:
		h.id = fields.number()
		h.number = fields.number()
		h.remainingMs = fields.number()
	case frameMessage:
		h.number = fields.number()
	case frameResponse:
		h.id = fields.number()
		h.number = fields.number()
	case frameFailure:
		h.id = fields.number()
		h.failure = &failure.Error{Kind: failure.Kind(fields.byte()), Message: fields.text(), Leader: fields.text()}
	}
	if fields.err == nil && h.kind >= frameKinds {
		return h, errors.Errorf("a frame of unknown kind %d", h.kind)
	}
	return h, fields.err
}

// greetingOf returns the greeting of a process of that name.
func greetingOf(name string) []byte {
	greeting := append([]byte(magic), version)
	return appendText(greeting, name)
}

// readGreeting reads the peer's greeting and returns its name.
func readGreeting(source byteSource) (string, error) {
	var start [len(magic) + 1]byte
	if _, err := io.ReadFull(source, start[:]); err != nil {
		return "", err
	}
	if string(start[:len(magic)]) != magic {
		return "", errors.Errorf("not of this protocol: starts with %q", start[:])
	}
	if start[len(magic)] != version {
		return "", errors.Errorf("speaks version %d, this is version %d", start[len(magic)], version)
	}
	fields := fieldReader{source: source}
	name := fields.text()
	return name, fields.err
}
