package store

import (
	"fmt"

	"ospreypond/internal/store/segment"
	"ospreypond/internal/store/table"
)

// Batch collects operations that take effect together, in their order. The zero value is empty and ready. A batch
// must not be used while it is being committed; afterwards Reset makes it ready again.
type Batch struct {
	frame []byte
	ops   []op // none after a commit
	err   error
}

// op is what an operation does to the index. Of its loc, Offset counts from the start of the frame.
type op struct {
	item
	end string // deletes up to here, if not empty
}

func (b *Batch) reserveHeader() {
	if len(b.frame) == 0 {
		b.frame = append(b.frame, make([]byte, segment.FrameSize)...)
	}
}

func (b *Batch) fail(format string, args ...any) {
	if b.err == nil {
		b.err = fmt.Errorf(format, args...)
	}
}

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

// Put sets a key's value. Both are copied.
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

// Delete removes a key, whether it is there or not.
func (b *Batch) Delete(s *Space, key []byte) {
	k, ok := b.indexKey(s, key)
	if !ok {
		return
	}
	b.reserveHeader()
	b.frame = segment.AppendOp(b.frame, segment.Op{Kind: segment.Delete, Key: []byte(k)})
	b.ops = append(b.ops, op{item: item{key: k}})
}

// DeleteRange removes all keys from from up to, not including, to. Nil stands for the space's start and end. It
// costs the same for many keys as for few.
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

// Len is the number of operations.
func (b *Batch) Len() int { return len(b.ops) }

// Size is how many bytes of log the batch takes.
func (b *Batch) Size() int { return len(b.frame) }

// Reset empties the batch.
func (b *Batch) Reset() {
	clear(b.ops)
	b.frame, b.ops, b.err = b.frame[:0], b.ops[:0], nil
}

func (b *Batch) check() error {
	if b.err == nil && len(b.frame) > MaxBatch {
		b.fail("%w: batch of %d bytes, at most %d", ErrTooLarge, len(b.frame), MaxBatch)
	}
	return b.err
}

// apply has a batch's operations take effect in a layer. at is where its frame lies.
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
