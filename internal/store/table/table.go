// Package table reads and writes the table, the part of the store's index on disk: one sorted file that has for each key the
// location of its value. A Writer writes it once. Open reads only the footer and the index of blocks, and lookups read one
// block at a time.
//
// A table consists of blocks, an index of the blocks, and a footer. docs/store.md has the format byte by byte. All fixed
// numbers are little-endian, all checksums CRC-32C.
//
//   - A block has entries in the order of their keys, until they take at least blockSize bytes, and then their checksum (4).
//   - An entry is: the length of the prefix that its key shares with the previous key of the block, the length of the rest,
//     the rest, then Seq, Segment, Offset and Size of its Loc, and Sum (4). All but the rest and Sum are uvarints.
//   - The index has the first keys of all blocks without separators, and then a row of rowSize bytes for each block: the
//     offset in the index where its first key ends (4) and the offset in the file where the block ends, with its checksum
//     (8).
//
// The footer has footerSize bytes. Each field comes after its offset and before its size in bytes:
//
//	00  magic (8)              08  Version (4)              12  number of blocks (4)
//	16  store's id (16)        32  table's number (8)       40  number of entries (8)
//	48  offset of index (8)    56  last commit in it (8)    64  length of index (8)
//	72  index's checksum (4)   76  checksum of the footer's bytes before it (4)
//
// A block is checked when it is read, index and footer when the table is opened. Errors about the content are of type Error
// and wrap segment.ErrCorrupt or segment.ErrNewer.
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
	magic      = "OSPRTAB\n" // first 8 bytes of the footer
	footerSize = 80          // bytes
	blockSize  = 4 << 10     // bytes of entries from which a block is complete
	rowSize    = 12          // bytes of a block's row in the index
)

// Loc is the location of a value in the segments.
type Loc struct {
	Seq     uint64 // sequence number of the commit that put it
	Segment uint32 // number of the segment
	Offset  uint32 // of the value's first byte in the segment
	Size    uint32 // of the value in bytes
	Sum     uint32 // segment.Sum of key and value
}

// Entry is one key and the location of its value.
type Entry struct {
	Key []byte
	Loc Loc
}

// Info identifies a table.
type Info struct {
	Store [16]byte // id of the store to which the table belongs
	ID    uint64   // the table's number in the store
	Seq   uint64   // the table covers all commits up to this sequence number
	Count uint64   // number of entries
}

// Error is an error about a table's content.
type Error struct {
	Offset int64 // of the first byte concerned, in the file
	Err    error
}

// Error names the offset and the cause.
func (e *Error) Error() string { return fmt.Sprintf("offset %d: %v", e.Offset, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// corrupt returns an Error that wraps segment.ErrCorrupt.
func corrupt(off int64, format string, args ...any) error {
	return &Error{off, fmt.Errorf("%w: %s", segment.ErrCorrupt, fmt.Sprintf(format, args...))}
}

// Cache is a cache of blocks that were read and checked. Several tables and goroutines may use one at the same time.
type Cache = lru.Cache[BlockID, []byte]

// BlockID identifies a block of a table.
type BlockID struct {
	Table uint64 // the table's number in the store
	N     int    // the block's position in the table, from 0
}

// NewCache returns a cache for as many blocks of blockSize as fit into that many bytes, at least one.
func NewCache(bytes int) *Cache {
	c, _ := lru.New[BlockID, []byte](max(1, bytes/blockSize)) // New fails only for a size under 1
	return c
}

// Table is an open table. It is safe for use by several goroutines and keeps its index of blocks in memory. The caller
// closes its file.
type Table struct {
	r      io.ReaderAt
	info   Info
	cache  *Cache
	keys   []byte // the part of the index with the first keys
	rows   []byte // the part of the index with the rows
	blocks int    // number of blocks
	size   int64  // of the file in bytes
}

// Open reads and checks the footer and the index of a table of size bytes. It reads no blocks.
func Open(r io.ReaderAt, size int64, cache *Cache) (*Table, error) {
	if size < footerSize {
		return nil, corrupt(size, "ends early")
	}
	// One read gets the footer and, if the index is not too large, the index too.
	tail := make([]byte, min(size, 64<<10))
	if err := readFull(r, tail, size-int64(len(tail))); err != nil {
		return nil, err
	}
	foot := tail[len(tail)-footerSize:]
	at := size - footerSize
	if string(foot[:8]) != magic {
		return nil, corrupt(at, "the bytes %q are not the start of a table's footer", foot[:8])
	}
	if v := binary.LittleEndian.Uint32(foot[8:]); v > Version {
		return nil, &Error{at, fmt.Errorf("%w: table format %d, this release reads formats up to %d", segment.ErrNewer, v, Version)}
	}
	if binary.LittleEndian.Uint32(foot[footerSize-4:]) != crc32.Checksum(foot[:footerSize-4], segment.Castagnoli) {
		return nil, corrupt(at, "the footer's checksum does not match")
	}
	t := &Table{r: r, cache: cache, blocks: int(binary.LittleEndian.Uint32(foot[12:])), size: size}
	copy(t.info.Store[:], foot[16:])
	t.info.ID = binary.LittleEndian.Uint64(foot[32:])
	t.info.Count = binary.LittleEndian.Uint64(foot[40:])
	indexAt := int64(binary.LittleEndian.Uint64(foot[48:]))
	t.info.Seq = binary.LittleEndian.Uint64(foot[56:])
	length := int64(binary.LittleEndian.Uint64(foot[64:]))
	if indexAt+length != at || indexAt < 0 || length < int64(t.blocks)*rowSize {
		return nil, corrupt(at, "the footer has an index of %d bytes at offset %d for %d blocks", length, indexAt, t.blocks)
	}
	index := make([]byte, length)
	if have := int64(len(tail)) - footerSize; length <= have {
		copy(index, tail[have-length:have])
	} else if err := readFull(r, index, indexAt); err != nil {
		return nil, err
	}
	if binary.LittleEndian.Uint32(foot[72:]) != crc32.Checksum(index, segment.Castagnoli) {
		return nil, corrupt(indexAt, "the index's checksum does not match")
	}
	t.keys, t.rows = index[:len(index)-t.blocks*rowSize], index[len(index)-t.blocks*rowSize:]
	return t, nil
}

// readFull fills b with the bytes from offset off on, or returns an error.
func readFull(r io.ReaderAt, b []byte, off int64) error {
	if n, err := r.ReadAt(b, off); n < len(b) {
		if err == io.EOF {
			return corrupt(off+int64(n), "ends early")
		}
		return err
	}
	return nil
}

// Info returns the Info in the table's footer.
func (t *Table) Info() Info { return t.info }

// Memory returns how many bytes of memory the index of blocks takes.
func (t *Table) Memory() int { return len(t.keys) + len(t.rows) }

// firstKey returns the first key of block n.
func (t *Table) firstKey(n int) []byte {
	from := uint32(0)
	if n > 0 {
		from = binary.LittleEndian.Uint32(t.rows[(n-1)*rowSize:])
	}
	return t.keys[from:binary.LittleEndian.Uint32(t.rows[n*rowSize:])]
}

// bounds returns the offsets in the file of the start and the end of block n.
func (t *Table) bounds(n int) (from, to int64) {
	if n > 0 {
		from = int64(binary.LittleEndian.Uint64(t.rows[(n-1)*rowSize+4:]))
	}
	return from, int64(binary.LittleEndian.Uint64(t.rows[n*rowSize+4:]))
}

// find returns the only block that may have the key: the last block with a first key not higher than key. It returns -1 if
// key is lower than the first key of the first block.
func (t *Table) find(key []byte) int {
	return sort.Search(t.blocks, func(i int) bool { return bytes.Compare(t.firstKey(i), key) > 0 }) - 1
}

// readBlock reads block n and compares its checksum. It returns the block without its checksum, in buf if that is large
// enough.
func (t *Table) readBlock(n int, buf []byte) ([]byte, error) {
	from, to := t.bounds(n)
	if to-from < 4 || to > t.size {
		return nil, corrupt(from, "the index has %d bytes for block %d, at least 4 and within the file of %d bytes", to-from, n, t.size)
	}
	b := slices.Grow(buf[:0], int(to-from))[:to-from]
	if err := readFull(t.r, b, from); err != nil {
		return nil, err
	}
	sum := len(b) - 4
	if binary.LittleEndian.Uint32(b[sum:]) != crc32.Checksum(b[:sum], segment.Castagnoli) {
		return nil, corrupt(from, "the checksum of block %d does not match", n)
	}
	return b[:sum], nil
}

// cachedBlock returns block n from the cache, or reads it into the cache.
func (t *Table) cachedBlock(n int) ([]byte, error) {
	id := BlockID{t.info.ID, n}
	if b, ok := t.cache.Get(id); ok {
		return b, nil
	}
	b, err := t.readBlock(n, nil)
	if err == nil {
		t.cache.Add(id, b)
	}
	return b, err
}

// Get returns the location of a key's value and reports whether the table has the key. It reads at most one block, and none
// if that is in the cache.
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

// Check reads all blocks without the cache and returns the first fault.
func (t *Table) Check() error {
	it := t.Seek(nil)
	var n uint64
	for it.Next() {
		n++
	}
	if it.err == nil && n != t.info.Count {
		return corrupt(t.size, "the blocks have %d entries instead of %d", n, t.info.Count)
	}
	return it.err
}
