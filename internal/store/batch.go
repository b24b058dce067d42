package store

import (
	"fmt"

	"ospreypond/internal/store/segment"
	"ospreypond/internal/store/table"
)

// Batch collects operations that take effect together, in the order of the calls that added them. The zero value is empty
// and ready. A batch belongs to one goroutine and must not be used while it is being committed. After the commit Reset makes
// it ready again. An operation with an invalid argument, such as a key longer than MaxKey, makes Commit return its error.
type Batch struct {
	frame []byte // encoded operations, after space for the frame's header
	ops   []op   // empty after a commit
	err   error  // first error of an operation, for Commit
}

// op is the change that an operation makes to the index. The Offset in its loc counts from the start of the frame, and its
// Segment is any number but 0 for a put: apply sets both.
type op struct {
	item
	end string // if not empty, the operation deletes all keys from item.key up to, not including, end
}

// reserveHeader makes space for the frame's header if the batch has no operation yet. The writer fills it in.
func (b *Batch) reserveHeader() {
	if len(b.frame) == 0 {
		b.frame = append(b.frame, make([]byte, segment.FrameSize)...)
	}
}

// fail records an error for Commit to return, unless there is one already.
func (b *Batch) fail(format string, args ...any) {
	if b.err == nil {
		b.err = fmt.Errorf(format, args...)
	}
}

// indexKey returns the index's key for a space's key. If the space is nil or the key too large, it records the error and
// returns false.
func (b *Batch) indexKey(s *Space, key []byte) (string, bool) {
	switch {
	case s == nil:
		b.fail("store: the space of an operation is nil")
	case len(key) > MaxKey:
		b.fail("%w: key of %d bytes in space %q, at most %d", ErrTooLarge, len(key), s.name, MaxKey)
	default:
		return spaceKey(s.id, key), true
	}
	return "", false
}

// Put sets a key's value. It copies the key and the value.
func (b *Batch) Put(s *Space, key, value []byte) {
	k, ok := b.indexKey(s, key)
	if !ok {
		return
	}
	if len(value) > MaxValue {
		b.fail("%w: value of %d bytes for key %q in space %q, at most %d", ErrTooLarge, len(value), key, s.name, MaxValue)
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

// DeleteRange removes all keys from from up to, not including, to. If from is nil, the range begins at the space's first
// key; if to is nil, it ends after the last one. Its record in the log has the same size however many keys it removes.
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

// Size returns how many bytes of log the batch takes, with its frame's header.
func (b *Batch) Size() int { return len(b.frame) }

// Reset removes the batch's operations and its error, so that it can be used again.
func (b *Batch) Reset() {
	clear(b.ops)
	b.frame, b.ops, b.err = b.frame[:0], b.ops[:0], nil
}

// check returns the first error of an operation, or ErrTooLarge if the batch is larger than MaxBatch.
func (b *Batch) check() error {
	if b.err == nil && len(b.frame) > MaxBatch {
		b.fail("%w: batch of %d bytes, at most %d", ErrTooLarge, len(b.frame), MaxBatch)
	}
	return b.err
}

// apply applies the operations of commit seq to a layer, in their order. The commit's frame is in segment seg at offset at.
func apply(l *layer, ops []op, seq uint64, seg uint32, at uint32) {
	for i := range ops {
		o := &ops[i]
		if o.end != "" {
			l.deleteRange(span{o.key, o.end})
			continue
		}
		it := item{key: o.key}
		it.loc.Seq = seq
		if !o.deleted() {
			it.loc = o.loc
			it.loc.Seq, it.loc.Segment, it.loc.Offset = seq, seg, at+o.loc.Offset
		}
		l.set(it)
	}
}
