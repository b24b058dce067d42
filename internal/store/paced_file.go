package store

import (
	"fmt"

	"ospreypond/internal/store/vfs"
)

// pacedFile writes a file from its start on, in chunks of chunkBytes, at the given pace. It syncs every bytesPerSync
// bytes: one large sync at the end would delay the commits whose syncs queue up behind it.
type pacedFile struct {
	pace     func(n int) error // waits until n more bytes may be written; nil: no bound
	f        vfs.File
	name     string
	buf      []byte
	off      int64
	unsynced int
}

const (
	chunkBytes   = 128 << 10
	bytesPerSync = 1 << 20
)

// Write appends to the file. What is shorter than a chunk stays in memory until flush.
func (p *pacedFile) Write(b []byte) (int, error) {
	p.buf = append(p.buf, b...)
	if len(p.buf) >= chunkBytes {
		return len(b), p.flush()
	}
	return len(b), nil
}

// flush writes what is in memory, and syncs if bytesPerSync bytes were written since the last sync.
func (p *pacedFile) flush() error {
	if len(p.buf) == 0 {
		return nil
	}
	if p.pace != nil {
		if err := p.pace(len(p.buf)); err != nil {
			return err
		}
	}
	if _, err := p.f.WriteAt(p.buf, p.off); err != nil {
		return fmt.Errorf("store: writing %s: %w", p.name, err)
	}
	p.off += int64(len(p.buf))
	if p.unsynced += len(p.buf); p.unsynced >= bytesPerSync {
		p.unsynced = 0
		if err := p.f.Sync(); err != nil {
			return fmt.Errorf("store: syncing %s: %w", p.name, err)
		}
	}
	p.buf = p.buf[:0]
	return nil
}
