package segment

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// OpKind is what an operation does.
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
	// At is the offset of the value from the start of the frame. Ops sets it; AppendOp does not use it.
	At int
}

// AppendOp appends an encoded operation: its kind, then the key and the value or end, each after its length as a varint.
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

// Sum is the checksum of a key and its value. The index has it, so that a value can be read and checked without the rest of
// its batch.
func Sum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, Castagnoli), Castagnoli, value)
}

// Ops calls f with each operation of a payload, in order, and stops at the first error, of f or of decoding; the latter wraps
// ErrBad. The slices that f gets are part of the payload.
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

// readPart returns the part whose length is at offset at, and the offset behind it.
func readPart(b []byte, at int) ([]byte, int, error) {
	n, size := binary.Uvarint(b[at:])
	if size <= 0 || n > uint64(len(b)-at-size) {
		return nil, at, fmt.Errorf("%w: length in an operation", ErrBad)
	}
	at += size
	return b[at : at+int(n) : at+int(n)], at + int(n), nil
}
