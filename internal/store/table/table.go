// Package table is the checkpoint of the store's index: one sorted file that has for each key the location of its value. It
// is written once, by a Writer, and read a block at a time, so that opening it costs one read whatever its size.
//
// A table consists of blocks, an index of the blocks, and a footer of fixed size (docs/store.md has it byte by byte). In a
// block each key is encoded as the length of the prefix that it has in common with the previous key, and the rest; every
// block ends in its checksum. Blocks are checked when they are read, index and footer when the table is opened. Errors about
// content are of type Error and wrap segment.ErrBad or segment.ErrNewer.
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

// Version is the format that this release writes, and the newest that it reads.
const Version = 1

const (
	magic      = "OSPRTAB\n"
	footerSize = 80
	blockSize  = 4 << 10
	rowSize    = 12 // of a row of the index, one for each block: where its first key ends (4) and where the block ends (8)
)

// Loc is the location of a value: which segment has it at which offset, and which commit put it.
type Loc struct {
	Seq     uint64
	Segment uint32
	Offset  uint32 // of the value's first byte
	Size    uint32 // of the value, bytes
	Sum     uint32 // segment.Sum of key and value
}

// Entry is one key and the location of its value.
type Entry struct {
	Key []byte
	Loc Loc
}

// Info identifies a table.
type Info struct {
	Store [16]byte
	ID    uint64
	Seq   uint64 // all commits up to this one are in it
	Count uint64 // of entries
}

// Error is an error about a table's content, with the offset in the file.
type Error struct {
	Offset int64
	Err    error
}

// Error names the offset and the cause.
func (e *Error) Error() string { return fmt.Sprintf("offset %d: %v", e.Offset, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// corrupt returns an Error that wraps segment.ErrBad.
func corrupt(off int64, format string, args ...any) error {
	return &Error{off, fmt.Errorf("%w: %s", segment.ErrBad, fmt.Sprintf(format, args...))}
}

// Cache is a cache of blocks that were read and checked; several tables may use it, from several goroutines.
type Cache = lru.Cache[Block, []byte]

// Block identifies a block of a table.
type Block struct {
	Table uint64
	N     int
}

// NewCache returns a cache of about that many bytes.
func NewCache(bytes int) *Cache {
	c, _ := lru.New[Block, []byte](max(1, bytes/blockSize)) // New fails only for a size under 1
	return c
}

// Table is an open table. It is safe for use by several goroutines and keeps its index in memory. Its file is the caller's to
// close.
type Table struct {
	r      io.ReaderAt
	info   Info
	cache  *Cache
	keys   []byte
	rows   []byte
	blocks int
	size   int64
}

// Open reads the footer and index of a table of size bytes. It reads no block.
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

// readFull fills b from offset off on.
func readFull(r io.ReaderAt, b []byte, off int64) error {
	if n, err := r.ReadAt(b, off); n < len(b) {
		if err == io.EOF {
			return corrupt(off+int64(n), "ends early")
		}
		return err
	}
	return nil
}

// Info returns what identifies the table.
func (t *Table) Info() Info { return t.info }

// Memory returns how many bytes the table takes in memory, without the cache.
func (t *Table) Memory() int { return len(t.keys) + len(t.rows) }

// firstKey returns the first key of block n.
func (t *Table) firstKey(n int) []byte {
	from := uint32(0)
	if n > 0 {
		from = binary.LittleEndian.Uint32(t.rows[(n-1)*rowSize:])
	}
	return t.keys[from:binary.LittleEndian.Uint32(t.rows[n*rowSize:])]
}

// bounds returns the offsets of the start and the end of block n.
func (t *Table) bounds(n int) (from, to int64) {
	if n > 0 {
		from = int64(binary.LittleEndian.Uint64(t.rows[(n-1)*rowSize+4:]))
	}
	return from, int64(binary.LittleEndian.Uint64(t.rows[n*rowSize+4:]))
}

// find returns the block that has the key if any has, or -1 if the key is before the first block's.
func (t *Table) find(key []byte) int {
	return sort.Search(t.blocks, func(i int) bool { return bytes.Compare(t.firstKey(i), key) > 0 }) - 1
}

// readBlock reads and checks block n, in buf if that is large enough. It returns the block without its checksum.
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

// cachedBlock returns block n from the cache, or reads it into the cache.
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

// Get looks up a key and reports whether the table has it. It reads at most one block, through the cache.
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

// Check reads the complete table, past the cache, and returns the first fault.
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
