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
