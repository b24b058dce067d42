package table

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"

	"ospreypond/internal/store/segment"
)

// Writer writes a table. The caller adds the entries in the order of their keys and then calls Finish. After an error the
// table is incomplete and must be discarded.
type Writer struct {
	w     io.Writer
	info  Info   // Count is the number of entries so far
	off   uint64 // bytes written
	block []byte // entries of the current block
	last  []byte // key of the last entry
	first []byte // first key of the current block
	keys  []byte // index: first keys of the written blocks
	rows  []byte // index: rows of the written blocks
}

// NewWriter returns a Writer that writes a table to w. It ignores the Count of info and counts the entries.
func NewWriter(w io.Writer, info Info) *Writer {
	info.Count = 0
	return &Writer{w: w, info: info}
}

// Add appends an entry. It fails if the key is not higher than the previous one.
func (w *Writer) Add(e Entry) error {
	if w.info.Count > 0 && bytes.Compare(e.Key, w.last) <= 0 {
		return fmt.Errorf("table: key %x is not higher than the previous key %x", e.Key, w.last)
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

// flush writes the current block with its checksum and adds it to the index, if it has entries.
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

// Finish writes the last block, the index and the footer. It returns the table's size in bytes and its Info. The caller
// flushes w.
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
