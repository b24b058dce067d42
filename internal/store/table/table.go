// Package table is the checkpoint of the store's index: one sorted file that tells for each key where its value
// lies. It is written once, whole, and read a block at a time, so that opening costs one read whatever the store holds.
//
// A table is a row of blocks, an index of the blocks, and a footer of fixed size at the end (docs/store.md has it
// byte by byte). In a block each key is written as the length it shares with the one before and the rest; every
// block ends in its checksum. Blocks are checked when they are read, index and footer when the table is opened.
package table

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
	"sort"

	lru "github.com/hashicorp/golang-lru/v2"

	"ospreypond/internal/store/segment"
)

// Version is the newest format that this release reads and writes.
const Version = 1

const (
	magic      = "OSPRTAB\n"
	footerSize = 80
	blockSize  = 4 << 10
	rowSize    = 12 // of the index, one for each block: where its first key ends and where it ends
)

// Loc tells where a value lies.
type Loc struct {
	Seq     uint64
	Segment uint32
	Offset  uint32 // of the value's first byte
	Size    uint32 // of the value, bytes
	Sum     uint32 // segment.Sum of key and value
}

// Entry is one key and where its value lies.
type Entry struct {
	Key []byte
	Loc Loc
}

// Info names a table.
type Info struct {
	Store [16]byte
	ID    uint64
	Seq   uint64 // every operation up to this number is in it
	Count uint64 // of entries
}

// Writer writes a table. Entries must come in order of their keys.
type Writer struct {
	w     io.Writer
	info  Info
	off   uint64
	block []byte
	last  []byte
	first []byte
	keys  []byte
	rows  []byte
}

// NewWriter returns a Writer of a table of that name; its Count is counted.
func NewWriter(w io.Writer, info Info) *Writer {
	info.Count = 0
	return &Writer{w: w, info: info}
}

// Add appends an entry.
func (w *Writer) Add(e Entry) error {
	if w.info.Count > 0 && bytes.Compare(e.Key, w.last) <= 0 {
		return fmt.Errorf("table: key %x does not follow %x", e.Key, w.last)
	}
	shared := 0
	if len(w.block) == 0 {
		w.first = append(w.first[:0], e.Key...)
	} else {
		for shared < len(w.last) && shared < len(e.Key) && w.last[shared] == e.Key[shared] {
			shared++
		}
	}
	b := binary.AppendUvarint(w.block, uint64(shared))
	b = binary.AppendUvarint(b, uint64(len(e.Key)-shared))
	b = append(b, e.Key[shared:]...)
	b = binary.AppendUvarint(b, e.Loc.Seq)
	b = binary.AppendUvarint(b, uint64(e.Loc.Segment))
	b = binary.AppendUvarint(b, uint64(e.Loc.Offset))
	b = binary.AppendUvarint(b, uint64(e.Loc.Size))
	w.block = binary.LittleEndian.AppendUint32(b, e.Loc.Sum)
	w.last = append(w.last[:0], e.Key...)
	w.info.Count++
	if len(w.block) >= blockSize {
		return w.flush()
	}
	return nil
}

func (w *Writer) flush() error {
	if len(w.block) == 0 {
		return nil
	}
	w.block = binary.LittleEndian.AppendUint32(w.block, crc32.Checksum(w.block, segment.Castagnoli))
	if err := w.write(w.block); err != nil {
		return err
	}
	w.block = w.block[:0]
	w.keys = append(w.keys, w.first...)
	w.rows = binary.LittleEndian.AppendUint32(w.rows, uint32(len(w.keys)))
	w.rows = binary.LittleEndian.AppendUint64(w.rows, w.off)
	return nil
}

func (w *Writer) write(b []byte) error {
	n, err := w.w.Write(b)
	w.off += uint64(n)
	return err
}

// Finish writes what remains and returns the table's size.
func (w *Writer) Finish() (size int64, info Info, err error) {
	if err := w.flush(); err != nil {
		return 0, info, err
	}
	at := w.off
	index := append(w.keys, w.rows...)
	if err := w.write(index); err != nil {
		return 0, info, err
	}
	b := append(make([]byte, 0, footerSize), magic...)
	b = binary.LittleEndian.AppendUint32(b, Version)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(w.rows)/rowSize))
	b = append(b, w.info.Store[:]...)
	for _, v := range []uint64{w.info.ID, w.info.Count, at, w.info.Seq, uint64(len(index))} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(index, segment.Castagnoli))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, segment.Castagnoli))
	err = w.write(b)
	return int64(w.off), w.info, err
}

// Error names a fault of a table and where it is.
type Error struct {
	Offset int64
	Err    error
}

// Error names the offset and the cause.
func (e *Error) Error() string { return fmt.Sprintf("offset %d: %v", e.Offset, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func corrupt(off int64, format string, args ...any) error {
	return &Error{off, fmt.Errorf("%w: %s", segment.ErrBad, fmt.Sprintf(format, args...))}
}

// Cache holds blocks of tables that were read and found good.
type Cache = lru.Cache[Block, []byte]

// Block names a block.
type Block struct {
	Table uint64
	N     int
}

// NewCache returns a cache of about that many bytes.
func NewCache(bytes int) *Cache {
	c, _ := lru.New[Block, []byte](max(1, bytes/blockSize)) // it fails for less than one block only
	return c
}

// Table is an open table. It is safe for use by several goroutines.
type Table struct {
	r      io.ReaderAt
	info   Info
	cache  *Cache
	keys   []byte
	rows   []byte
	blocks int
	size   int64
}

// Open reads a table's footer and index. Errors about its content wrap segment.ErrBad or segment.ErrNewer.
func Open(r io.ReaderAt, size int64, cache *Cache) (*Table, error) {
	if size < footerSize {
		return nil, corrupt(size, "ends early")
	}
	// Footer and index come in one read where the index is small.
	tail := make([]byte, min(size, 64<<10))
	if err := readFull(r, tail, size-int64(len(tail))); err != nil {
		return nil, err
	}
	foot := tail[len(tail)-footerSize:]
	at := size - footerSize
	if string(foot[:8]) != magic {
		return nil, corrupt(at, "no table's footer")
	}
	if v := binary.LittleEndian.Uint32(foot[8:]); v > Version {
		return nil, &Error{at, fmt.Errorf("%w: %d, this one reads up to %d", segment.ErrNewer, v, Version)}
	}
	if binary.LittleEndian.Uint32(foot[footerSize-4:]) != crc32.Checksum(foot[:footerSize-4], segment.Castagnoli) {
		return nil, corrupt(at, "footer's checksum")
	}
	t := &Table{r: r, cache: cache, blocks: int(binary.LittleEndian.Uint32(foot[12:])), size: size}
	copy(t.info.Store[:], foot[16:])
	t.info.ID = binary.LittleEndian.Uint64(foot[32:])
	t.info.Count = binary.LittleEndian.Uint64(foot[40:])
	indexAt := int64(binary.LittleEndian.Uint64(foot[48:]))
	t.info.Seq = binary.LittleEndian.Uint64(foot[56:])
	length := int64(binary.LittleEndian.Uint64(foot[64:]))
	if indexAt+length != at || indexAt < 0 || length < int64(t.blocks)*rowSize {
		return nil, corrupt(at, "index of %d bytes at %d", length, indexAt)
	}
	index := make([]byte, length)
	if have := int64(len(tail)) - footerSize; length <= have {
		copy(index, tail[have-length:have])
	} else if err := readFull(r, index, indexAt); err != nil {
		return nil, err
	}
	if binary.LittleEndian.Uint32(foot[72:]) != crc32.Checksum(index, segment.Castagnoli) {
		return nil, corrupt(indexAt, "index's checksum")
	}
	t.keys, t.rows = index[:len(index)-t.blocks*rowSize], index[len(index)-t.blocks*rowSize:]
	return t, nil
}

func readFull(r io.ReaderAt, b []byte, off int64) error {
	if n, err := r.ReadAt(b, off); n < len(b) {
		if err == io.EOF {
			return corrupt(off+int64(n), "ends early")
		}
		return err
	}
	return nil
}

// Info returns the table's name.
func (t *Table) Info() Info { return t.info }

// Memory is how many bytes the table holds in memory, the cache aside.
func (t *Table) Memory() int { return len(t.keys) + len(t.rows) }

func (t *Table) firstKey(n int) []byte {
	from := uint32(0)
	if n > 0 {
		from = binary.LittleEndian.Uint32(t.rows[(n-1)*rowSize:])
	}
	return t.keys[from:binary.LittleEndian.Uint32(t.rows[n*rowSize:])]
}

func (t *Table) bounds(n int) (from, to int64) {
	if n > 0 {
		from = int64(binary.LittleEndian.Uint64(t.rows[(n-1)*rowSize+4:]))
	}
	return from, int64(binary.LittleEndian.Uint64(t.rows[n*rowSize+4:]))
}

// find returns the block in which key is if it is anywhere; -1: before the first.
func (t *Table) find(key []byte) int {
	return sort.Search(t.blocks, func(i int) bool { return bytes.Compare(t.firstKey(i), key) > 0 }) - 1
}

// readBlock reads block n and checks it. buf may be used for it.
func (t *Table) readBlock(n int, buf []byte) ([]byte, error) {
	from, to := t.bounds(n)
	if to-from < 4 || to > t.size {
		return nil, corrupt(from, "block %d of %d bytes", n, to-from)
	}
	b := slices.Grow(buf[:0], int(to-from))[:to-from]
	if err := readFull(t.r, b, from); err != nil {
		return nil, err
	}
	sum := len(b) - 4
	if binary.LittleEndian.Uint32(b[sum:]) != crc32.Checksum(b[:sum], segment.Castagnoli) {
		return nil, corrupt(from, "block's checksum")
	}
	return b[:sum], nil
}

func (t *Table) cachedBlock(n int) ([]byte, error) {
	name := Block{t.info.ID, n}
	if b, ok := t.cache.Get(name); ok {
		return b, nil
	}
	b, err := t.readBlock(n, nil)
	if err == nil {
		t.cache.Add(name, b)
	}
	return b, err
}

// Get looks a key up.
func (t *Table) Get(key []byte) (Loc, bool, error) {
	n := t.find(key)
	if n < 0 {
		return Loc{}, false, nil
	}
	b, err := t.cachedBlock(n)
	if err != nil {
		return Loc{}, false, err
	}
	it := Iterator{t: t, rest: b}
	for it.step() {
		if c := bytes.Compare(it.entry.Key, key); c >= 0 {
			return it.entry.Loc, c == 0, nil
		}
	}
	return Loc{}, false, it.err
}

// Check reads the whole table.
func (t *Table) Check() error {
	it := t.Seek(nil)
	var n uint64
	for it.Next() {
		n++
	}
	if it.err == nil && n != t.info.Count {
		return corrupt(t.size, "%d entries instead of %d", n, t.info.Count)
	}
	return it.err
}

// Iterator goes over a table's entries in order.
type Iterator struct {
	t         *Table
	nextBlock int // the next block
	buf       []byte
	rest      []byte // of the present block
	from      []byte // the first key wanted
	entry     Entry
	err       error
}

// Seek returns an Iterator that stands before the first entry whose key is not under the given one. It keeps the
// cache as it is.
func (t *Table) Seek(key []byte) *Iterator {
	return &Iterator{t: t, nextBlock: max(0, t.find(key)), from: key}
}

// Next goes to the next entry; at the end and after a fault it returns false.
func (it *Iterator) Next() bool {
	for it.err == nil {
		for it.step() {
			if it.from == nil || bytes.Compare(it.entry.Key, it.from) >= 0 {
				it.from = nil
				return true
			}
		}
		if it.err != nil || it.nextBlock >= it.t.blocks {
			return false
		}
		if it.buf, it.err = it.t.readBlock(it.nextBlock, it.buf); it.err != nil {
			return false
		}
		it.rest = it.buf
		it.entry.Key = it.entry.Key[:0]
		it.nextBlock++
	}
	return false
}

// step reads one entry of the present block. The key is the Iterator's own.
func (it *Iterator) step() bool {
	b := it.rest
	if len(b) == 0 {
		return false
	}
	next := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			it.err = corrupt(0, "an entry's number")
			b = nil
			return 0
		}
		b = b[n:]
		return v
	}
	shared, rest := next(), next()
	if shared > uint64(len(it.entry.Key)) || rest > uint64(len(b)) {
		it.err = corrupt(0, "an entry's key")
		return false
	}
	it.entry.Key = append(it.entry.Key[:shared], b[:rest]...)
	b = b[rest:]
	it.entry.Loc.Seq = next()
	it.entry.Loc.Segment = uint32(next())
	it.entry.Loc.Offset = uint32(next())
	it.entry.Loc.Size = uint32(next())
	if it.err != nil || len(b) < 4 {
		if it.err == nil {
			it.err = corrupt(0, "an entry's checksum")
		}
		return false
	}
	it.entry.Loc.Sum = binary.LittleEndian.Uint32(b)
	it.rest = b[4:]
	return true
}

// Entry returns the present entry, whose key is good until the next call of Next.
func (it *Iterator) Entry() Entry { return it.entry }

// Err returns what ended the Iterator early.
func (it *Iterator) Err() error { return it.err }
