package segment

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// OpKind tells what an operation does.
type OpKind byte

// The operations. Their numbers are the ones on disk.
const (
	Put         OpKind = 1 // Key, Value
	Delete      OpKind = 2 // Key
	DeleteRange OpKind = 3 // from Key up to, not including, End
)

// Op is one operation of a batch.
type Op struct {
	Kind  OpKind
	Key   []byte
	End   []byte
	Value []byte
	// At is where the value starts, counted from the start of the frame.
	At int
}

// AppendOp appends an operation: its kind, then each part behind its length as a varint.
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

func appendPart(b, part []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(part))), part...)
}

// Sum is the checksum by which a value is known to be the key's own. It is kept in the index, so that a value can be
// read without the rest of its batch.
func Sum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, Castagnoli), Castagnoli, value)
}

// Ops calls f with each operation of a payload, in order. What f gets is part of the payload.
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
			return fmt.Errorf("%w: operation %d", ErrBad, o.Kind)
		}
		if err := f(o); err != nil {
			return err
		}
	}
	return nil
}

func readPart(b []byte, at int) ([]byte, int, error) {
	n, size := binary.Uvarint(b[at:])
	if size <= 0 || n > uint64(len(b)-at-size) {
		return nil, at, fmt.Errorf("%w: length in an operation", ErrBad)
	}
	at += size
	return b[at : at+int(n) : at+int(n)], at + int(n), nil
}
