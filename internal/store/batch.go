package store

import (
	"fmt"

	"ospreypond/internal/store/segment"
	"ospreypond/internal/store/table"
)

// Batch collects operations that take effect together, in their order. The zero value is empty and ready. A batch belongs
// to one goroutine and must not be used while it is being committed; afterwards Reset makes it ready again. An operation
// that is not allowed, such as one with a key over MaxKey, has Commit return its error.
type Batch struct {
	frame []byte
	ops   []op // empty after a commit
	err   error
}

// op is what an operation does to the index. The Offset in its loc counts from the start of the frame.
type op struct {
	item
	end string // if not empty, it deletes all keys up to, not including, this one
}

// reserveHeader leaves space for the frame's header before the first operation.
func (b *Batch) reserveHeader() {
	if len(b.frame) == 0 {
		b.frame = append(b.frame, make([]byte, segment.FrameSize)...)
	}
}

// fail keeps the first error for Commit.
func (b *Batch) fail(format string, args ...any) {
	if b.err == nil {
		b.err = fmt.Errorf(format, args...)
	}
}

// indexKey returns the index's key for a space's key, and false if there is no space or the key is too large.
func (b *Batch) indexKey(s *Space, key []byte) (string, bool) {
	switch {
	case s == nil:
		b.fail("store: no space")
	case len(key) > MaxKey:
		b.fail("%w: key of %d bytes in %q, at most %d", ErrTooLarge, len(key), s.name, MaxKey)
	default:
		return spaceKey(s.id, key), true
	}
	return "", false
}

// Put sets a key's value. It copies both.
func (b *Batch) Put(s *Space, key, value []byte) {
	k, ok := b.indexKey(s, key)
	if !ok {
		return
	}
	if len(value) > MaxValue {
		b.fail("%w: value of %d bytes for key %q in %q, at most %d", ErrTooLarge, len(value), key, s.name, MaxValue)
		return
	}
	b.reserveHeader()
	b.frame = segment.AppendOp(b.frame, segment.Op{Kind: segment.Put, Key: []byte(k), Value: value})
	b.ops = append(b.ops, op{item: item{key: k, loc: table.Loc{Segment: 1, Offset: uint32(len(b.frame) - len(value)),
		Size: uint32(len(value)), Sum: segment.Sum([]byte(k), value)}}})
}

// Delete removes a key. It is no error if the key does not exist.
func (b *Batch) Delete(s *Space, key []byte) {
	k, ok := b.indexKey(s, key)
	if !ok {
		return
	}
	b.reserveHeader()
	b.frame = segment.AppendOp(b.frame, segment.Op{Kind: segment.Delete, Key: []byte(k)})
	b.ops = append(b.ops, op{item: item{key: k}})
}

// DeleteRange removes all keys from from up to, not including, to. A nil from is the space's first key, a nil to its end. It
// costs the log the same for many keys as for few.
func (b *Batch) DeleteRange(s *Space, from, to []byte) {
	lo, ok := b.indexKey(s, from)
	if !ok {
		return
	}
	hi := spaceSpan(s.id).hi
	if to != nil {
		if hi, ok = b.indexKey(s, to); !ok {
			return
		}
	}
	if lo >= hi {
		return
	}
	b.reserveHeader()
	b.frame = segment.AppendOp(b.frame, segment.Op{Kind: segment.DeleteRange, Key: []byte(lo), End: []byte(hi)})
	b.ops = append(b.ops, op{item: item{key: lo}, end: hi})
}

// Len returns the number of operations; it is 0 after a commit.
func (b *Batch) Len() int { return len(b.ops) }

// Size returns how many bytes of log the batch takes.
func (b *Batch) Size() int { return len(b.frame) }

// Reset empties the batch, and forgets its error, so that it can be used again.
func (b *Batch) Reset() {
	clear(b.ops)
	b.frame, b.ops, b.err = b.frame[:0], b.ops[:0], nil
}

// check returns the first error of an operation, or that the batch is too large.
func (b *Batch) check() error {
	if b.err == nil && len(b.frame) > MaxBatch {
		b.fail("%w: batch of %d bytes, at most %d", ErrTooLarge, len(b.frame), MaxBatch)
	}
	return b.err
}

// apply applies a batch's operations to a layer. Its frame lies in segment seg at offset at.
func apply(l *layer, ops []op, seq uint64, seg uint32, at uint32) {
	for i := range ops {
		o := &ops[i]
		if o.end != "" {
			l.deleteRange(span{o.key, o.end})
			continue
		}
		it := item{key: o.key}
		it.loc.Seq = seq
		if !o.dead() {
			it.loc = o.loc
			it.loc.Seq, it.loc.Segment, it.loc.Offset = seq, seg, at+o.loc.Offset
		}
		l.set(it)
	}
}
