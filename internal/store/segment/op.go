package segment

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// OpKind is the kind of an operation.
type OpKind byte

// The kinds of operations. The numbers are part of the format on disk.
const (
	Put         OpKind = 1 // sets Key to Value
	Delete      OpKind = 2 // deletes Key
	DeleteRange OpKind = 3 // deletes the keys from Key up to, not including, End
)

// Op is one operation of a batch.
type Op struct {
	Kind  OpKind
	Key   []byte
	End   []byte // of a DeleteRange
	Value []byte // of a Put
	// At is the offset in bytes of a Put's value from the start of the frame. Ops sets it; AppendOp does not use it.
	At int
}

// AppendOp appends an encoded operation:
//
//	kind (1 byte), length of Key (uvarint), Key
//	after that for Put: length of Value (uvarint), Value; for DeleteRange: length of End (uvarint), End
func AppendOp(b []byte, o Op) []byte {
	b = append(b, byte(o.Kind))
	b = appendPart(b, o.Key)
	switch o.Kind {
	case Put:
		b = appendPart(b, o.Value)
	case DeleteRange:
		b = appendPart(b, o.End)
	}
	return b
}

// appendPart appends a part's length as a uvarint, and the part.
func appendPart(b, part []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(part))), part...)
}

// Sum returns the checksum of a key followed by its value. The index has it for each record, so that a value can be read and
// checked without the rest of its frame.
func Sum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, Castagnoli), Castagnoli, value)
}

// Ops calls f with each operation of a payload, in order. It stops at the first error of f and returns it. If the payload
// can't be decoded, it returns an error that wraps ErrCorrupt. The slices in f's argument are slices of the payload.
func Ops(payload []byte, f func(Op) error) error {
	for at := 0; at < len(payload); {
		o := Op{Kind: OpKind(payload[at])}
		at++
		var err error
		if o.Key, at, err = readPart(payload, at); err != nil {
			return err
		}
		switch o.Kind {
		case Put:
			if o.Value, at, err = readPart(payload, at); err != nil {
				return err
			}
			o.At = FrameSize + at - len(o.Value)
		case DeleteRange:
			if o.End, at, err = readPart(payload, at); err != nil {
				return err
			}
		case Delete:
		default:
			return fmt.Errorf("%w: operation of the unknown kind %d", ErrCorrupt, o.Kind)
		}
		if err := f(o); err != nil {
			return err
		}
	}
	return nil
}

// readPart reads a length at offset at and the part of that length after it. It returns the part and the offset of its end.
func readPart(b []byte, at int) ([]byte, int, error) {
	n, size := binary.Uvarint(b[at:])
	if size <= 0 || n > uint64(len(b)-at-size) {
		return nil, at, fmt.Errorf("%w: the length at offset %d of the payload is invalid or exceeds its %d bytes", ErrCorrupt, at, len(b))
	}
	at += size
	return b[at : at+int(n) : at+int(n)], at + int(n), nil
}
